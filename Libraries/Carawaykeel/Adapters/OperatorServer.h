#pragma once

#include <Carawaykeel/Adapters/DaemonSettings.h>
#include <Carawaykeel/Fleet/InstanceBridge.h>

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>
#include <functional>
#include <memory>
#include <string>

namespace Carawaykeel::Adapters {

/// State shared by all handlers of operators' requests.
struct OperatorContext
{
    Fleet::InstanceBridge &bridge;
    Platform::TableService &table;
    const LimitSettings &limits;
    std::string key;
    /// Returns the metrics page; called on the scheduler's thread.
    std::function<std::string()> metrics;
    /// Starts the shutdown.
    std::function<void()> drain;
};

/// HTTP server for operators: /admin/... and /metrics.
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
