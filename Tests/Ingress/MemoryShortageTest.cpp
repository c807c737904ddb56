#include <Carawaykeel/Ingress/BufferAccount.h>
#include <Carawaykeel/Ingress/DescriptorBudget.h>

#include <Support/MemoryLogSink.h>
#include <Support/WorldScheduler.h>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>

namespace Carawaykeel::Tests {

namespace {

using Ingress::BufferAccount;
using Ingress::BufferKind;
using Ingress::HeldBuffer;

constexpr std::size_t Limit = 10'000'000;
constexpr std::size_t Large = 1'000'000;

/// Memory of a process that occupies what the test says.
struct FakeMemory : Ingress::ResidentMemory
{
    std::size_t bytes() override { return resident; }
    void releaseFree() override { ++releases; }

    std::size_t resident = 0;
    int releases = 0;
};

struct Caller : Ingress::BufferOwner
{
    Caller(BufferAccount &account, const std::string &peer)
        : buffer(account, BufferKind::Request, this)
    {
        buffer.setSource(peer);
    }

    void onBufferReclaimed(BufferKind) override { isClosed = true; }

    bool isClosed = false;
    HeldBuffer buffer;
};

struct Shortage
{
    std::unique_ptr<Caller> add(std::size_t bytes, const std::string &peer = "a")
    {
        auto caller = std::make_unique<Caller>(account, peer);
        caller->buffer.set(bytes);
        return caller;
    }

    void wait(Base::Milliseconds time) { world.run(time); }

    VirtualWorld world{1};
    WorldScheduler scheduler{world};
    MemoryLogSink sink;
    Logging::Logger log{{Base::InstanceName("test"), 1}, sink};
    FakeMemory memory;
    BufferAccount account{Limit, scheduler, log};
};

} // namespace

/// Which callers are admitted and which are closed while memory is short.
class MemoryShortageTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemoryShortageTest);
    CPPUNIT_TEST(stalledCallersMakeRoom);
    CPPUNIT_TEST(callersWithProgressAreKept);
    CPPUNIT_TEST(singleRequestIsAlwaysAdmitted);
    CPPUNIT_TEST(onePeerGetsHalfOfTheAccount);
    CPPUNIT_TEST(residentMemoryLowersTheLimit);
    CPPUNIT_TEST(descriptorsAreNeverExceeded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against callers that stop midway and keep the others out.
    void stalledCallersMakeRoom()
    {
        Shortage shortage;
        const auto small = shortage.add(3 * Large);
        const auto large = shortage.add(4 * Large);
        shortage.wait(BufferAccount::StallTime);
        const auto next = shortage.add(0, "b");
        CPPUNIT_ASSERT(shortage.account.tryAdmit(Large, next->buffer));
        CPPUNIT_ASSERT(large->isClosed);
        CPPUNIT_ASSERT(!small->isClosed);
    }

    void callersWithProgressAreKept()
    {
        Shortage shortage;
        const auto running = shortage.add(7 * Large);
        shortage.wait(BufferAccount::StallTime - Base::Milliseconds(1));
        const auto next = shortage.add(0, "b");
        CPPUNIT_ASSERT(!shortage.account.tryAdmit(Large, next->buffer));
        running->buffer.noteProgress();
        shortage.wait(BufferAccount::StallTime - Base::Milliseconds(1));
        CPPUNIT_ASSERT(!shortage.account.tryAdmit(Large, next->buffer));
        CPPUNIT_ASSERT(!running->isClosed);
    }

    /// Guards against a process that occupies much at rest and then refuses everything.
    void singleRequestIsAlwaysAdmitted()
    {
        Shortage shortage;
        shortage.memory.resident = 10 * Limit;
        shortage.account.setResidentMemory(shortage.memory, Limit);
        const auto caller = shortage.add(0);
        CPPUNIT_ASSERT(shortage.account.tryAdmit(4 * Large, caller->buffer));
        caller->buffer.set(4 * Large);
        shortage.wait(Base::Milliseconds(10));
        CPPUNIT_ASSERT(!caller->isClosed);
    }

    void onePeerGetsHalfOfTheAccount()
    {
        Shortage shortage;
        const auto first = shortage.add(5 * Large, "a");
        const auto same = shortage.add(0, "a");
        const auto other = shortage.add(0, "b");
        CPPUNIT_ASSERT(!shortage.account.tryAdmit(Large, same->buffer));
        CPPUNIT_ASSERT(shortage.account.tryAdmit(Large, other->buffer));
        CPPUNIT_ASSERT(shortage.account.tryAdmit(1'000, same->buffer));
    }

    void residentMemoryLowersTheLimit()
    {
        Shortage shortage;
        shortage.account.setResidentMemory(shortage.memory, 20 * Large);
        const auto first = shortage.add(3 * Large, "a");
        const auto second = shortage.add(3 * Large, "b");
        shortage.memory.resident = 22 * Large;
        shortage.wait(Base::Milliseconds(100));
        shortage.account.measure();
        CPPUNIT_ASSERT_EQUAL(4 * Large, shortage.account.currentLimit());
        CPPUNIT_ASSERT_EQUAL(1, shortage.memory.releases);
        shortage.wait(Base::Milliseconds(1));
        CPPUNIT_ASSERT(first->isClosed != second->isClosed);
        shortage.memory.resident = 10 * Large;
        shortage.account.measure();
        CPPUNIT_ASSERT_EQUAL(Limit, shortage.account.currentLimit());
    }

    /// The largest number of connections leaves the descriptors for files, at any size of VM.
    void descriptorsAreNeverExceeded()
    {
        for (const std::size_t max : {128, 400, 3'075, 10'250}) {
            Ingress::DescriptorBudget budget(max);
            std::size_t callers = 0;
            std::size_t servers = 0;
            for (; budget.hasRoomForCaller(); ++callers)
                budget.addCaller();
            for (; budget.hasRoomForServer(); ++servers)
                budget.addServer();
            const auto open = callers + servers + budget.maxEntries() + 2 * budget.maxProbes();
            CPPUNIT_ASSERT(open + std::min<std::size_t>(200, max / 8) <= max);
            CPPUNIT_ASSERT(servers > 0 && callers > servers);
        }
        CPPUNIT_ASSERT(Ingress::DescriptorBudget().hasRoomForCaller());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryShortageTest);

} // namespace Carawaykeel::Tests
