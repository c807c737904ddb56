#include <Carawaykeel/Adapters/Daemon.h>

#include <Carawaykeel/Adapters/MetricsPage.h>
#include <Carawaykeel/Base/Incarnation.h>

#include <chrono>
#include <fmt/core.h>
#include <random>
#include <unistd.h>
#include <utility>

namespace Carawaykeel::Adapters {

using Logging::LogEvent;
using Logging::LogFields;

namespace {

constexpr int MaxResponsePolls = 500;
constexpr std::chrono::milliseconds ResponsePollInterval{10};

std::string generateSecret()
{
    std::random_device random;
    return fmt::format("{:08x}{:08x}{:08x}{:08x}", random(), random(), random(), random());
}

DaemonSettings withIdentity(DaemonSettings settings)
{
    settings.instance.self.id.incarnation = Base::generateIncarnation();
    settings.instance.requestIdSecret = generateSecret();
    return settings;
}

} // namespace

Daemon::Daemon(DaemonSettings settings)
    : m_settings(withIdentity(std::move(settings)))
    , m_random(std::random_device{}())
    , m_logSink(STDOUT_FILENO)
    , m_log(m_settings.instance.self.id, m_logSink)
    , m_codec(m_settings.peerKey)
    , m_platform(m_settings.platform, m_settings.instance.self.id.name.text(), m_loop)
    , m_backends(m_settings.limits)
    , m_attemptLookup(m_backends, m_loop)
    , m_table(std::make_unique<Fleet::RoutingTable>())
{
    const auto &self = m_settings.instance.self;
    // The receivers run on the event loop's thread, where the instance is created below. They drop
    // messages that arrive earlier.
    m_peerTransport = std::make_unique<Transport::TcpPeerTransport>(
        self.id, self.peerAddress, m_settings.limits.frameBytes, m_codec, m_loop, m_log,
        [this](const Base::InstanceName &name) { return addressOf(name); },
        [this](const Peer::PeerEnvelope &envelope) {
            if (m_instance)
                m_instance->onPeerMessage(envelope);
        });
    m_gossipTransport = std::make_unique<Transport::UdpGossipTransport>(
        self.gossipAddress, m_codec, m_loop, [this](const Membership::GossipMessage &message) {
            if (m_instance)
                m_instance->onGossip(message);
        });
    m_loopThread.start();
    std::promise<void> instanceCreated;
    m_loop.post([&] {
        m_instance = std::make_unique<Instance::Instance>(m_settings.instance, m_loop, m_platform,
            *m_peerTransport, *m_gossipTransport, m_attemptLookup, m_random,
            Instance::InstanceEvents{
                [this](std::uint64_t version, const Configuration::Declaration &declaration) {
                    onConfiguration(version, declaration);
                },
                [this](const Base::InstanceId &failed) { onInstanceFailed(failed); }});
        m_bridge = std::make_unique<Fleet::InstanceBridge>(*m_instance, m_loop, m_table);
        instanceCreated.set_value();
    });
    instanceCreated.get_future().wait();
    m_callerContext = std::make_unique<CallerContext>(
        CallerContext{*m_bridge, m_backends, m_metrics, m_settings.limits, false});
    m_callerServer = std::make_unique<CallerServer>(m_settings.callers, *m_callerContext);
    m_operatorContext = std::make_unique<OperatorContext>(
        OperatorContext{*m_bridge, m_platform, m_settings.limits, m_settings.operators.key,
            [this] {
                return metricsPage(
                    {*m_instance, m_metrics, m_platform, *m_peerTransport, *m_gossipTransport});
            },
            [this] { requestShutDown(); }});
    m_operatorServer = std::make_unique<OperatorServer>(m_settings.operators, *m_operatorContext);
    m_loop.post([this] {
        m_instance->start();
        pollVmList();
    });
    m_log.info(LogEvent::Started,
        LogFields()
            .add("callers", self.callerAddress)
            .add("operators", self.operatorAddress)
            .add("data_centre", self.dataCentre.text()));
}

Daemon::~Daemon()
{
    m_callerServer->stop();
    m_operatorServer.reset();
    m_platform.stop();
    m_attemptLookup.stop();
    m_loopThread.stop();
    m_gossipTransport.reset();
    m_peerTransport.reset();
}

void Daemon::flushLog()
{
    constexpr Base::Milliseconds FlushTimeout(200);
    m_logSink.flush(FlushTimeout);
}

std::string Daemon::addressOf(const Base::InstanceName &name)
{
    const auto &members = m_instance->membership().members();
    const auto it = members.find(name);
    return it == members.end() ? std::string() : it->second.peerAddress;
}

void Daemon::onConfiguration(std::uint64_t version, const Configuration::Declaration &declaration)
{
    m_attemptLookup.setDeclaration(declaration);
    m_table.publish(std::make_unique<Fleet::RoutingTable>(version, declaration));
    m_log.info(LogEvent::ConfigurationInForce, LogFields().add("version", version));
}

void Daemon::onInstanceFailed(const Base::InstanceId &failed)
{
    m_log.warn(LogEvent::InstanceMissed,
        LogFields()
            .add("missed", failed.name.text())
            .add("missed_incarnation", failed.incarnation));
}

void Daemon::pollVmList()
{
    m_platform.readVms([this](const Platform::VmListReply &reply) {
        if (reply.isReachable)
            applyVmList(reply);
        m_loop.schedule(m_settings.platform.vmListInterval, [this] { pollVmList(); });
    });
}

void Daemon::applyVmList(const Platform::VmListReply &reply)
{
    for (const auto &entry : reply.entries) {
        const bool isLeavingServer =
            !entry.server.empty() && entry.state != Platform::VmState::Live;
        if (isLeavingServer)
            m_instance->markServerLeaving(Base::ServerName(entry.server));
        const bool isGoneVm = entry.server.empty() && entry.state == Platform::VmState::Gone;
        if (isGoneVm && m_settings.platform.isVmListAuthoritative)
            m_instance->membership().markVmGone(entry.vm);
    }
}

void Daemon::requestShutDown()
{
    m_loop.post([this] {
        if (m_instance->isShuttingDown())
            return;
        m_log.info(LogEvent::Leaving);
        m_instance->shutDown(m_settings.shutDownLimit,
            [this](bool areTokensReturned) { finish(areTokensReturned); });
    });
}

void Daemon::finish(bool areTokensReturned)
{
    if (areTokensReturned) {
        m_log.info(LogEvent::Left, LogFields().add("open_grants", 0));
    } else {
        m_log.warn(LogEvent::Left,
            LogFields().add("open_grants", m_instance->grantHolder().grants().all().size()));
    }
    const std::lock_guard lock(m_mutex);
    m_isFinished = true;
    m_areTokensReturned = areTokensReturned;
    m_wake.notify_all();
}

bool Daemon::wait()
{
    std::unique_lock lock(m_mutex);
    m_wake.wait(lock, [this] { return m_isFinished; });
    // Requests are complete for the instance before the last bytes of their responses are written,
    // so wait for those writes.
    for (int n = 0; m_metrics.active > 0 && n < MaxResponsePolls; ++n)
        std::this_thread::sleep_for(ResponsePollInterval);
    return m_areTokensReturned;
}

} // namespace Carawaykeel::Adapters
