#include <Carawaykeel/Ingress/BacklogBroadcaster.h>
#include <Support/VirtualWorld.h>
#include <Support/WorldScheduler.h>

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace Carawaykeel::Tests {

/// Backlogs that instances send each other while prompts are being processed.
class BacklogBroadcasterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BacklogBroadcasterTest);
    CPPUNIT_TEST(changesWithinBatchDelayShareAMessage);
    CPPUNIT_TEST(busyInstanceSendsOncePerInterval);
    CPPUNIT_TEST(smallChangesAreNotSent);
    CPPUNIT_TEST(clearedBacklogIsSentOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    VirtualWorld world{1};
    WorldScheduler scheduler{world};
    Base::RandomEngine random{1};
    Forwarding::ServerPool serverPool{Base::DataCentre("dc"), {}, random};
    std::vector<std::vector<Forwarding::ServerBacklog>> sent;
    Ingress::BacklogBroadcaster broadcaster{
        scheduler, serverPool, [this](const auto &backlogs) { sent.push_back(backlogs); }};
    std::uint64_t lastPart = 0;

    void setUp() override
    {
        for (const auto *name : {"a", "b"}) {
            Forwarding::ServerEntry entry;
            entry.name = Base::ServerName(name);
            serverPool.addOrUpdate(entry);
        }
    }

    void sendPrompt(const char *server, std::int64_t tokens)
    {
        const std::vector<Forwarding::PromptPart> prompt{{++lastPart, Base::Tokens(tokens)}};
        serverPool.onRequestSent(Base::ServerName(server), prompt, world.now());
        broadcaster.onBacklogChanged(Base::ServerName(server));
    }

    void processPrompt(const char *server, std::int64_t tokens)
    {
        serverPool.onPromptProcessed(Base::ServerName(server), Base::Tokens(tokens));
        broadcaster.onBacklogChanged(Base::ServerName(server));
    }

    void run() { world.run(Ingress::BacklogBroadcaster::BatchDelay); }

    void changesWithinBatchDelayShareAMessage()
    {
        sendPrompt("a", 3'000);
        sendPrompt("a", 4'000);
        sendPrompt("b", 5'000);
        run();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), sent.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), sent.front().size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7'000), sent.front().front().unprocessedTokens.count());
    }

    /// Pattern: hundreds of requests a second on one instance of a large fleet.
    void busyInstanceSendsOncePerInterval()
    {
        broadcaster.setMinInterval(Ingress::BacklogBroadcaster::LargeFleetInterval);
        for (int n = 0; n < 400; ++n) {
            sendPrompt("a", 3'000);
            world.run(Base::Milliseconds(4));
        }
        CPPUNIT_ASSERT(sent.size() >= 35 && sent.size() <= 41);
        // An isolated change is sent at once.
        world.run(Base::Milliseconds(200));
        const auto before = sent.size();
        sendPrompt("a", 3'000);
        run();
        CPPUNIT_ASSERT_EQUAL(before + 1, sent.size());
    }

    void smallChangesAreNotSent()
    {
        sendPrompt("a", 1'999);
        run();
        CPPUNIT_ASSERT(sent.empty());
        sendPrompt("a", 1);
        run();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), sent.size());
        processPrompt("a", 1'999);
        run();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), sent.size());
    }

    void clearedBacklogIsSentOnce()
    {
        sendPrompt("a", 2'000);
        run();
        processPrompt("a", 1'000);
        run();
        processPrompt("a", 1'000);
        run();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), sent.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), sent.back().front().unprocessedTokens.count());
        broadcaster.onBacklogChanged(Base::ServerName("a"));
        run();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), sent.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BacklogBroadcasterTest);

} // namespace Carawaykeel::Tests
