#include <Carawaykeel/Adapters/ServiceHandler.h>

#include <Carawaykeel/Base/ErrorTable.h>

#include <array>
#include <utility>

namespace Carawaykeel::Adapters {

namespace {

constexpr std::string_view Prefix = "/services/";
constexpr std::array ForwardedFields{
    "Content-Type", "Accept", "Accept-Language", "If-Match", "If-None-Match"};

/// The components of a path under /services/.
struct ServicePath
{
    Base::ServiceName name;
    std::string rest;
};

Base::Result<ServicePath> tryParsePath(std::string_view uri)
{
    const auto tail = uri.substr(Prefix.size());
    const auto slash = tail.find('/');
    if (slash == 0 || slash == std::string_view::npos)
        return Base::fail(Base::ErrorKind::NotFound, "the path is not /services/NAME/...");
    return ServicePath{
        Base::ServiceName(std::string(tail.substr(0, slash))), std::string(tail.substr(slash))};
}

} // namespace

Base::Result<void> ServiceHandler::tryHandle(const Configuration::TeamDeclaration &team,
    Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    BOOST_LEAF_AUTO(path, tryParsePath(request.getURI()));
    const auto service = context().bridge.withRoutingTable(
        [&](const Fleet::RoutingTable &table) { return table.findService(path.name); });
    const bool isPlain = service && service->kind == Configuration::ServiceKind::Plain;
    if (!isPlain) {
        return Base::fail(
            Base::ErrorKind::UnknownService, "there is no plain service " + path.name.text());
    }
    BOOST_LEAF_AUTO(body, tryReadBody(request, context().limits.bodyBytes));
    BOOST_LEAF_AUTO(description, tryDescribe(team, request));
    description.service = service->name;
    description.isIdempotent = Fleet::isIdempotentCall(*service, request.getMethod(), path.rest);
    if (service->isUrgent)
        description.priority = std::min(description.priority, Routing::Priority::High);
    description.requestedTokens = service->tokensPerRequest;
    description.minimumTokens = service->tokensPerRequest;
    const bool isIdempotent = description.isIdempotent;
    response.set("X-Request-Id", description.key.request.text());
    BOOST_LEAF_AUTO(admission, tryAdmit(std::move(description)));
    if (admission.replayedResponse) {
        sendReplay(*admission.replayedResponse, response);
        return {};
    }
    BackendRequest backendRequest{
        "", request.getMethod(), path.rest, {}, std::move(body), {}, isIdempotent};
    for (const auto *name : ForwardedFields) {
        if (request.has(name))
            backendRequest.fields.push_back({name, request.get(name)});
    }
    backendRequest.fields.push_back({"X-Team", team.id.text()});
    backendRequest.fields.push_back({"Idempotency-Key", admission.request.key.request.text()});
    const auto cost = service->tokensPerRequest;
    BOOST_LEAF_AUTO(dispatched,
        trySend(std::move(admission), std::move(backendRequest), service->supportsAttemptStatus));
    auto outcome = Base::toOutcome<std::string>(
        [&] { return dispatched.exchange->tryReadResponseBody(context().limits.responseBytes); });
    if (const auto *failure = std::get_if<Base::Failure>(&outcome))
        return failDispatched(dispatched.admission, *failure, service->supportsAttemptStatus);
    const auto &responseBody = std::get<std::string>(outcome);
    dispatched.exchange->finish();
    const auto status = dispatched.exchange->status();
    // The caller would take such a status for a promise, which the server does not make.
    if (Base::promisesNotExecuted(status)) {
        return failDispatched(
            dispatched.admission, failureOfServer(status), service->supportsAttemptStatus);
    }
    const auto type = dispatched.exchange->response().getContentType();
    const bool isServerFailure = status >= Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
    const auto result =
        isServerFailure ? Routing::SlotResult::Failed : Routing::SlotResult::Succeeded;
    const bool isDurable = context().bridge.complete(dispatched.admission,
        {cost, result, Requests::StoredResponse{status, type, responseBody}},
        context().limits.billTimeout);
    if (!isDurable) {
        return Base::fail(
            Base::ErrorKind::BillNotDurable, "the answer's bill could not be made safe in time");
    }
    sendResponse(response, status, type, responseBody);
    return {};
}

} // namespace Carawaykeel::Adapters
