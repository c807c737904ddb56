#include <Carawaykeel/Ingress/BufferAccount.h>

#include <Support/MemoryLogSink.h>
#include <Support/WorldScheduler.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <memory>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

using Ingress::BufferAccount;
using Ingress::BufferKind;
using Ingress::HeldBuffer;

constexpr std::size_t Limit = 10'000'000;
constexpr std::size_t Large = 1'000'000;
constexpr std::size_t Small = 4'000;

/// A buffer that records whether it was given up.
struct Holder : Ingress::BufferOwner
{
    Holder(BufferAccount &account, BufferKind kind, const std::string &source = {})
        : buffer(account, kind, kind == BufferKind::Other ? nullptr : this)
    {
        buffer.setSource(source);
    }

    void onBufferReclaimed(BufferKind) override { isReclaimed = true; }

    bool isReclaimed = false;
    HeldBuffer buffer;
};

struct AccountScenario
{
    Holder &add(BufferKind kind, std::size_t bytes, const std::string &source = {})
    {
        holders.push_back(std::make_unique<Holder>(account, kind, source));
        holders.back()->buffer.set(bytes);
        return *holders.back();
    }

    void settle() { world.run(Base::Milliseconds(10)); }

    VirtualWorld world{1};
    WorldScheduler scheduler{world};
    MemoryLogSink sink;
    Logging::Logger log{{Base::InstanceName("test"), 1}, sink};
    BufferAccount account{Limit, scheduler, log};
    std::vector<std::unique_ptr<Holder>> holders;
};

} // namespace

/// Which buffers are given up when an instance holds too many bytes.
class BufferAccountTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BufferAccountTest);
    CPPUNIT_TEST(countsWhatIsHeld);
    CPPUNIT_TEST(endlessResponsesOfOneServerAreCutFirst);
    CPPUNIT_TEST(requestsAreRejectedBeforeResponsesToSlowCallersAreCut);
    CPPUNIT_TEST(smallBuffersAreKept);
    CPPUNIT_TEST(manyEndlessResponsesStayWithinTheLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    void countsWhatIsHeld()
    {
        AccountScenario scenario;
        auto &first = scenario.add(BufferKind::Other, Limit / 4);
        scenario.add(BufferKind::Request, Limit / 4);
        CPPUNIT_ASSERT(scenario.account.isTight());
        CPPUNIT_ASSERT(!scenario.account.isFull());
        scenario.add(BufferKind::UnsentResponse, Limit / 4);
        CPPUNIT_ASSERT(scenario.account.isFull());
        first.buffer.set(0);
        CPPUNIT_ASSERT(!scenario.account.isFull());
        scenario.holders.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), scenario.account.usedBytes());
        CPPUNIT_ASSERT_EQUAL(Limit / 4 * 3, scenario.account.peakBytes());
    }

    /// Guards against responses of sound servers being cut for those of a faulty one.
    void endlessResponsesOfOneServerAreCutFirst()
    {
        AccountScenario scenario;
        auto &sound = scenario.add(BufferKind::Response, 2 * Large, "sound");
        auto &request = scenario.add(BufferKind::Request, 2 * Large);
        std::vector<Holder *> endless;
        for (int n = 0; n < 7; ++n)
            endless.push_back(&scenario.add(BufferKind::Response, Large, "faulty"));
        scenario.settle();
        CPPUNIT_ASSERT(!scenario.account.isExceeded());
        CPPUNIT_ASSERT(!sound.isReclaimed && !request.isReclaimed);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t(1), scenario.account.reclaimedCount(BufferKind::Response));
        CPPUNIT_ASSERT(scenario.sink.contains("buffer_reclaimed"));
        CPPUNIT_ASSERT(scenario.sink.contains("source=faulty"));
    }

    void requestsAreRejectedBeforeResponsesToSlowCallersAreCut()
    {
        AccountScenario scenario;
        auto &slow = scenario.add(BufferKind::UnsentResponse, 6 * Large);
        auto &request = scenario.add(BufferKind::Request, 3 * Large);
        scenario.add(BufferKind::Other, 3 * Large);
        scenario.settle();
        CPPUNIT_ASSERT(request.isReclaimed);
        CPPUNIT_ASSERT(!slow.isReclaimed);
        scenario.add(BufferKind::Other, 3 * Large);
        scenario.settle();
        CPPUNIT_ASSERT(slow.isReclaimed);
    }

    void smallBuffersAreKept()
    {
        AccountScenario scenario;
        auto &small = scenario.add(BufferKind::Response, Small, "server");
        auto &large = scenario.add(BufferKind::Response, Large, "other");
        scenario.add(BufferKind::Other, Limit);
        scenario.settle();
        CPPUNIT_ASSERT(large.isReclaimed);
        CPPUNIT_ASSERT(!small.isReclaimed);
    }

    void manyEndlessResponsesStayWithinTheLimit()
    {
        AccountScenario scenario;
        std::vector<Holder *> endless;
        for (int n = 0; n < 200; ++n)
            endless.push_back(&scenario.add(BufferKind::Response, Small, "faulty"));
        constexpr std::size_t ReadSize = 32'768;
        for (int round = 0; round < 100; ++round) {
            for (auto *each : endless) {
                if (!each->isReclaimed)
                    each->buffer.set(each->buffer.bytes() + ReadSize);
            }
            scenario.settle();
            CPPUNIT_ASSERT(!scenario.account.isExceeded());
        }
        CPPUNIT_ASSERT(scenario.account.peakBytes() <= Limit + endless.size() * ReadSize);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BufferAccountTest);

} // namespace Carawaykeel::Tests
