#include <Carawaykeel/Adapters/OperatorServer.h>

#include <Carawaykeel/Adapters/HttpResponses.h>
#include <Carawaykeel/Adapters/MakeHttpServer.h>
#include <Carawaykeel/Adapters/StateDump.h>
#include <Carawaykeel/Configuration/JsonObjectReader.h>
#include <Carawaykeel/Platform/RowCodec.h>

#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <future>
#include <utility>

namespace Carawaykeel::Adapters {

namespace {

constexpr int ThreadStackSize = 256 * 1'024;
constexpr int MaxThreads = 16;
constexpr int ThreadIdleSeconds = 10;
constexpr std::int64_t MaxTokens = 1'000'000'000'000'000;

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// Starts an asynchronous call on the event loop's thread and blocks until its result arrives.
template <typename T>
Base::Result<T> callAndWait(
    Fleet::InstanceBridge &bridge, std::function<void(std::function<void(Base::Outcome<T>)>)> start)
{
    auto promise = std::make_shared<std::promise<Base::Outcome<T>>>();
    auto future = promise->get_future();
    bridge.callOnLoop<bool>([&] {
        start([promise](Base::Outcome<T> outcome) { promise->set_value(std::move(outcome)); });
        return true;
    });
    auto outcome = future.get();
    if (auto *failure = std::get_if<Base::Failure>(&outcome))
        return boost::leaf::new_error(std::move(*failure));
    return std::get<T>(std::move(outcome));
}

class OperatorHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit OperatorHandler(OperatorContext &context)
        : m_context(context)
    {
    }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        boost::leaf::try_handle_all(
            [&]() -> Base::Result<void> { return tryRespond(request, response); },
            [&](const Base::Failure &failure) {
                response.setKeepAlive(false);
                sendErrorResponse(response, failure);
            },
            [&] {
                sendErrorResponse(response, {Base::ErrorKind::Internal, "unnamed error", {}});
            });
    }

private:
    Base::Result<void> tryRespond(HTTPServerRequest &request, HTTPServerResponse &response)
    {
        const auto &path = request.getURI();
        if (sha256Hex(bearerKey(request)) != sha256Hex(m_context.key))
            return Base::fail(Base::ErrorKind::InvalidKey, "the operators' key is wrong");
        const bool isGet = request.getMethod() == Poco::Net::HTTPRequest::HTTP_GET;
        const bool isPost = request.getMethod() == Poco::Net::HTTPRequest::HTTP_POST;
        if (isGet && path == "/metrics")
            return sendMetrics(response);
        if (isGet && path == "/admin/state")
            return sendDump(response, dumpState);
        if (isGet && path == "/admin/health")
            return sendDump(response, dumpHealth);
        if (isGet && path == "/admin/configuration")
            return sendConfiguration(response);
        if (isGet && path == "/admin/budgets")
            return trySendBudgets(response);
        if (isPost && path == "/admin/configuration")
            return tryApply(request, response);
        if (isPost && path == "/admin/top-up")
            return tryTopUp(request, response);
        if (isPost && path == "/admin/drain")
            return drain(response);
        return Base::fail(
            Base::ErrorKind::NotFound, "there is no " + request.getMethod() + " at this path");
    }

    Base::Result<void> sendMetrics(HTTPServerResponse &response)
    {
        const auto page =
            m_context.bridge.callOnLoop<std::string>([&] { return m_context.metrics(); });
        sendResponse(response, HTTPServerResponse::HTTP_OK, "text/plain; version=0.0.4", page);
        return {};
    }

    Base::Result<void> sendDump(
        HTTPServerResponse &response, Poco::JSON::Object (*dump)(Instance::Instance &))
    {
        const auto text = m_context.bridge.callOnLoop<std::string>(
            [&] { return toJson(dump(m_context.bridge.instance())); });
        sendResponse(response, HTTPServerResponse::HTTP_OK, "application/json", text);
        return {};
    }

    Base::Result<void> sendConfiguration(HTTPServerResponse &response)
    {
        const auto text = m_context.bridge.callOnLoop<std::string>([&] {
            const auto &configuration = m_context.bridge.instance().configuration();
            Poco::JSON::Object object;
            object.set("version", configuration.version());
            object.set("document", configuration.document());
            return toJson(object);
        });
        sendResponse(response, HTTPServerResponse::HTTP_OK, "application/json", text);
        return {};
    }

