#pragma once

#include <Carawaykeel/Ingress/Router.h>
#include <platform/PlatformDialect.h>

#include <Support/MemoryLogSink.h>
#include <Support/UnreachableTable.h>

#include <atomic>
#include <string>
#include <thread>

namespace Carawaykeel::Tests {

/// A whole router on loopback sockets, with one service of one server and without peers and table
/// service.
class RunningRouter
{
public:
    /// Routes "/unsafe/" and "/stream/" of "a.example" lead to the server.
    explicit RunningRouter(const std::string &serverAddress);
    ~RunningRouter();

    RunningRouter(const RunningRouter &) = delete;
    RunningRouter &operator=(const RunningRouter &) = delete;

    /// Starts the planned stop.
    void shutDown();
    /// True once the router has ended by itself.
    bool hasStopped() const { return m_hasStopped; }

    /// Reports changes of the table `op` as the table service does.
    Platform::ChangeListener &evacuationSubscriber() { return m_router.evacuationSubscriber(); }

    const std::string &callerAddress() const { return m_settings.callerAddress; }
    const std::string &entryAddress() const { return m_settings.entryAddress; }
    const std::string &metricsAddress() const { return m_settings.metricsAddress; }
    const MemoryLogSink &log() const { return m_logSink; }

private:
    void waitUntilReady() const;

    const Ingress::RouterSettings m_settings;
    Net::Reactor m_reactor;
    CarawaykeelPlatform::PlatformDialect m_dialect;
    UnreachableTable m_table;
    MemoryLogSink m_logSink;
    Ingress::Router m_router;
    std::atomic<bool> m_hasStopped = false;
    std::thread m_thread;
};

/// Returns settings whose addresses are free loopback addresses.
Ingress::RouterSettings makeLoopbackSettings();

} // namespace Carawaykeel::Tests
