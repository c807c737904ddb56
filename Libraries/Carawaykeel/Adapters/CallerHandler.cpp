#include <Carawaykeel/Adapters/CallerHandler.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace Carawaykeel::Adapters {

namespace {

constexpr std::size_t MaxKeyLength = 200;
constexpr std::array<std::string_view, Routing::PriorityCount> PriorityNames{
    "urgent", "high", "normal", "low"};

bool isRequestKey(const std::string &key)
{
    const auto isAllowed = [](unsigned char c) { return c > ' ' && c < 0x7f && c != '/'; };
    return !key.empty() && key.size() <= MaxKeyLength
        && std::all_of(key.begin(), key.end(), isAllowed);
}

/// Returns the lower of the declared and the requested priority: a caller may lower its own
/// priority but not raise it.
Routing::Priority loweredPriority(Routing::Priority declared, const std::string &requested)
{
    const auto *const it = std::find(PriorityNames.begin(), PriorityNames.end(), requested);
    if (it == PriorityNames.end())
        return declared;
    return std::max(declared, static_cast<Routing::Priority>(it - PriorityNames.begin()));
}

/// Counts a request as active until its response is written, also if the caller disconnects.
class ActiveRequest
{
public:
    explicit ActiveRequest(CallerMetrics &metrics)
        : m_metrics(metrics)
    {
        ++m_metrics.active;
    }
    ~ActiveRequest() { --m_metrics.active; }
    ActiveRequest(const ActiveRequest &) = delete;
    ActiveRequest &operator=(const ActiveRequest &) = delete;

private:
    CallerMetrics &m_metrics;
};

template <typename T>
Base::Result<T> toResult(Base::Outcome<T> outcome)
{
    if (auto *failure = std::get_if<Base::Failure>(&outcome))
        return boost::leaf::new_error(std::move(*failure));
    return std::get<T>(std::move(outcome));
}

} // namespace

CallerHandler::CallerHandler(CallerContext &context)
    : m_context(context)
{
}

void CallerHandler::handleRequest(
    Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const Stopwatch stopwatch;
    ++m_context.metrics.requests;
    const ActiveRequest active(m_context.metrics);
    boost::leaf::try_handle_all(
        [&]() -> Base::Result<void> { return tryRespond(request, response); },
        [&](const Base::Failure &failure) {
            m_context.metrics.recordFailure(failure.kind);
            // The connection must close: the unread rest of this request would be parsed as the
            // next one.
            response.setKeepAlive(false);
            sendErrorResponse(response, failure);
        },
        [&] {
            sendErrorResponse(response, {Base::ErrorKind::Internal, "unnamed error", {}});
        });
    m_context.metrics.total.record(stopwatch.milliseconds());
}

Base::Result<void> CallerHandler::tryRespond(
    Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    if (headerSize(request) > m_context.limits.headerBytes) {
        return Base::fail(
            Base::ErrorKind::HeadersTooLarge, "the header fields are too large together");
    }
    BOOST_LEAF_AUTO(team, tryAuthenticate(request));
    return tryHandle(team, request, response);
}

Base::Result<Configuration::TeamDeclaration> CallerHandler::tryAuthenticate(
    const Poco::Net::HTTPServerRequest &request)
{
    const auto key = bearerKey(request);
    if (key.empty())
        return Base::fail(Base::ErrorKind::InvalidKey, "the Authorization field has no bearer key");
    const auto digest = sha256Hex(key);
    auto team = m_context.bridge.withRoutingTable(
        [&](const Fleet::RoutingTable &table) { return table.findTeamByKeyDigest(digest); });
    if (!team)
        return Base::fail(Base::ErrorKind::InvalidKey, "no team has this key");
    return *team;
}

Base::Result<Requests::RequestDescription> CallerHandler::tryDescribe(
    const Configuration::TeamDeclaration &team, const Poco::Net::HTTPServerRequest &request)
{
    Requests::RequestDescription description;
    description.key.team = team.id;
    description.budget = team.budget;
    description.queueTimeout = m_context.limits.queueTimeout;
    description.priority = loweredPriority(team.priority, request.get("X-Priority", ""));
    const auto key = request.get("Idempotency-Key", "");
    description.hasIdempotencyKey = !key.empty();
    if (description.hasIdempotencyKey && !isRequestKey(key)) {
        return Base::fail(Base::ErrorKind::MalformedRequest,
            "Idempotency-Key is not 1 to 200 printable characters without '/'");
    }
    description.key.request = description.hasIdempotencyKey
        ? Base::RequestId(key)
        : m_context.bridge.issueRequestId(team.id);
    return description;
}

