#include <Carawaykeel/Adapters/ServiceHandler.h>

#include <array>
#include <utility>

namespace Carawaykeel::Adapters {

namespace {

constexpr std::string_view Prefix = "/services/";
constexpr std::array PassedFields{
    "Content-Type", "Accept", "Accept-Language", "If-Match", "If-None-Match"};

/// A path under /services/, taken apart.
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
    const auto service = context().path.withRoutingTable(
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
    BackendCall call{"", request.getMethod(), path.rest, {}, std::move(body), {}, isIdempotent};
    for (const auto *name : PassedFields) {
        if (request.has(name))
            call.fields.push_back({name, request.get(name)});
    }
    call.fields.push_back({"X-Team", team.id.text()});
    call.fields.push_back({"Idempotency-Key", admission.request.key.request.text()});
    const auto cost = service->tokensPerRequest;
    BOOST_LEAF_AUTO(
        dispatched, trySend(std::move(admission), std::move(call), service->supportsAttemptStatus));
    auto outcome = Base::toOutcome<std::string>(
        [&] { return dispatched.exchange->tryReadWhole(context().limits.answerBytes); });
    if (const auto *failure = std::get_if<Base::Failure>(&outcome))
        return failDispatched(dispatched.admission, *failure, service->supportsAttemptStatus);
    const auto &whole = std::get<std::string>(outcome);
    dispatched.exchange->finish();
    const auto status = dispatched.exchange->status();
    const auto type = dispatched.exchange->response().getContentType();
    const bool isFault = status >= Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
    const auto result = isFault ? Routing::SlotResult::Failed : Routing::SlotResult::Succeeded;
    const bool isSafe = context().path.complete(dispatched.admission,
        {cost, result, Requests::StoredResponse{status, type, whole}},
        context().limits.billPatience);
    if (!isSafe) {
        return Base::fail(
            Base::ErrorKind::BillNotDurable, "the answer's bill could not be made safe in time");
    }
    sendWhole(response, status, type, whole);
    return {};
}

} // namespace Carawaykeel::Adapters
