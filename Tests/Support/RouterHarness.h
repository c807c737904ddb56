#pragma once

#include <Carawaykeel/Ingress/CallerListener.h>
#include <Carawaykeel/Ingress/ExchangeContext.h>
#include <Carawaykeel/Ingress/ForwardHandler.h>
#include <platform/PlatformDialect.h>

#include <Support/MemoryLogSink.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Carawaykeel::Tests {

/// An answer as a caller sees it.
struct CallerResponse
{
    int status = 0;
    std::string head;
    std::string body;
    /// The body's end was seen, as its framing tells it.
    bool isComplete = false;
};

/// The request path of a router on loopback sockets, without table, peers and budgets.
class RouterHarness
{
public:
    /// Each address becomes a server of the service "service"; the first has the smallest load.
    RouterHarness(Forwarding::Route route, const std::vector<std::string> &servers);
    ~RouterHarness();

    /// Sends bytes on a new connection and reads one answer.
    CallerResponse call(const std::string &bytes);

    /// A connection to the router.
    Poco::Net::StreamSocket connect();
    static CallerResponse readResponse(Poco::Net::StreamSocket &connection);

    /// A request of the route; the fields end with CR LF each.
    static std::string makeRequest(const std::string &id, const std::string &fields = {},
        const std::string &method = "GET", const std::string &body = {});

private:
    class FreePurse : public Budget::TokenBudget
    {
    public:
        void hold(const Base::TeamId &team, Base::Tokens tokens,
            std::function<void(Base::Outcome<Budget::TokenHold>)> answer) override
        {
            answer(Budget::TokenHold{team, tokens, {}});
        }
        void settle(const Budget::TokenHold &, Base::Tokens) override { }
    };

    Net::Reactor m_reactor;
    CarawaykeelPlatform::PlatformDialect m_dialect;
    Base::RandomEngine m_random{1};
    Forwarding::ServerPool m_servers;
    Forwarding::RetryBudget m_retries;
    Ingress::BacklogBroadcaster m_backlogs;
    Ingress::RouterMetrics m_metrics;
    Ingress::ServerConnectionPool m_connections;
    FreePurse m_purse;
    MemoryLogSink m_logSink;
    Logging::Logger m_log;
    Ingress::ExchangeContext m_context;
    Ingress::ForwardHandler m_handler;
    Ingress::CallerListener m_callers;
    std::thread m_thread;
};

} // namespace Carawaykeel::Tests
