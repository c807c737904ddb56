#include <Carawaykeel/Adapters/ChatHandler.h>

#include <Carawaykeel/Base/ErrorTable.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace Carawaykeel::Adapters {

namespace {

constexpr std::size_t MaxStoredBodySize = 256 * 1'024;
constexpr int FirstErrorStatus = 400;
const std::string EventStreamType = "text/event-stream";

/// Returns the usage that a complete response reports, -1 if it reports none; empty if the body is
/// not a complete response.
std::optional<Base::Tokens> usageOf(const std::string &body)
{
    const auto outcome =
        Base::toOutcome<Poco::JSON::Object::Ptr>([&] { return tryParseObject(body); });
    const auto *object = std::get_if<Poco::JSON::Object::Ptr>(&outcome);
    if (!object || !(*object)->isArray("choices"))
        return std::nullopt;
    if (!(*object)->isObject("usage"))
        return Base::Tokens(-1);
    return Base::Tokens((*object)->getObject("usage")->optValue<Poco::Int64>("total_tokens", -1));
}

Base::Failure failureOf(RelayOutcome outcome)
{
    switch (outcome) {
    case RelayOutcome::Mismatch:
        return {Base::ErrorKind::ResponseMismatch, "the server sent a part of another answer", {}};
    case RelayOutcome::LimitExceeded:
        return {Base::ErrorKind::ReservationExceeded, "the server went on past the limit", {}};
    case RelayOutcome::Complete:
        return {Base::ErrorKind::BillNotDurable, "the answer's bill could not be made safe", {}};
    case RelayOutcome::Truncated:
    case RelayOutcome::CallerDisconnected:
        break;
    }
    return {Base::ErrorKind::ResponseIncomplete, "the answer broke off", {}};
}

} // namespace

Base::Result<void> ChatHandler::tryHandle(const Configuration::TeamDeclaration &team,
    Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    BOOST_LEAF_AUTO(body, tryReadBody(request, context().limits.bodyBytes));
    BOOST_LEAF_AUTO(chat, tryParseChatRequest(body));
    const auto service = context().bridge.withRoutingTable(
        [&](const Fleet::RoutingTable &table) { return table.findServiceByModel(chat.model); });
    if (!service)
        return Base::fail(Base::ErrorKind::UnknownModel, "no service has the model " + chat.model);
    BOOST_LEAF_AUTO(description, tryDescribe(team, request));
    description.service = service->name;
    description.serverPreference.prefixHash = chat.prefixHash;
    const bool hasLimit = chat.maxTokens > Base::Tokens();
    const auto limit = hasLimit ? chat.maxTokens : service->defaultMaxTokens;
    description.requestedTokens = chat.worstCase(limit);
    description.minimumTokens = hasLimit
        ? description.requestedTokens
        : chat.worstCase(std::min(limit, service->minDefaultMaxTokens));
    response.set("X-Request-Id", description.key.request.text());
    BOOST_LEAF_AUTO(admission, tryAdmit(std::move(description)));
    if (admission.replayedResponse) {
        sendReplay(*admission.replayedResponse, response);
        return {};
    }
    const auto reserved = admission.reservation->tokens;
    const BackendRequest backendRequest{"", "POST", "/v1/chat/completions",
        {{"Content-Type", "application/json"}}, chat.forwardedBody(chat.limitFor(reserved)), {},
        true};
    BOOST_LEAF_AUTO(
        dispatched, trySend(std::move(admission), backendRequest, service->supportsAttemptStatus));
    if (dispatched.exchange->status() >= FirstErrorStatus)
        return tryForwardError(dispatched, *service, response);
    if (chat.isStream)
        return tryStreamResponse(dispatched, *service, chat, response);
    return trySendFullResponse(dispatched, *service, response);
}

Base::Result<void> ChatHandler::tryForwardError(DispatchedRequest &dispatched,
    const Configuration::ServiceDeclaration &service, Poco::Net::HTTPServerResponse &response)
{
    const auto status = dispatched.exchange->status();
    const auto outcome = Base::toOutcome<std::string>(
        [&] { return dispatched.exchange->tryReadResponseBody(context().limits.responseBytes); });
    const auto *body = std::get_if<std::string>(&outcome);
    if (!body) {
        return failDispatched(
            dispatched.admission, std::get<Base::Failure>(outcome), service.supportsAttemptStatus);
    }
    const bool isServerFailure = status >= Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR
        || Base::promisesNotExecuted(status);
    if (isServerFailure) {
        return failDispatched(
            dispatched.admission, failureOfServer(status), service.supportsAttemptStatus);
    }
    // The engine rejected the request itself and ran nothing, so no tokens are charged and its
    // error goes to the caller.
    dispatched.exchange->finish();
    complete(dispatched.admission, Base::Tokens(), Routing::SlotResult::Succeeded, std::nullopt);
    sendResponse(response, status, dispatched.exchange->response().getContentType(), *body);
    return {};
}

