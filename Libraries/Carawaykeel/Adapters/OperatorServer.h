#pragma once

#include <Carawaykeel/Adapters/DaemonSettings.h>
#include <Carawaykeel/Fleet/InstanceBridge.h>

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>
#include <functional>
#include <memory>
#include <string>

namespace Carawaykeel::Adapters {

/// What the operators' handlers share.
struct OperatorContext
{
    Fleet::InstanceBridge &bridge;
    Platform::TableService &table;
    const LimitSettings &limits;
    std::string key;
    /// Makes the page of counters; called on the scheduler's thread.
    std::function<std::string()> metrics;
    /// Begins the shutdown.
    std::function<void()> drain;
};

/// The operators' listening address: /admin/... and /metrics.
class OperatorServer
{
public:
    OperatorServer(const ListenerSettings &listener, OperatorContext &context);
    ~OperatorServer();

    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

private:
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace Carawaykeel::Adapters