    Base::Result<void> trySendBudgets(HTTPServerResponse &response)
    {
        BOOST_LEAF_AUTO(reply,
            callAndWait<Platform::RangeReply>(m_context.bridge,
                [&](std::function<void(Base::Outcome<Platform::RangeReply>)> callback) {
                    m_context.table.readRange("budget/", [callback](Platform::RangeReply rows) {
                        if (!rows.isReachable)
                            return callback(Base::Failure{Base::ErrorKind::PlatformUnreachable,
                                "the platform cannot be reached", {}});
                        callback(std::move(rows));
                    });
                }));
        Poco::JSON::Array budgets;
        for (const auto &row : reply.rows) {
            const auto budgetRow = Platform::decodeRow<Budget::BudgetRow>(row.value);
            Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
            object.set("budget", row.key.substr(row.key.find('/') + 1));
            object.set("topped_up", budgetRow.toppedUp.count());
            object.set("settled_in_closed_grants", budgetRow.settled.count());
            object.set("granted", budgetRow.granted.count());
            object.set("available", budgetRow.available().count());
            object.set("open_grants", budgetRow.grants.size());
            budgets.add(object);
        }
        Poco::JSON::Object object;
        object.set("budgets", budgets);
        sendJson(response, object);
        return {};
    }

    /// Reads a JSON body and rejects unknown keys. Fails with MalformedRequest and all validation
    /// errors, or as tryReadBody() does.
    template <typename Function>
    Base::Result<void> tryReadObject(HTTPServerRequest &request, Function &&read)
    {
        BOOST_LEAF_AUTO(body, tryReadBody(request, m_context.limits.bodyBytes));
        Configuration::ValidationErrors errors;
        auto reader = Configuration::JsonObjectReader::parse(body, errors);
        if (errors.empty()) {
            read(reader);
            reader.rejectUnknownKeys();
        }
        if (!errors.empty()) {
            return Base::fail(
                Base::ErrorKind::MalformedRequest, Configuration::formatErrors(errors, "body"));
        }
        return {};
    }

    Base::Result<void> tryApply(HTTPServerRequest &request, HTTPServerResponse &response)
    {
        std::string document;
        std::int64_t baseVersion = 0;
        Base::OperationId operation;
        BOOST_LEAF_CHECK(tryReadObject(request, [&](Configuration::JsonObjectReader &reader) {
            document = reader.requireString("document");
            baseVersion = reader.requireInteger("base_version", 0, MaxTokens);
            operation = Base::OperationId(reader.requireName("operation"));
        }));
        BOOST_LEAF_AUTO(applied,
            callAndWait<Configuration::ApplyResult>(m_context.bridge,
                [&](std::function<void(Base::Outcome<Configuration::ApplyResult>)> callback) {
                    m_context.bridge.instance().configuration().apply(document,
                        static_cast<std::uint64_t>(baseVersion), operation, std::move(callback));
                }));
        Poco::JSON::Object object;
        object.set("version", applied.version);
        sendJson(response, object);
        return {};
    }

    Base::Result<void> tryTopUp(HTTPServerRequest &request, HTTPServerResponse &response)
    {
        Base::BudgetId budget;
        Budget::TopUpOrder order;
        BOOST_LEAF_CHECK(tryReadObject(request, [&](Configuration::JsonObjectReader &reader) {
            budget = Base::BudgetId(reader.requireName("budget"));
            order.id = Base::TopUpId(reader.requireName("id"));
            order.tokens = Base::Tokens(reader.requireInteger("tokens", 1, MaxTokens));
        }));
        const bool isDeclared = m_context.bridge.callOnLoop<bool>([&] {
            const auto &budgets = m_context.bridge.instance().configuration().declaration().budgets;
            return std::any_of(budgets.begin(), budgets.end(),
                [&](const auto &declared) { return declared.id == budget; });
        });
        if (!isDeclared) {
            return Base::fail(
                Base::ErrorKind::NotFound, "no budget " + budget.text() + " is declared");
        }
        BOOST_LEAF_AUTO(budgetRow,
            callAndWait<Budget::BudgetRow>(m_context.bridge,
                [&](std::function<void(Base::Outcome<Budget::BudgetRow>)> callback) {
                    m_context.bridge.instance().grantHolder().topUps().topUp(
                        budget, order, std::move(callback));
                }));
        Poco::JSON::Object object;
        object.set("budget", budget.text());
        object.set("topped_up", budgetRow.toppedUp.count());
        sendJson(response, object);
        return {};
    }

    Base::Result<void> drain(HTTPServerResponse &response)
    {
        m_context.drain();
        Poco::JSON::Object object;
        object.set("draining", true);
        sendJson(response, object);
        return {};
    }

    OperatorContext &m_context;
};

class OperatorHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit OperatorHandlerFactory(OperatorContext &context)
        : m_context(context)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
    {
        return new OperatorHandler(m_context);
    }

private:
    OperatorContext &m_context;
};

} // namespace

OperatorServer::OperatorServer(const ListenerSettings &listener, OperatorContext &context)
    : m_threads(2, MaxThreads, ThreadIdleSeconds, ThreadStackSize)
{
    m_server =
        makeHttpServer(listener, context.limits, m_threads, new OperatorHandlerFactory(context));
    m_server->start();
}

OperatorServer::~OperatorServer()
{
    m_server->stop();
}

} // namespace Carawaykeel::Adapters