Base::Result<Requests::Admission> CallerHandler::tryAdmit(Requests::RequestDescription description)
{
    const Stopwatch stopwatch;
    auto outcome = m_context.bridge.admit(std::move(description));
    m_context.metrics.admission.record(stopwatch.milliseconds());
    return toResult(std::move(outcome));
}

void CallerHandler::sendReplay(
    const Requests::StoredResponse &storedResponse, Poco::Net::HTTPServerResponse &response)
{
    ++m_context.metrics.replays;
    response.set("X-Replayed", "true");
    sendResponse(
        response, storedResponse.httpStatus, storedResponse.contentType, storedResponse.body);
}

Base::Result<CallerHandler::DispatchedRequest> CallerHandler::trySend(
    Requests::Admission admission, BackendRequest backendRequest, bool supportsAttemptStatus)
{
    while (true) {
        backendRequest.address = admission.slot.address;
        backendRequest.attempt = admission.attemptId;
        auto outcome = Base::toOutcome<std::unique_ptr<BackendExchange>>(
            [&] { return m_context.backends.trySend(backendRequest); });
        if (auto *exchange = std::get_if<std::unique_ptr<BackendExchange>>(&outcome)) {
            recordServerState(admission, (*exchange)->response());
            return DispatchedRequest{std::move(admission), std::move(*exchange)};
        }
        const auto failure = std::get<Base::Failure>(outcome);
        // Retries at another server only if no byte can have reached this one: a second run would
        // need its own tokens.
        if (failure.kind != Base::ErrorKind::ServerRefused)
            return failDispatched(admission, failure, supportsAttemptStatus);
        auto next = m_context.bridge.redispatch(admission);
        if (std::holds_alternative<Base::Failure>(next)) {
            admission.slot = {};
            m_context.bridge.abandon(admission, Routing::SlotResult::Unused);
            return boost::leaf::new_error(failure);
        }
        admission = std::get<Requests::Admission>(std::move(next));
    }
}

Base::Failure CallerHandler::failureOfServer(int status)
{
    return {Base::ErrorKind::ServerFailed,
        "the server answered with status " + std::to_string(status), {}};
}

Base::Tokens CallerHandler::costWithUnknownUsage(
    const Requests::Admission &admission, bool supportsAttemptStatus)
{
    if (!admission.reservation)
        return {};
    const auto reserved = admission.reservation->tokens;
    if (!supportsAttemptStatus)
        return reserved;
    const auto result =
        m_context.backends.cancelAttempt(admission.slot.address, admission.attemptId);
    switch (result.status) {
    case Budget::AttemptStatus::NeverSeen:
        return {};
    case Budget::AttemptStatus::Finished:
        return std::min(reserved, result.tokens);
    case Budget::AttemptStatus::Unknown:
        break;
    }
    return reserved;
}

boost::leaf::error_id CallerHandler::failDispatched(
    const Requests::Admission &admission, const Base::Failure &failure, bool supportsAttemptStatus)
{
    const auto cost = costWithUnknownUsage(admission, supportsAttemptStatus);
    m_context.bridge.complete(
        admission, {cost, Routing::SlotResult::Failed, std::nullopt}, m_context.limits.billTimeout);
    return boost::leaf::new_error(failure);
}

void CallerHandler::recordServerState(
    const Requests::Admission &admission, const Poco::Net::HTTPResponse &response)
{
    if (response.has("X-Leaving"))
        m_context.bridge.markServerLeaving(admission.slot.server);
    const auto &loadField = response.get("X-Load", "");
    double load = 0;
    const auto [end, ec] =
        std::from_chars(loadField.data(), loadField.data() + loadField.size(), load);
    if (ec == std::errc() && end != loadField.data())
        m_context.bridge.updateReportedLoad(admission.slot.server, std::clamp(load, 0.0, 1.0));
}

} // namespace Carawaykeel::Adapters
