#include <Carawaykeel/Configuration/ConfigurationReplica.h>

#include <Support/FakeTable.h>
#include <Support/RecordingTransport.h>
#include <Support/WorldScheduler.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>

namespace Carawaykeel::Tests {

/// How instances of the product's own interface pass configurations to each other.
class ConfigurationReplicaTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationReplicaTest);
    CPPUNIT_TEST(announcementsOfOneVersionCauseOneFetch);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a fetch storm: every datagram carries the version, so an instance that
    /// fetched for each of them was sent the same large document over and over.
    void announcementsOfOneVersionCauseOneFetch()
    {
        VirtualWorld world(1);
        WorldScheduler scheduler(world);
        FakeTable table(world);
        FakeTableClient client(world, table, "self", [](auto task) { task(); });
        RecordingTransport transport;
        Base::InstanceContext context{
            {Base::InstanceName("self"), 1}, scheduler, client, transport, world.random()};
        Configuration::ConfigurationReplica replica(
            context, Base::Milliseconds(1'000), [](std::uint64_t, const auto &) {});
        for (int datagram = 0; datagram < 25; ++datagram) {
            for (int n = 0; n < 4; ++n) {
                const Base::InstanceId peer{Base::InstanceName(fmt::format("peer-{}", n)), 1};
                replica.onVersionAnnounced(peer, 7);
            }
            world.run(Base::Milliseconds(4));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), transport.messages.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationReplicaTest);

} // namespace Carawaykeel::Tests
