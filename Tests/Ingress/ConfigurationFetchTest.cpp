#include <Carawaykeel/Ingress/Router.h>

#include <Support/MemoryLogSink.h>
#include <Support/NeighbourInstance.h>
#include <Support/UnreachableTable.h>
#include <platform/ConfigurationDecoder.h>
#include <platform/PlatformDialect.h>
#include <platform/ServerEntryDecoder.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <memory>
#include <numeric>
#include <thread>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

constexpr auto PeerKey = "key";

Ingress::RouterSettings makeSettings()
{
    Ingress::RouterSettings settings;
    settings.name = Base::InstanceName("self");
    settings.dataCentre = Base::DataCentre("dc");
    settings.callerAddress = makeLoopbackAddress();
    settings.readinessAddress = makeLoopbackAddress();
    settings.entryAddress = makeLoopbackAddress();
    settings.gossipAddress = makeLoopbackAddress();
    settings.peerAddress = makeLoopbackAddress();
    settings.peerKey = PeerKey;
    return settings;
}

/// A router without a configuration, in a fleet of scripted neighbours.
class IsolatedRouter
{
public:
    IsolatedRouter()
        : m_settings(makeSettings())
        , m_table(m_reactor)
        , m_router(m_settings, m_reactor,
              {m_dialect, m_table, CarawaykeelPlatform::tryDecodeServerEntry,
                  CarawaykeelPlatform::tryDecodeConfiguration, "config"},
              m_logSink)
    {
        m_router.start();
        m_thread = std::thread([this] { m_reactor.run(); });
    }

    ~IsolatedRouter()
    {
        m_reactor.stop();
        m_thread.join();
    }

    std::unique_ptr<NeighbourInstance> makeNeighbour(int n) const
    {
        Membership::Member self;
        self.gossipAddress = m_settings.gossipAddress;
        self.peerAddress = m_settings.peerAddress;
        return std::make_unique<NeighbourInstance>(fmt::format("neighbour-{}", n), PeerKey, self);
    }

private:
    const Ingress::RouterSettings m_settings;
    Net::Reactor m_reactor;
    CarawaykeelPlatform::PlatformDialect m_dialect;
    UnreachableTable m_table;
    MemoryLogSink m_logSink;
    Ingress::Router m_router;
    std::thread m_thread;
};

} // namespace

/// How instances of the router's fleet pass configurations to each other.
class ConfigurationFetchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationFetchTest);
    CPPUNIT_TEST(announcementsOfOneVersionCauseOneFetch);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a fetch storm: every datagram carries the version, so an instance that
    /// fetched for each of them was sent the same large document hundreds of times and had no time
    /// left to apply the next one or to accept connections.
    void announcementsOfOneVersionCauseOneFetch()
    {
        constexpr int NeighbourCount = 4;
        constexpr int DatagramsPerNeighbour = 25;
        std::vector<std::unique_ptr<NeighbourInstance>> neighbours;
        // Destroyed first: it sends to the neighbours until then.
        const IsolatedRouter router;
        for (int n = 0; n < NeighbourCount; ++n)
            neighbours.push_back(router.makeNeighbour(n));
        for (int n = 0; n < DatagramsPerNeighbour; ++n) {
            for (const auto &neighbour : neighbours)
                neighbour->announceConfiguration(7);
            std::this_thread::sleep_for(std::chrono::milliseconds(4));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        const int fetchRequests = std::accumulate(neighbours.begin(), neighbours.end(), 0,
            [](int sum, const auto &neighbour) { return sum + neighbour->fetchRequestCount(); });
        CPPUNIT_ASSERT_EQUAL(1, fetchRequests);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationFetchTest);

} // namespace Carawaykeel::Tests
