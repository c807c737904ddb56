#include <Carawaykeel/Requests/RequestCoordinator.h>

#include <fmt/core.h>
#include <utility>

namespace Carawaykeel::Requests {

namespace {

constexpr Base::Milliseconds ClaimTimeout{1'000};
constexpr Base::Milliseconds OwnerQueryTimeout{30'000};

Base::AttemptId makeAttemptId(const Budget::Reservation &reservation, int attempt)
{
    return Base::AttemptId(
        fmt::format("{}:{}:{}", reservation.grant.text(), reservation.number, attempt));
}

} // namespace

RequestCoordinator::RequestCoordinator(Base::InstanceContext &context,
    Budget::GrantHolder &grantHolder, Routing::Dispatcher &dispatcher,
    RequestIdIssuer &requestIdIssuer, TeamPeerLookup teamPeers)
    : m_context(context)
    , m_grantHolder(grantHolder)
    , m_dispatcher(dispatcher)
    , m_requestIdIssuer(requestIdIssuer)
    , m_teamPeers(std::move(teamPeers))
    , m_registry(context.scheduler, RegistryPolicy())
    , m_claimWriter(context, ClaimTimeout)
    , m_statusCollector(context)
{
}

void RequestCoordinator::rejectAll(Base::ErrorKind kind)
{
    m_rejectionKind = kind;
}

void RequestCoordinator::acceptAll()
{
    m_rejectionKind.reset();
}

void RequestCoordinator::admit(
    RequestDescription request, std::function<void(Base::Outcome<Admission>)> callback)
{
    auto pending = std::make_shared<PendingAdmission>(
        PendingAdmission{std::move(request), std::move(callback), {}, false});
    if (tryResolveFromRegistry(pending))
        return;
    if (m_rejectionKind) {
        return pending->callback(Base::Failure{
            *m_rejectionKind, "this instance takes no requests now", Base::Milliseconds(1'000)});
    }
    m_registry.start(pending->request.key);
    ++m_inFlight;
    resolveRequestKey(pending);
}

bool RequestCoordinator::tryResolveFromRegistry(const PendingAdmissionPointer &pending)
{
    auto *entry = m_registry.find(pending->request.key);
    if (!entry)
        return false;
    if (entry->state == RequestState::NotExecuted) {
        pending->wasNotExecuted = true;
        return false;
    }
    if (entry->state == RequestState::Running || entry->state == RequestState::QueryingPeers) {
        entry->waiters.push_back(
            [this, pending](const RequestEntry &ended) { replay(pending, ended); });
        return true;
    }
    if (entry->state == RequestState::OutcomeUnknown && pending->request.isIdempotent)
        return false;
    replay(pending, *entry);
    return true;
}

void RequestCoordinator::replay(const PendingAdmissionPointer &pending, const RequestEntry &entry)
{
    switch (entry.state) {
    case RequestState::Finished: {
        Admission admission;
        admission.request = pending->request;
        admission.replayedResponse = entry.response;
        return pending->callback(std::move(admission));
    }
    case RequestState::NotExecuted:
        return pending->callback(Base::Failure{Base::ErrorKind::QueueFull,
            "the first request under this key was refused before it ran", Base::Milliseconds(100)});
    case RequestState::QueryingPeers:
    case RequestState::Running:
    case RequestState::OutcomeUnknown:
    case RequestState::Delegated:
        break;
    }
    pending->callback(Base::Failure{Base::ErrorKind::RequestOutcomeLost,
        "a request under this key was taken before, and its answer cannot be given again", {}});
}

void RequestCoordinator::resolveRequestKey(const PendingAdmissionPointer &pending)
{
    const auto &request = pending->request;
    if (!request.hasIdempotencyKey)
        return acquireSlot(pending);
    if (const auto issued = RequestIdIssuer::parse(request.key.request)) {
        if (issued->owner != m_context.self)
            return queryOwner(pending, issued->owner);
        if (m_requestIdIssuer.isValid(*issued, request.key.team, m_context.scheduler.now()))
            return acquireSlot(pending);
        m_registry.markOutcomeUnknown(request.key);
        --m_inFlight;
        return pending->callback(Base::Failure{Base::ErrorKind::RequestOutcomeUnknown,
            "the id is too old, or was not handed out to this team", {}});
    }
    if (request.isIdempotent)
        return queryTeamPeers(pending);
    claim(pending);
}

void RequestCoordinator::claim(const PendingAdmissionPointer &pending)
{
    m_claimWriter.claim(
        pending->request.key, [this, pending](ClaimResult result, const Base::InstanceId &owner) {
            if (result == ClaimResult::Won)
                return acquireSlot(pending);
            if (result == ClaimResult::Unreachable) {
                return reject(pending,
                    {Base::ErrorKind::ClaimUnavailable,
                        "the platform cannot be reached to tell whether this key ran before",
                        Base::Milliseconds(1'000)});
            }
            // The claim belongs to this incarnation, whose registry shows that the request did not
            // run.
            if (owner == m_context.self && pending->wasNotExecuted)
                return acquireSlot(pending);
            queryOwner(pending, owner);
        });
}

void RequestCoordinator::queryOwner(
    const PendingAdmissionPointer &pending, const Base::InstanceId &owner)
{
    if (owner.name == m_context.self.name)
        return endWithPeerStatus(pending, {Peer::RequestStatus::OutcomeUnknown, true, {}});
    m_statusCollector.collect(pending->request.key, {owner}, true, OwnerQueryTimeout,
        [this, pending](const RequestStatusSummary &summary) {
            if (summary.status == Peer::RequestStatus::PermissionGranted)
                return acquireSlot(pending);
            endWithPeerStatus(pending, summary);
        });
}

void RequestCoordinator::queryTeamPeers(const PendingAdmissionPointer &pending)
{
    const auto &key = pending->request.key;
    m_registry.setQueryingPeers(key, true);
    m_statusCollector.collect(key, m_teamPeers(key.team), false, pending->request.queueTimeout,
        [this, pending](const RequestStatusSummary &summary) {
            const bool isKnownElsewhere = summary.status == Peer::RequestStatus::Finished
                || summary.status == Peer::RequestStatus::Running;
            if (isKnownElsewhere)
                return endWithPeerStatus(pending, summary);
            m_registry.setQueryingPeers(pending->request.key, false);
            // No reachable instance has its response. An idempotent request may run again; of two
            // bills under one key only one is charged.
            acquireSlot(pending);
        });
}

void RequestCoordinator::endWithPeerStatus(
    const PendingAdmissionPointer &pending, const RequestStatusSummary &summary)
{
    --m_inFlight;
    if (summary.status == Peer::RequestStatus::Finished) {
        m_registry.finish(pending->request.key, summary.response);
        Admission admission;
        admission.request = pending->request;
        admission.replayedResponse = summary.response;
        return pending->callback(std::move(admission));
    }
    m_registry.markOutcomeUnknown(pending->request.key);
    if (summary.status == Peer::RequestStatus::Running) {
        return pending->callback(Base::Failure{Base::ErrorKind::RequestInProgress,
            "the request runs at another instance", Base::Milliseconds(1'000)});
    }
    pending->callback(Base::Failure{Base::ErrorKind::RequestOutcomeUnknown,
        "a request under this key was taken by another instance that cannot tell its outcome", {}});
}

Routing::SlotRequest RequestCoordinator::slotRequest(const RequestDescription &request) const
{
    return {request.service, request.priority, request.requestedTokens,
        m_context.scheduler.now() + request.queueTimeout, request.serverPreference};
}

void RequestCoordinator::acquireSlot(const PendingAdmissionPointer &pending)
{
    m_dispatcher.acquire(
        slotRequest(pending->request), [this, pending](Base::Outcome<Routing::Slot> outcome) {
            if (auto *failure = std::get_if<Base::Failure>(&outcome))
                return reject(pending, std::move(*failure));
            pending->admission.slot = std::get<Routing::Slot>(std::move(outcome));
            reserve(pending);
        });
}

void RequestCoordinator::reserve(const PendingAdmissionPointer &pending)
{
    const auto &request = pending->request;
    if (request.requestedTokens == Base::Tokens())
        return finishAdmission(pending);
    m_grantHolder.reserve({request.budget, request.key.team, request.key.request, request.service,
                              request.requestedTokens, request.minimumTokens},
        [this, pending](Base::Outcome<Budget::Reservation> outcome) {
            if (auto *failure = std::get_if<Base::Failure>(&outcome)) {
                const auto &slot = pending->admission.slot;
                m_dispatcher.release(slot, Routing::SlotResult::Unused, slot.tokens);
                return reject(pending, std::move(*failure));
            }
            pending->admission.reservation = std::get<Budget::Reservation>(outcome);
            finishAdmission(pending);
        });
}

void RequestCoordinator::finishAdmission(const PendingAdmissionPointer &pending)
{
    auto &admission = pending->admission;
    admission.request = pending->request;
    if (admission.reservation) {
        admission.attemptId = makeAttemptId(*admission.reservation, admission.attemptCount);
    } else {
        admission.attemptId = Base::AttemptId(fmt::format("free/{}.{}/{}",
            m_context.self.name.text(), m_context.self.incarnation, ++m_unreservedAttempts));
    }
    pending->callback(std::move(admission));
}

void RequestCoordinator::reject(const PendingAdmissionPointer &pending, Base::Failure failure)
{
    --m_inFlight;
    m_registry.markNotExecuted(pending->request.key);
    pending->callback(std::move(failure));
}

void RequestCoordinator::complete(
    const Admission &admission, Completion completion, std::function<void(bool)> callback)
{
    --m_inFlight;
    const auto unused = admission.slot.tokens - completion.tokensUsed;
    m_dispatcher.release(admission.slot, completion.result, std::max(Base::Tokens(), unused));
    // A retry must not get the response before its bill is durable either.
    auto onSettled = [this, key = admission.request.key, response = std::move(completion.response),
                         callback = std::move(callback)](bool isDurable) mutable {
        if (response) {
            m_registry.finish(key, std::move(*response));
        } else {
            m_registry.markOutcomeUnknown(key);
        }
        callback(isDurable);
    };
    if (!admission.reservation)
        return onSettled(true);
    m_grantHolder.settle(*admission.reservation, completion.tokensUsed, std::move(onSettled));
}

void RequestCoordinator::abandon(const Admission &admission, Routing::SlotResult result)
{
    --m_inFlight;
    m_dispatcher.release(admission.slot, result, admission.slot.tokens);
    m_registry.markNotExecuted(admission.request.key);
    if (admission.reservation)
        m_grantHolder.cancel(*admission.reservation);
}

void RequestCoordinator::redispatch(
    Admission admission, std::function<void(Base::Outcome<Admission>)> callback)
{
    m_dispatcher.release(admission.slot, Routing::SlotResult::Failed, admission.slot.tokens);
    auto request = slotRequest(admission.request);
    request.preference.failedServer = admission.slot.server;
    admission.slot = {};
    if (!m_dispatcher.tryTakeRetry(request.service)) {
        return callback(Base::Failure{Base::ErrorKind::ServerRefused,
            "the server failed, and too many requests are being retried",
            Base::Milliseconds(1'000)});
    }
    m_dispatcher.acquire(std::move(request),
        [admission = std::move(admission), callback = std::move(callback)](
            Base::Outcome<Routing::Slot> outcome) mutable {
            if (auto *failure = std::get_if<Base::Failure>(&outcome))
                return callback(std::move(*failure));
            admission.slot = std::get<Routing::Slot>(std::move(outcome));
            ++admission.attemptCount;
            if (admission.reservation)
                admission.attemptId = makeAttemptId(*admission.reservation, admission.attemptCount);
            callback(std::move(admission));
        });
}

void RequestCoordinator::onQueryRequestStatus(
    const Base::InstanceId &from, const Peer::QueryRequestStatus &message)
{
    Peer::RequestStatusReply reply;
    reply.queryId = message.queryId;
    reply.status = statusFor(from, message);
    if (reply.status == Peer::RequestStatus::Finished) {
        const auto &response = m_registry.find({message.team, message.request})->response;
        reply.httpStatus = response.httpStatus;
        reply.contentType = response.contentType;
        reply.body = response.body;
    }
    m_context.peers.send(from, std::move(reply));
}

Peer::RequestStatus RequestCoordinator::statusFor(
    const Base::InstanceId &from, const Peer::QueryRequestStatus &message)
{
    using Peer::RequestStatus;
    const RequestKey key{message.team, message.request};
    const auto *entry = m_registry.find(key);
    if (!entry) {
        if (!message.requestsPermission)
            return RequestStatus::NotFound;
        const auto issued = RequestIdIssuer::parse(message.request);
        const bool isValidHere =
            issued && m_requestIdIssuer.isValid(*issued, message.team, m_context.scheduler.now());
        if (!isValidHere)
            return RequestStatus::OutcomeUnknown;
        m_registry.delegate(key, from);
        return RequestStatus::PermissionGranted;
    }
    switch (entry->state) {
    case RequestState::QueryingPeers:
        // When two instances query each other at once, the one whose name sorts first runs it.
        return from.name < m_context.self.name ? RequestStatus::NotFound : RequestStatus::Running;
    case RequestState::Running:
        return RequestStatus::Running;
    case RequestState::Finished:
        return RequestStatus::Finished;
    case RequestState::NotExecuted:
        if (!message.requestsPermission)
            return RequestStatus::NotFound;
        m_registry.delegate(key, from);
        return RequestStatus::PermissionGranted;
    case RequestState::Delegated:
        return entry->delegatedTo == from ? RequestStatus::PermissionGranted
                                          : RequestStatus::OutcomeUnknown;
    case RequestState::OutcomeUnknown:
        break;
    }
    return RequestStatus::OutcomeUnknown;
}

void RequestCoordinator::onRequestStatusReply(
    const Base::InstanceId &from, const Peer::RequestStatusReply &message)
{
    m_statusCollector.onRequestStatusReply(from, message);
}

} // namespace Carawaykeel::Requests
