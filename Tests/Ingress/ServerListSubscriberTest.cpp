#include <Carawaykeel/Ingress/ServerListSubscriber.h>
#include <Support/MemoryLogSink.h>
#include <Support/VirtualWorld.h>
#include <Support/WorldScheduler.h>

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

/// Documents of this test: "ready", "leaving", or anything else for one that cannot be read.
Base::Result<Forwarding::ServerEntry> decode(const std::string &name, std::string_view document)
{
    if (document != "ready" && document != "leaving")
        return Base::fail(Base::ErrorKind::InvalidDeclaration, "unreadable");
    Forwarding::ServerEntry entry;
    entry.name = Base::ServerName(name);
    entry.service = Base::ServiceName("service");
    entry.address = "127.0.0.1:1";
    entry.isLeaving = document == "leaving";
    return entry;
}

} // namespace

/// Which servers may be used, from announcements that lapse, lag and come by other ways.
class ServerChangesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerChangesTest);
    CPPUNIT_TEST(leavingServersAreNotUsable);
    CPPUNIT_TEST(removedServersAreGoneAtOnce);
    CPPUNIT_TEST(lapsedEntriesAreKeptForAWhile);
    CPPUNIT_TEST(lapsedEntryThatComesBackStays);
    CPPUNIT_TEST(serverThatOthersSawLeaveHasNotLapsed);
    CPPUNIT_TEST(lapsedEntryIsGoneBeforeTheInstanceCountsAsBack);
    CPPUNIT_TEST(unreadableEntryNamesNoServer);
    CPPUNIT_TEST(relayCountsOnlyWithoutTheTable);
    CPPUNIT_TEST(newInstanceTakesAPeersServers);
    CPPUNIT_TEST_SUITE_END();

public:
    VirtualWorld world{1};
    WorldScheduler scheduler{world};
    Base::RandomEngine random{1};
    Forwarding::ServerPool fleet{Base::DataCentre("dc"), {}, random};
    MemoryLogSink logSink;
    Logging::Logger log{{Base::InstanceName("test"), 1}, logSink};
    std::vector<Base::ServerName> relayed;
    Ingress::ServerListSubscriber changes{scheduler, fleet, decode,
        [this](const Base::ServerName &life) { relayed.push_back(life); }, log};

    void run(std::int64_t milliseconds = 1) { world.run(Base::Milliseconds(milliseconds)); }
    bool isUsable(const std::string &name) const { return fleet.isUsable(Base::ServerName(name)); }
    void announce()
    {
        changes.onReachabilityChanged(true);
        changes.onSnapshot({{"a", "ready", 1}, {"b", "ready", 2}});
        run();
    }

    void leavingServersAreNotUsable()
    {
        announce();
        changes.onChanges({{"a", "leaving", 3}});
        run();
        CPPUNIT_ASSERT(!isUsable("a") && isUsable("b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), relayed.size());
    }

    void removedServersAreGoneAtOnce()
    {
        announce();
        changes.onChanges({{"a", std::nullopt, 3}});
        run();
        CPPUNIT_ASSERT(!isUsable("a"));
    }

    /// Pattern: entries lapse while the store is away, and it comes back without them.
    void lapsedEntriesAreKeptForAWhile()
    {
        announce();
        changes.onReachabilityChanged(false);
        run(6'000);
        changes.onReachabilityChanged(true);
        changes.onSnapshot({{"b", "ready", 2}});
        run();
        CPPUNIT_ASSERT(isUsable("a") && isUsable("b"));
        run(2'600);
        CPPUNIT_ASSERT(!isUsable("a") && isUsable("b"));
    }

    void lapsedEntryThatComesBackStays()
    {
        announce();
        changes.onReachabilityChanged(false);
        run(6'000);
        changes.onReachabilityChanged(true);
        changes.onChanges({{"a", std::nullopt, 3}});
        run(1'500);
        changes.onChanges({{"a", "ready", 4}});
        run(5'000);
        CPPUNIT_ASSERT(isUsable("a"));
    }

    /// Pattern: an instance was cut off from the store; just after its return a server leaves
    /// without a word. The others have seen it leave, before or after this instance.
    void serverThatOthersSawLeaveHasNotLapsed()
    {
        announce();
        changes.onReachabilityChanged(false);
        run(8'000);
        changes.onReachabilityChanged(true);
        run(400);
        changes.onPeerReportedLeaving(Base::ServerName("a#0"));
        changes.onChanges({{"a", std::nullopt, 3}});
        run();
        CPPUNIT_ASSERT(!isUsable("a"));
        changes.onChanges({{"b", std::nullopt, 4}});
        run();
        CPPUNIT_ASSERT(isUsable("b"));
        changes.onPeerReportedLeaving(Base::ServerName("b#0"));
        CPPUNIT_ASSERT(!isUsable("b"));
    }

    /// Pattern: all instances were cut off, and the feed answers 650 ms after the store is back.
    /// An instance counts as back three seconds after it.
    void lapsedEntryIsGoneBeforeTheInstanceCountsAsBack()
    {
        announce();
        changes.onReachabilityChanged(false);
        run(8'000);
        constexpr std::int64_t FeedIsLateBy = 650;
        changes.onReachabilityChanged(true);
        changes.onChanges({{"a", std::nullopt, 3}});
        run(3'000 - FeedIsLateBy);
        CPPUNIT_ASSERT(!isUsable("a"));
    }

    void unreadableEntryNamesNoServer()
    {
        announce();
        changes.onChanges({{"a", "\xff", 3}, {"c", "", 4}});
        run();
        CPPUNIT_ASSERT(!isUsable("a") && isUsable("b") && !isUsable("c"));
    }

    void relayCountsOnlyWithoutTheTable()
    {
        announce();
        changes.onPeerReportedLeaving(Base::ServerName("a#0"));
        CPPUNIT_ASSERT(isUsable("a"));
        changes.onReachabilityChanged(false);
        run();
        changes.onPeerReportedLeaving(Base::ServerName("a#5"));
        CPPUNIT_ASSERT(isUsable("a"));
        changes.onPeerReportedLeaving(Base::ServerName("a#0"));
        CPPUNIT_ASSERT(!isUsable("a"));
    }

    /// Pattern: an instance starts again while the table is away for all.
    void newInstanceTakesAPeersServers()
    {
        Base::Outcome<Forwarding::ServerEntry> entry =
            Base::toOutcome<Forwarding::ServerEntry>([] { return decode("a", "ready"); });
        changes.onReceivedFromPeer({std::get<Forwarding::ServerEntry>(entry)});
        CPPUNIT_ASSERT(isUsable("a"));
        changes.onReachabilityChanged(true);
        changes.onSnapshot({{"b", "ready", 2}});
        run(3'000);
        CPPUNIT_ASSERT(!isUsable("a") && isUsable("b"));
        changes.onReceivedFromPeer({std::get<Forwarding::ServerEntry>(entry)});
        CPPUNIT_ASSERT(!isUsable("a"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerChangesTest);

} // namespace Carawaykeel::Tests