bool ChatHandler::complete(const Requests::Admission &admission, Base::Tokens used,
    Routing::SlotResult result, std::optional<Requests::StoredResponse> storedResponse)
{
    return context().bridge.complete(
        admission, {used, result, std::move(storedResponse)}, context().limits.billTimeout);
}

Base::Result<void> ChatHandler::trySendFullResponse(DispatchedRequest &dispatched,
    const Configuration::ServiceDeclaration &service, Poco::Net::HTTPServerResponse &response)
{
    auto outcome = Base::toOutcome<std::string>(
        [&] { return dispatched.exchange->tryReadResponseBody(context().limits.responseBytes); });
    if (const auto *failure = std::get_if<Base::Failure>(&outcome))
        return failDispatched(dispatched.admission, *failure, service.supportsAttemptStatus);
    const auto &body = std::get<std::string>(outcome);
    const auto usage = usageOf(body);
    if (!usage) {
        return failDispatched(dispatched.admission,
            {Base::ErrorKind::ResponseIncomplete, "the server's answer is not a whole completion",
                {}},
            service.supportsAttemptStatus);
    }
    dispatched.exchange->finish();
    const auto reserved = dispatched.admission.reservation->tokens;
    const bool isReported = *usage >= Base::Tokens();
    const auto used = isReported ? std::min(*usage, reserved) : reserved;
    const auto type = dispatched.exchange->response().getContentType();
    const auto status = dispatched.exchange->status();
    const bool isDurable = complete(dispatched.admission, used, Routing::SlotResult::Succeeded,
        Requests::StoredResponse{status, type, body});
    if (!isDurable) {
        return Base::fail(
            Base::ErrorKind::BillNotDurable, "the answer's bill could not be made safe in time");
    }
    sendResponse(response, status, type, body);
    return {};
}

Base::Result<void> ChatHandler::tryStreamResponse(DispatchedRequest &dispatched,
    const Configuration::ServiceDeclaration &service, const ChatRequest &chat,
    Poco::Net::HTTPServerResponse &response)
{
    response.setContentType(EventStreamType);
    response.set("Cache-Control", "no-cache");
    response.setChunkedTransferEncoding(true);
    auto &stream = response.send();
    stream.flush();
    ++context().metrics.streamsOpen;
    const auto limit = chat.limitFor(dispatched.admission.reservation->tokens) * chat.choices
        + Base::Tokens(chat.choices);
    EventStreamRelay relay(
        dispatched.exchange->body(), stream, limit, chat.includeUsage, MaxStoredBodySize);
    auto result = relay.run();
    const bool hasEnded = result.outcome == RelayOutcome::Complete
        && dispatched.exchange->body().peek() == std::char_traits<char>::eof();
    // What follows the end marker may show that the response is invalid.
    if (hasEnded && dispatched.exchange->isBodyMalformed())
        result.outcome = RelayOutcome::Truncated;
    if (hasEnded) {
        dispatched.exchange->finish();
    } else {
        dispatched.exchange.reset();
    }
    endStream(dispatched, service, std::move(result), stream);
    --context().metrics.streamsOpen;
    return {};
}

void ChatHandler::endStream(const DispatchedRequest &dispatched,
    const Configuration::ServiceDeclaration &service, RelayResult result, std::ostream &stream)
{
    const auto &admission = dispatched.admission;
    const bool isComplete = result.outcome == RelayOutcome::Complete;
    const auto reserved = admission.reservation->tokens;
    const auto used = result.usage
        ? std::min(*result.usage, reserved)
        : (isComplete ? reserved : costWithUnknownUsage(admission, service.supportsAttemptStatus));
    std::optional<Requests::StoredResponse> storedResponse;
    if (isComplete && !result.body.empty()) {
        storedResponse = Requests::StoredResponse{Poco::Net::HTTPResponse::HTTP_OK, EventStreamType,
            result.body + std::string(EndMarker)};
    }
    const bool isServerFailure = !isComplete && result.outcome != RelayOutcome::CallerDisconnected;
    const auto slotResult =
        isServerFailure ? Routing::SlotResult::Failed : Routing::SlotResult::Succeeded;
    const bool isDurable = complete(admission, used, slotResult, std::move(storedResponse));
    if (isComplete && isDurable) {
        stream << EndMarker << std::flush;
        return;
    }
    const auto failure = failureOf(result.outcome);
    context().metrics.recordFailure(failure.kind);
    stream << "data: " << errorBody(failure) << "\n\n" << std::flush;
}

} // namespace Carawaykeel::Adapters
