#include <Carawaykeel/Configuration/ConfigurationRelay.h>

#include <Support/RecordingTransport.h>
#include <Support/RelayFleet.h>
#include <Support/WorldScheduler.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <string>

namespace Carawaykeel::Tests {

namespace {

/// Requirement: an accepted change is in force on all instances within this time.
constexpr std::int64_t ActivationBoundMs = 3'000;

using Configuration::ConfigurationRelay;
using Configuration::ConfigurationRelayPolicy;

Base::InstanceId makePeer(int n)
{
    return {Base::InstanceName(fmt::format("peer-{}", n)), 1};
}

} // namespace

/// When instances ask each other for a configuration, and when they send theirs.
class ConfigurationRelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationRelayTest);
    CPPUNIT_TEST(largeDocumentReachesSixtyInstancesInTime);
    CPPUNIT_TEST(waitsForTheTableServiceFirst);
    CPPUNIT_TEST(asksAnotherInstanceWhenNoDocumentArrives);
    CPPUNIT_TEST(sendsOnlyWhatArrivesInTime);
    CPPUNIT_TEST(sendsDocumentsOfAnySize);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a fetch storm in a fleet whose links take a third of a second for a document:
    /// one instance has a new version, and no other can reach the table service.
    void largeDocumentReachesSixtyInstancesInTime()
    {
        constexpr std::size_t InstanceCount = 60;
        RelayFleet fleet(InstanceCount, 420'000);
        fleet.setVersion(0, 1);
        const auto duration = fleet.runUntilAllHave(1);
        CPPUNIT_ASSERT_LESSEQUAL(ActivationBoundMs, duration.count());
        // Each instance but the first needs one; few are sent twice because the first was slow.
        CPPUNIT_ASSERT_LESSEQUAL(InstanceCount * 3 / 2, fleet.documentsSent());
    }

    void waitsForTheTableServiceFirst()
    {
        VirtualWorld world(1);
        WorldScheduler scheduler(world);
        RecordingTransport transport;
        ConfigurationRelay relay(scheduler, transport);
        const ConfigurationRelayPolicy policy;
        CPPUNIT_ASSERT(!relay.onVersionAnnounced(makePeer(1), 2, {1, true}));
        world.run(policy.directSourceDelay - Base::Milliseconds(1));
        CPPUNIT_ASSERT(!relay.onVersionAnnounced(makePeer(1), 2, {1, true}));
        world.run(Base::Milliseconds(1));
        CPPUNIT_ASSERT(relay.onVersionAnnounced(makePeer(1), 2, {1, true}));
        // A later version starts the wait anew, because the table service delivered the one before.
        CPPUNIT_ASSERT(!relay.onVersionAnnounced(makePeer(1), 3, {2, true}));
    }

    void asksAnotherInstanceWhenNoDocumentArrives()
    {
        VirtualWorld world(1);
        WorldScheduler scheduler(world);
        RecordingTransport transport;
        ConfigurationRelay relay(scheduler, transport);
        const ConfigurationRelayPolicy policy;
        CPPUNIT_ASSERT(relay.onVersionAnnounced(makePeer(1), 2, {1, false}));
        CPPUNIT_ASSERT(!relay.onVersionAnnounced(makePeer(2), 2, {1, false}));
        world.run(policy.fetchTimeout);
        CPPUNIT_ASSERT(relay.onVersionAnnounced(makePeer(2), 2, {1, false}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), transport.messages.size());
    }

    /// A document that arrives after the receiver has asked another instance is sent in vain.
    void sendsOnlyWhatArrivesInTime()
    {
        VirtualWorld world(1);
        WorldScheduler scheduler(world);
        RecordingTransport transport;
        ConfigurationRelay relay(scheduler, transport);
        const ConfigurationRelayPolicy policy;
        const auto bytesInTime = policy.assumedBytesPerSecond
            * static_cast<std::size_t>(policy.fetchTimeout.count()) / 1'000;
        const std::string document(bytesInTime / 2, 'x');
        CPPUNIT_ASSERT(!relay.onFetchRequest(makePeer(1), {5}, 5, document));
        CPPUNIT_ASSERT(relay.onFetchRequest(makePeer(1), {4}, 5, document));
        CPPUNIT_ASSERT(relay.onFetchRequest(makePeer(2), {4}, 5, document));
        CPPUNIT_ASSERT(!relay.onFetchRequest(makePeer(3), {4}, 5, document));
        world.run(policy.fetchTimeout / 2);
        CPPUNIT_ASSERT(relay.onFetchRequest(makePeer(3), {4}, 5, document));
    }

    void sendsDocumentsOfAnySize()
    {
        VirtualWorld world(1);
        WorldScheduler scheduler(world);
        RecordingTransport transport;
        ConfigurationRelay relay(scheduler, transport);
        const std::string document(2 * ConfigurationRelayPolicy().assumedBytesPerSecond, 'x');
        CPPUNIT_ASSERT(relay.onFetchRequest(makePeer(1), {4}, 5, document));
        CPPUNIT_ASSERT(!relay.onFetchRequest(makePeer(2), {4}, 5, document));
        world.run(Base::Milliseconds(2'000));
        CPPUNIT_ASSERT(relay.onFetchRequest(makePeer(2), {4}, 5, document));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationRelayTest);

} // namespace Carawaykeel::Tests
