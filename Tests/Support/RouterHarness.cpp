#include <Support/RouterHarness.h>

#include <Carawaykeel/Http/BodyDecoder.h>

#include <Poco/Exception.h>
#include <Poco/Timespan.h>
#include <array>
#include <fmt/core.h>
#include <future>

namespace Carawaykeel::Tests {

namespace {

constexpr Forwarding::RetryBudgetPolicy RetryPolicy{0.2, 100, Base::Milliseconds(10'000)};
constexpr std::size_t MaxConnections = 100;
/// A quarter of the smallest VM's memory.
constexpr std::size_t BufferLimit = 22 * 1'024 * 1'024;
const Poco::Timespan ResponseTimeout(5, 0);

std::shared_ptr<const Forwarding::RouterConfiguration> makeConfiguration(Forwarding::Route route)
{
    route.host = "a.example";
    route.prefix = "/r/";
    route.services = {{Base::ServiceName("service"), 1}};
    return std::make_shared<const Forwarding::RouterConfiguration>(1,
        std::vector<Forwarding::Route>{route},
        std::vector<Forwarding::Team>{{Base::TeamId("team"), {"key"}, std::nullopt, std::nullopt}},
        std::vector<Forwarding::ServiceDefinition>{}, Forwarding::CallerLimits());
}

} // namespace

RouterHarness::RouterHarness(
    Forwarding::Route route, const std::vector<std::string> &serverAddresses)
    : m_log({Base::InstanceName("test"), 1}, m_logSink)
    , m_serverPool(Base::DataCentre("none"), {}, m_random)
    , m_retryBudget(RetryPolicy, Base::Milliseconds() - RetryPolicy.window)
    , m_backlogBroadcaster(m_reactor, m_serverPool, [](const auto &) {})
    , m_quarantineStore(m_table, m_reactor, m_random)
    , m_promptGuard(m_reactor, m_otherInstances, m_quarantineStore, m_random, m_log)
    , m_buffers(BufferLimit, m_reactor, m_log)
    , m_serverConnections(m_reactor, m_dialect, m_buffers)
    , m_context{m_reactor, m_dialect, m_serverPool, m_retryBudget, m_backlogBroadcaster,
          m_promptGuard, m_metrics, m_serverConnections, m_buffers, m_tokenBudget, m_log, m_random,
          makeConfiguration(std::move(route)), false, 0}
    , m_handler(m_context)
    , m_callerListener(
          m_reactor, "127.0.0.1:0", m_handler, [] { return Forwarding::CallerLimits(); },
          {.maxConnections = MaxConnections}, m_buffers)
{
    m_retryBudget.setInstanceCount(1);
    int n = 0;
    for (const auto &address : serverAddresses) {
        Forwarding::ServerEntry entry;
        entry.name = Base::ServerName(fmt::format("server-{}", n));
        entry.service = Base::ServiceName("service");
        entry.address = address;
        entry.dataCentre = Base::DataCentre(fmt::format("dc-{}", n));
        m_serverPool.addOrUpdate(entry);
        // Each server is more loaded than the one before, so that the order of attempts is fixed.
        for (int k = 0; k < n; ++k)
            m_serverPool.onRequestSent(entry.name, {}, m_reactor.now());
        ++n;
    }
    m_thread = std::thread([this] { m_reactor.run(); });
}

void RouterHarness::makeCold(Base::Milliseconds coldTime)
{
    Forwarding::ServiceDefinition service;
    service.name = Base::ServiceName("service");
    service.coldRequestsPerSecond = 10;
    const auto configuration = std::make_shared<const Forwarding::RouterConfiguration>(1,
        std::vector<Forwarding::Route>{}, std::vector<Forwarding::Team>{},
        std::vector<Forwarding::ServiceDefinition>{service}, Forwarding::CallerLimits());
    std::promise<void> done;
    m_reactor.schedule(Base::Milliseconds(), [&] {
        m_serverPool.coldServers().setPolicy(Forwarding::ColdServerPolicy());
        m_serverPool.coldServers().setConfiguration(configuration);
        if (coldTime > Base::Milliseconds())
            m_serverPool.onColdTimeStated(Base::ServerName("server-0"), coldTime, m_reactor.now());
        done.set_value();
    });
    done.get_future().wait();
}

RouterHarness::~RouterHarness()
{
    m_reactor.stop();
    m_thread.join();
}

Poco::Net::StreamSocket RouterHarness::connect()
{
    Poco::Net::StreamSocket connection(m_callerListener.address());
    connection.setReceiveTimeout(ResponseTimeout);
    return connection;
}

std::string RouterHarness::makeRequest(const std::string &id, const std::string &fields,
    const std::string &method, const std::string &body)
{
    const auto length =
        body.empty() ? std::string() : fmt::format("Content-Length: {}\r\n", body.size());
    return fmt::format("{} /r/x?y=1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {}\r\n"
                       "Authorization: Bearer key\r\n{}{}\r\n{}",
        method, id, fields, length, body);
}

CallerResponse RouterHarness::call(const std::string &bytes)
{
    auto connection = connect();
    connection.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    return readResponse(connection);
}

CallerResponse RouterHarness::readResponse(Poco::Net::StreamSocket &connection)
{
    CallerResponse response;
    std::string buf;
    std::optional<Http::BodyDecoder> body;
    try {
        while (!response.isComplete) {
            std::array<char, 16'384> bytes{};
            const int n = connection.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
            if (n <= 0)
                break;
            buf.append(bytes.data(), static_cast<std::size_t>(n));
            const auto end = body ? std::nullopt : Http::findHeadEnd(buf);
            if (end) {
                response.head = buf.substr(0, *end);
                auto outcome = Base::toOutcome<Http::ResponseHead>(
                    [&] { return Http::tryParseResponseHead(response.head); });
                const auto &head = std::get<Http::ResponseHead>(outcome);
                response.status = head->getStatus();
                body = Http::BodyDecoder::forResponse(*head, "GET");
                buf.erase(0, *end);
            }
            if (body)
                buf.erase(0, body->decode(buf, response.body));
            response.isComplete = body && body->isComplete();
            response.isMalformed = body && body->isMalformed();
        }
    } catch (const Poco::Exception &) {
        // The router reset the connection, so the response is incomplete.
    }
    return response;
}

} // namespace Carawaykeel::Tests
