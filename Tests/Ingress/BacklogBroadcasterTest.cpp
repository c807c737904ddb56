#include <Carawaykeel/Ingress/BacklogBroadcaster.h>
#include <Support/VirtualWorld.h>
#include <Support/WorldScheduler.h>

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace Carawaykeel::Tests {

/// What instances tell each other of prompts under way.
class BacklogReportsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BacklogReportsTest);
    CPPUNIT_TEST(changesOfOneMomentShareAMessage);
    CPPUNIT_TEST(smallChangesAreNotWorthAMessage);
    CPPUNIT_TEST(clearedServerIsToldOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    VirtualWorld world{1};
    WorldScheduler scheduler{world};
    Base::RandomEngine random{1};
    Forwarding::ServerPool fleet{Base::DataCentre("dc"), {}, random};
    std::vector<std::vector<Forwarding::ServerBacklog>> sent;
    Ingress::BacklogBroadcaster reports{
        scheduler, fleet, [this](const auto &backlogs) { sent.push_back(backlogs); }};
    std::uint64_t lastPart = 0;

    void setUp() override
    {
        for (const auto *name : {"a", "b"}) {
            Forwarding::ServerEntry entry;
            entry.name = Base::ServerName(name);
            fleet.addOrUpdate(entry);
        }
    }

    void send(const char *server, std::int64_t tokens)
    {
        const std::vector<Forwarding::PromptPart> prompt{{++lastPart, Base::Tokens(tokens)}};
        fleet.onRequestSent(Base::ServerName(server), prompt, world.now());
        reports.onBacklogChanged(Base::ServerName(server));
    }

    void read(const char *server, std::int64_t tokens)
    {
        fleet.onPromptProcessed(Base::ServerName(server), Base::Tokens(tokens));
        reports.onBacklogChanged(Base::ServerName(server));
    }

    void run() { world.run(Ingress::BacklogBroadcaster::BatchDelay); }

    void changesOfOneMomentShareAMessage()
    {
        send("a", 3'000);
        send("a", 4'000);
        send("b", 5'000);
        run();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), sent.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), sent.front().size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7'000), sent.front().front().unprocessedTokens.count());
    }

    void smallChangesAreNotWorthAMessage()
    {
        send("a", 1'999);
        run();
        CPPUNIT_ASSERT(sent.empty());
        send("a", 1);
        run();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), sent.size());
        read("a", 1'999);
        run();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), sent.size());
    }

    void clearedServerIsToldOnce()
    {
        send("a", 2'000);
        run();
        read("a", 1'000);
        run();
        read("a", 1'000);
        run();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), sent.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), sent.back().front().unprocessedTokens.count());
        reports.onBacklogChanged(Base::ServerName("a"));
        run();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), sent.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BacklogReportsTest);

} // namespace Carawaykeel::Tests
