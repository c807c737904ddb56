#include <Carawaykeel/Ingress/ServerListSubscriber.h>
#include <Support/MemoryLogSink.h>
#include <Support/VirtualWorld.h>
#include <Support/WorldScheduler.h>

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

/// Decodes the documents of this test: "ready" and "leaving". Any other is unreadable.
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

/// Usability of servers when announcements expire, arrive late or come from other instances.
class ServerListSubscriberTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerListSubscriberTest);
    CPPUNIT_TEST(leavingServerIsUnusable);
    CPPUNIT_TEST(removedServerIsUnusableImmediately);
    CPPUNIT_TEST(expiredEntryIsKeptForGracePeriod);
    CPPUNIT_TEST(reannouncedEntryIsKept);
    CPPUNIT_TEST(serverReportedLeavingHasNotExpired);
    CPPUNIT_TEST(expiredEntryIsRemovedBeforeInstanceCountsAsRecovered);
    CPPUNIT_TEST(serverWithUnreadableEntryIsUnusable);
    CPPUNIT_TEST(peerReportAppliesOnlyWhileTableIsUnreachable);
    CPPUNIT_TEST(newInstanceUsesPeerServerListUntilSnapshot);
    CPPUNIT_TEST_SUITE_END();

public:
    VirtualWorld world{1};
    WorldScheduler scheduler{world};
    Base::RandomEngine random{1};
    Forwarding::ServerPool serverPool{Base::DataCentre("dc"), {}, random};
    MemoryLogSink logSink;
    Logging::Logger log{{Base::InstanceName("test"), 1}, logSink};
    std::vector<Base::ServerName> announcedLeaving;
    Ingress::ServerListSubscriber subscriber{scheduler, serverPool, decode,
        [this](const Base::ServerName &incarnation) { announcedLeaving.push_back(incarnation); },
        log};

    void run(std::int64_t milliseconds = 1) { world.run(Base::Milliseconds(milliseconds)); }
    bool isUsable(const std::string &name) const
    {
        return serverPool.isUsable(Base::ServerName(name));
    }
    void announceServers()
    {
        subscriber.onReachabilityChanged(true);
        subscriber.onSnapshot({{"a", "ready", 1}, {"b", "ready", 2}}, 2);
        run();
    }

    void leavingServerIsUnusable()
    {
        announceServers();
        subscriber.onChanges({{"a", "leaving", 3}});
        run();
        CPPUNIT_ASSERT(!isUsable("a") && isUsable("b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), announcedLeaving.size());
    }

    void removedServerIsUnusableImmediately()
    {
        announceServers();
        subscriber.onChanges({{"a", std::nullopt, 3}});
        run();
        CPPUNIT_ASSERT(!isUsable("a"));
    }

    /// Entries expire while the table is unreachable, and its next snapshot lacks them.
    void expiredEntryIsKeptForGracePeriod()
    {
        announceServers();
        subscriber.onReachabilityChanged(false);
        run(6'000);
        subscriber.onReachabilityChanged(true);
        subscriber.onSnapshot({{"b", "ready", 2}}, 2);
        run();
        CPPUNIT_ASSERT(isUsable("a") && isUsable("b"));
        run(2'600);
        CPPUNIT_ASSERT(!isUsable("a") && isUsable("b"));
    }

    void reannouncedEntryIsKept()
    {
        announceServers();
        subscriber.onReachabilityChanged(false);
        run(6'000);
        subscriber.onReachabilityChanged(true);
        subscriber.onChanges({{"a", std::nullopt, 3}});
        run(1'500);
        subscriber.onChanges({{"a", "ready", 4}});
        run(5'000);
        CPPUNIT_ASSERT(isUsable("a"));
    }

    /// An instance was partitioned from the table, and just after it reconnects a server leaves
    /// without an announcement. Other instances report this before or after this instance sees the
    /// entry removed.
    void serverReportedLeavingHasNotExpired()
    {
        announceServers();
        subscriber.onReachabilityChanged(false);
        run(8'000);
        subscriber.onReachabilityChanged(true);
        run(400);
        subscriber.onPeerReportedLeaving(Base::ServerName("a#0"));
        subscriber.onChanges({{"a", std::nullopt, 3}});
        run();
        CPPUNIT_ASSERT(!isUsable("a"));
        subscriber.onChanges({{"b", std::nullopt, 4}});
        run();
        CPPUNIT_ASSERT(isUsable("b"));
        subscriber.onPeerReportedLeaving(Base::ServerName("b#0"));
        CPPUNIT_ASSERT(!isUsable("b"));
    }

    /// All instances were partitioned from the table, and the change feed responds 650 ms after the
    /// table is reachable again. An instance counts as recovered 3 s after the table is reachable.
    void expiredEntryIsRemovedBeforeInstanceCountsAsRecovered()
    {
        announceServers();
        subscriber.onReachabilityChanged(false);
        run(8'000);
        constexpr std::int64_t FeedDelay = 650;
        subscriber.onReachabilityChanged(true);
        subscriber.onChanges({{"a", std::nullopt, 3}});
        run(3'000 - FeedDelay);
        CPPUNIT_ASSERT(!isUsable("a"));
    }

    void serverWithUnreadableEntryIsUnusable()
    {
        announceServers();
        subscriber.onChanges({{"a", "\xff", 3}, {"c", "", 4}});
        run();
        CPPUNIT_ASSERT(!isUsable("a") && isUsable("b") && !isUsable("c"));
    }

    void peerReportAppliesOnlyWhileTableIsUnreachable()
    {
        announceServers();
        subscriber.onPeerReportedLeaving(Base::ServerName("a#0"));
        CPPUNIT_ASSERT(isUsable("a"));
        subscriber.onReachabilityChanged(false);
        run();
        subscriber.onPeerReportedLeaving(Base::ServerName("a#5"));
        CPPUNIT_ASSERT(isUsable("a"));
        subscriber.onPeerReportedLeaving(Base::ServerName("a#0"));
        CPPUNIT_ASSERT(!isUsable("a"));
    }

    /// An instance restarts while the table is unreachable for all instances.
    void newInstanceUsesPeerServerListUntilSnapshot()
    {
        Base::Outcome<Forwarding::ServerEntry> entry =
            Base::toOutcome<Forwarding::ServerEntry>([] { return decode("a", "ready"); });
        subscriber.onReceivedFromPeer({std::get<Forwarding::ServerEntry>(entry)});
        CPPUNIT_ASSERT(isUsable("a"));
        subscriber.onReachabilityChanged(true);
        subscriber.onSnapshot({{"b", "ready", 2}}, 2);
        run(3'000);
        CPPUNIT_ASSERT(!isUsable("a") && isUsable("b"));
        subscriber.onReceivedFromPeer({std::get<Forwarding::ServerEntry>(entry)});
        CPPUNIT_ASSERT(!isUsable("a"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerListSubscriberTest);

} // namespace Carawaykeel::Tests
