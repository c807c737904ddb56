#include <Carawaykeel/Adapters/CallerServer.h>

#include <Carawaykeel/Adapters/ChatHandler.h>
#include <Carawaykeel/Adapters/MakeHttpServer.h>
#include <Carawaykeel/Adapters/ServiceHandler.h>

#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/URI.h>
#include <ctime>
#include <utility>

namespace Carawaykeel::Adapters {

namespace {

constexpr int ThreadStackSize = 256 * 1'024;
constexpr int ThreadIdleSeconds = 10;
constexpr int MinThreads = 4;
/// Request ids issued per response of GET /v1/entry.
constexpr int IssuedIdCount = 8;

/// GET /v1/entry: the addresses for a team's callers, and request ids that need no access to the
/// platform.
class EntryHandler : public CallerHandler
{
public:
    using CallerHandler::CallerHandler;

protected:
    Base::Result<void> tryHandle(const Configuration::TeamDeclaration &team,
        Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &response) override
    {
        const auto entry = context().bridge.entryInstancesFor(team.id);
        Poco::JSON::Array addresses;
        for (const auto &member : entry.members) {
            Poco::JSON::Object address(Poco::JSON_PRESERVE_KEY_ORDER);
            address.set("url",
                std::string(context().isTls ? "https://" : "http://") + member.callerAddress);
            address.set("data_centre", member.dataCentre.text());
            addresses.add(address);
        }
        Poco::JSON::Array ids;
        for (int n = 0; n < IssuedIdCount; ++n)
            ids.add(context().bridge.issueRequestId(team.id).text());
        Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
        object.set("addresses", addresses);
        object.set("keep_ms", entry.cacheTime.count());
        object.set("request_ids", ids);
        object.set("request_ids_at", context().bridge.instance().membership().self().callerAddress);
        sendJson(response, object);
        return {};
    }
};

/// GET /v1/models, in the format of the OpenAI API.
class ModelsHandler : public CallerHandler
{
public:
    using CallerHandler::CallerHandler;

protected:
    Base::Result<void> tryHandle(const Configuration::TeamDeclaration &,
        Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &response) override
    {
        const auto models = context().bridge.withRoutingTable(
            [](const Fleet::RoutingTable &table) { return table.models(); });
        Poco::JSON::Array data;
        for (const auto &model : models) {
            Poco::JSON::Object entry(Poco::JSON_PRESERVE_KEY_ORDER);
            entry.set("id", model.text());
            entry.set("object", "model");
            entry.set("created", 0);
            entry.set("owned_by", "carawaykeel");
            data.add(entry);
        }
        Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
        object.set("object", "list");
        object.set("data", data);
        sendJson(response, object);
        return {};
    }
};

/// Responds with an error to requests that no other handler accepts.
class ErrorHandler : public CallerHandler
{
public:
    ErrorHandler(CallerContext &context, Base::ErrorKind kind)
        : CallerHandler(context)
        , m_kind(kind)
    {
    }

protected:
    Base::Result<void> tryHandle(const Configuration::TeamDeclaration &,
        Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &) override
    {
        return Base::fail(m_kind, "there is no " + request.getMethod() + " at this path");
    }

private:
    const Base::ErrorKind m_kind;
};

class CallerHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit CallerHandlerFactory(CallerContext &context)
        : m_context(context)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(
        const Poco::Net::HTTPServerRequest &request) override
    {
        const auto &uri = request.getURI();
        const auto path = uri.substr(0, uri.find('?'));
        if (path.starts_with("/services/"))
            return new ServiceHandler(m_context);
        if (path == "/v1/chat/completions")
            return handlerForMethod<ChatHandler>(request, Poco::Net::HTTPRequest::HTTP_POST);
        if (path == "/v1/models")
            return handlerForMethod<ModelsHandler>(request, Poco::Net::HTTPRequest::HTTP_GET);
        if (path == "/v1/entry")
            return handlerForMethod<EntryHandler>(request, Poco::Net::HTTPRequest::HTTP_GET);
        return new ErrorHandler(m_context, Base::ErrorKind::NotFound);
    }

private:
    template <typename Handler>
    Poco::Net::HTTPRequestHandler *handlerForMethod(
        const Poco::Net::HTTPServerRequest &request, const std::string &method)
    {
        if (request.getMethod() == method)
            return new Handler(m_context);
        return new ErrorHandler(m_context, Base::ErrorKind::MethodNotAllowed);
    }

    CallerContext &m_context;
};

} // namespace

CallerServer::CallerServer(const ListenerSettings &listener, CallerContext &context)
    : m_threads(
        MinThreads, context.limits.connections + MinThreads, ThreadIdleSeconds, ThreadStackSize)
{
    context.isTls = listener.tls.isEnabled();
    m_server =
        makeHttpServer(listener, context.limits, m_threads, new CallerHandlerFactory(context));
    m_server->start();
}

CallerServer::~CallerServer()
{
    stop();
}

void CallerServer::stop()
{
    m_server->stop();
}

} // namespace Carawaykeel::Adapters
