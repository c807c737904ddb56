#include <Support/RunningRouter.h>

#include <Support/NeighbourInstance.h>
#include <Support/RouterHarness.h>
#include <platform/ConfigurationDecoder.h>
#include <platform/ServerEntryDecoder.h>
#include <platform/WireNames.h>

#include <chrono>
#include <fmt/core.h>

namespace Carawaykeel::Tests {

namespace {

constexpr auto ConfigurationKey = "config";
const std::string Configuration = R"({"version":1,"routes":[
{"name":"u","host":"a.example","prefix":"/unsafe/","kind":"unsafe","timeoutMs":4000,
"service":"one","public":true},
{"name":"s","host":"a.example","prefix":"/stream/","kind":"stream","timeoutMs":15000,
"service":"one","public":true}],"services":[{"name":"one"}]})";

} // namespace

Ingress::RouterSettings makeLoopbackSettings()
{
    Ingress::RouterSettings settings;
    settings.name = Base::InstanceName("self");
    settings.dataCentre = Base::DataCentre("dc");
    settings.callerAddress = makeLoopbackAddress();
    settings.readinessAddress = makeLoopbackAddress();
    settings.entryAddress = makeLoopbackAddress();
    settings.metricsAddress = makeLoopbackAddress();
    settings.gossipAddress = makeLoopbackAddress();
    settings.peerAddress = makeLoopbackAddress();
    settings.peerKey = "key";
    return settings;
}

RunningRouter::RunningRouter(const std::string &serverAddress)
    : m_settings(makeLoopbackSettings())
    , m_table(m_reactor)
    , m_router(m_settings, m_reactor,
          {m_dialect, m_table, CarawaykeelPlatform::tryDecodeServerEntry,
              CarawaykeelPlatform::tryDecodeConfiguration, ConfigurationKey,
              CarawaykeelPlatform::WireNames::EvacuationKeyPrefix, {}},
          m_logSink)
{
    m_router.start();
    m_router.configurationSubscriber().onSnapshot({{ConfigurationKey, Configuration, 1}}, 1);
    const auto entry =
        fmt::format(R"({{"service":"one","address":"{}","zone":"dc","slots":64,"state":"ready"}})",
            serverAddress);
    m_router.serverListSubscriber().onSnapshot({{"server", entry, 1}}, 1);
    m_thread = std::thread([this] {
        m_reactor.run();
        m_hasStopped = true;
    });
    waitUntilReady();
}

void RunningRouter::waitUntilReady() const
{
    const std::string request = "GET /carawaykeel/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    for (int n = 0; n < 500; ++n) {
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(m_settings.readinessAddress)};
        socket.sendBytes(request.data(), static_cast<int>(request.size()));
        if (RouterHarness::readResponse(socket).status == Poco::Net::HTTPResponse::HTTP_OK)
            return;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

RunningRouter::~RunningRouter()
{
    m_reactor.stop();
    m_thread.join();
}

void RunningRouter::shutDown()
{
    m_reactor.post([this] { m_router.shutDown(); });
}

} // namespace Carawaykeel::Tests
