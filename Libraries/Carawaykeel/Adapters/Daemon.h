#pragma once

#include <Carawaykeel/Adapters/BackendClient.h>
#include <Carawaykeel/Adapters/CallerServer.h>
#include <Carawaykeel/Adapters/DaemonSettings.h>
#include <Carawaykeel/Adapters/EngineAttemptLookup.h>
#include <Carawaykeel/Adapters/OperatorServer.h>
#include <Carawaykeel/Adapters/PlatformClient.h>
#include <Carawaykeel/Fleet/InstanceBridge.h>
#include <Carawaykeel/Instance/Instance.h>
#include <Carawaykeel/Logging/Logger.h>
#include <Carawaykeel/Logging/StreamLogSink.h>
#include <Carawaykeel/Net/ReactorThread.h>
#include <Carawaykeel/Transport/TcpPeerTransport.h>
#include <Carawaykeel/Transport/UdpGossipTransport.h>

#include <condition_variable>
#include <memory>
#include <mutex>

namespace Carawaykeel::Adapters {

/// The process of one instance on an entry VM: the decision logic on its event loop, and the
/// network services around it.
class Daemon
{
public:
    /// Binds all addresses. Throws Poco::Exception if an address cannot be bound.
    explicit Daemon(DaemonSettings settings);
    ~Daemon();

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Starts the shutdown. Further calls have no effect.
    void requestShutDown();

    /// Writes buffered log lines; gives up after a timeout if the reader of the log is blocked.
    void flushLog();

    /// Blocks until the shutdown is complete. Returns true if all tokens were returned.
    bool wait();

private:
    std::string addressOf(const Base::InstanceName &name);
    void onConfiguration(std::uint64_t version, const Configuration::Declaration &declaration);
    void onInstanceFailed(const Base::InstanceId &failed);
    void pollVmList();
    void applyVmList(const Platform::VmListReply &reply);
    void finish(bool areTokensReturned);

    DaemonSettings m_settings;
    Base::RandomEngine m_random;
    Logging::StreamLogSink m_logSink;
    Logging::Logger m_log;
    Peer::AuthenticatedCodec m_codec;
    Net::ReactorThread m_loopThread;
    Net::Reactor &m_loop = m_loopThread.reactor();
    PlatformClient m_platform;
    BackendClient m_backends;
    EngineAttemptLookup m_attemptLookup;
    CallerMetrics m_metrics;
    Fleet::RcuCell<Fleet::RoutingTable> m_table;
    std::unique_ptr<Transport::TcpPeerTransport> m_peerTransport;
    std::unique_ptr<Transport::UdpGossipTransport> m_gossipTransport;
    std::unique_ptr<Instance::Instance> m_instance;
    std::unique_ptr<Fleet::InstanceBridge> m_bridge;
    std::unique_ptr<CallerContext> m_callerContext;
    std::unique_ptr<OperatorContext> m_operatorContext;
    std::unique_ptr<CallerServer> m_callerServer;
    std::unique_ptr<OperatorServer> m_operatorServer;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isFinished = false;
    bool m_areTokensReturned = false;
};

} // namespace Carawaykeel::Adapters
