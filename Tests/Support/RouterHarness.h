#pragma once

#include <Carawaykeel/Ingress/CallerListener.h>
#include <Carawaykeel/Ingress/ExchangeContext.h>
#include <Carawaykeel/Ingress/ForwardHandler.h>
#include <platform/PlatformDialect.h>

#include <Support/MemoryLogSink.h>
#include <Support/MemoryTable.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Carawaykeel::Tests {

/// A response as a caller receives it.
struct CallerResponse
{
    int status = 0;
    std::string head;
    std::string body;
    /// True if the body was received up to its end, according to its framing.
    bool isComplete = false;
    /// The body contains bytes that do not belong to it.
    bool isMalformed = false;
};

/// A router that forwards requests over loopback sockets, without peers and budgets.
class RouterHarness
{
public:
    /// Adds a server of the service "service" for each address, in data centres "dc-0", "dc-1" and
    /// so on. The first has the lowest load.
    RouterHarness(Forwarding::Route route, const std::vector<std::string> &serverAddresses);
    ~RouterHarness();

    /// Sets a limit for cold servers, and makes the first server cold if the time is not zero.
    void makeCold(Base::Milliseconds coldTime);

    /// Sends bytes on a new connection and returns the first response.
    CallerResponse call(const std::string &bytes);

    /// Returns a new connection to the router.
    Poco::Net::StreamSocket connect();
    /// Reads one response. It is incomplete if the router closes or resets the connection early.
    static CallerResponse readResponse(Poco::Net::StreamSocket &connection);

    /// Returns a request that matches the route. Each of the header fields in `fields` ends with
    /// CR LF.
    static std::string makeRequest(const std::string &id, const std::string &fields = {},
        const std::string &method = "GET", const std::string &body = {});

    /// Use on the reactor's thread only.
    Net::Reactor &reactor() { return m_reactor; }
    Forwarding::ServerPool &serverPool() { return m_serverPool; }
    Ingress::ServerConnectionPool &serverConnections() { return m_serverConnections; }

private:
    class UnlimitedBudget : public Budget::TokenBudget
    {
    public:
        void hold(const Base::TeamId &team, Base::Tokens tokens,
            std::function<void(Base::Outcome<Budget::TokenHold>)> callback) override
        {
            callback(Budget::TokenHold{team, tokens, {}});
        }
        void settle(const Budget::TokenHold &, Base::Tokens) override { }
    };

    class NoOtherInstances : public Ingress::PromptReportTransport
    {
    public:
        void sendToAll(std::span<const Forwarding::PromptReport>) override { }
        void sendToSome(std::span<const Forwarding::PromptReport>) override { }
        void sendTo(const Base::InstanceName &, std::span<const Forwarding::PromptReport>) override
        {
        }
    };

    Net::Reactor m_reactor;
    MemoryLogSink m_logSink;
    Logging::Logger m_log;
    CarawaykeelPlatform::PlatformDialect m_dialect;
    Base::RandomEngine m_random{1};
    Forwarding::ServerPool m_serverPool;
    Forwarding::RetryBudget m_retryBudget;
    Ingress::BacklogBroadcaster m_backlogBroadcaster;
    NoOtherInstances m_otherInstances;
    MemoryTable m_table{m_reactor};
    Ingress::QuarantineStore m_quarantineStore;
    Ingress::PromptGuard m_promptGuard;
    Ingress::RouterMetrics m_metrics;
    Ingress::BufferAccount m_buffers;
    Ingress::ServerConnectionPool m_serverConnections;
    UnlimitedBudget m_tokenBudget;
    Ingress::ExchangeContext m_context;
    Ingress::ForwardHandler m_handler;
    Ingress::CallerListener m_callerListener;
    std::thread m_thread;
};

} // namespace Carawaykeel::Tests
