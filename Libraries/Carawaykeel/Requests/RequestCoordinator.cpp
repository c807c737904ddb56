#include <Carawaykeel/Requests/RequestCoordinator.h>

#include <fmt/core.h>
#include <utility>

namespace Carawaykeel::Requests {

namespace {

constexpr Base::Milliseconds ClaimDeadline{1'000};
constexpr Base::Milliseconds OwnerPatience{30'000};

Base::AttemptId makeAttemptId(const Budget::Reservation &reservation, int attempt)
{
    return Base::AttemptId(
        fmt::format("{}:{}:{}", reservation.grant.text(), reservation.number, attempt));
}

} // namespace

RequestCoordinator::RequestCoordinator(Base::InstanceContext &context, Budget::GrantHolder &budgets,
    Routing::Dispatcher &dispatcher, RequestIdIssuer &mint, TeamPeers teamPeers)
    : m_context(context)
    , m_budgets(budgets)
    , m_dispatcher(dispatcher)
    , m_mint(mint)
    , m_teamPeers(std::move(teamPeers))
    , m_registry(context.scheduler, RegistryPolicy())
    , m_claims(context, ClaimDeadline)
    , m_inquiry(context)
{
}

void RequestCoordinator::refuseAll(Base::ErrorKind kind)
{
    m_refusal = kind;
}

void RequestCoordinator::acceptAll()
{
    m_refusal.reset();
}

void RequestCoordinator::admit(
    RequestDescription request, std::function<void(Base::Outcome<Admission>)> answer)
{
    auto journey =
        std::make_shared<Journey>(Journey{std::move(request), std::move(answer), {}, false});
    if (answerFromRegistry(journey))
        return;
    if (m_refusal) {
        return journey->answer(Base::Failure{
            *m_refusal, "this instance takes no requests now", Base::Milliseconds(1'000)});
    }
    m_registry.begin(journey->request.key);
    ++m_inFlight;
    settleIdentity(journey);
}

bool RequestCoordinator::answerFromRegistry(const JourneyPointer &journey)
{
    auto *entry = m_registry.find(journey->request.key);
    if (!entry)
        return false;
    if (entry->state == RequestState::NotRun) {
        journey->wasNotRun = true;
        return false;
    }
    if (entry->state == RequestState::Running || entry->state == RequestState::Asking) {
        entry->joined.push_back(
            [this, journey](const RequestEntry &ended) { replay(journey, ended); });
        return true;
    }
    if (entry->state == RequestState::Uncertain && journey->request.isIdempotent)
        return false;
    replay(journey, *entry);
    return true;
}

void RequestCoordinator::replay(const JourneyPointer &journey, const RequestEntry &entry)
{
    switch (entry.state) {
    case RequestState::Finished: {
        Admission admission;
        admission.request = journey->request;
        admission.replayedResponse = entry.answer;
        return journey->answer(std::move(admission));
    }
    case RequestState::NotRun:
        return journey->answer(Base::Failure{Base::ErrorKind::QueueFull,
            "the first request under this key was refused before it ran", Base::Milliseconds(100)});
    case RequestState::Asking:
    case RequestState::Running:
    case RequestState::Uncertain:
    case RequestState::GivenAway:
        break;
    }
    journey->answer(Base::Failure{Base::ErrorKind::RequestOutcomeLost,
        "a request under this key was taken before, and its answer cannot be given again", {}});
}

void RequestCoordinator::settleIdentity(const JourneyPointer &journey)
{
    const auto &request = journey->request;
    if (!request.hasIdempotencyKey)
        return takeSlot(journey);
    if (const auto minted = RequestIdIssuer::parse(request.key.request)) {
        if (minted->owner != m_context.self)
            return askOwner(journey, minted->owner);
        if (m_mint.isValid(*minted, request.key.team, m_context.scheduler.now()))
            return takeSlot(journey);
        m_registry.markUncertain(request.key);
        --m_inFlight;
        return journey->answer(Base::Failure{Base::ErrorKind::RequestUncertain,
            "the id is too old, or was not handed out to this team", {}});
    }
    if (request.isIdempotent)
        return askTeamPeers(journey);
    claim(journey);
}

void RequestCoordinator::claim(const JourneyPointer &journey)
{
    m_claims.claim(
        journey->request.key, [this, journey](ClaimResult result, const Base::InstanceId &owner) {
            if (result == ClaimResult::Won)
                return takeSlot(journey);
            if (result == ClaimResult::Unreachable) {
                return refuse(journey,
                    {Base::ErrorKind::ClaimUnreachable,
                        "the platform cannot be reached to tell whether this key ran before",
                        Base::Milliseconds(1'000)});
            }
            // A claim of this very life is known here: it has not run, or the registry would say
            // so.
            if (owner == m_context.self && journey->wasNotRun)
                return takeSlot(journey);
            askOwner(journey, owner);
        });
}

void RequestCoordinator::askOwner(const JourneyPointer &journey, const Base::InstanceId &owner)
{
    if (owner.name == m_context.self.name)
        return endElsewhere(journey, {Peer::RequestKnowledge::Uncertain, true, {}});
    m_inquiry.ask(journey->request.key, {owner}, true, OwnerPatience,
        [this, journey](const InquiryAnswer &answer) {
            if (answer.knowledge == Peer::RequestKnowledge::MayRun)
                return takeSlot(journey);
            endElsewhere(journey, answer);
        });
}

void RequestCoordinator::askTeamPeers(const JourneyPointer &journey)
{
    const auto &key = journey->request.key;
    m_registry.setAsking(key, true);
    m_inquiry.ask(key, m_teamPeers(key.team), false, journey->request.queueTimeout,
        [this, journey](const InquiryAnswer &answer) {
            const bool isElsewhere = answer.knowledge == Peer::RequestKnowledge::Finished
                || answer.knowledge == Peer::RequestKnowledge::Running;
            if (isElsewhere)
                return endElsewhere(journey, answer);
            m_registry.setAsking(journey->request.key, false);
            // Nobody who can be reached has its answer. An idempotent request may run again; of two
            // bills under one key one counts.
            takeSlot(journey);
        });
}

void RequestCoordinator::endElsewhere(const JourneyPointer &journey, const InquiryAnswer &answer)
{
    --m_inFlight;
    if (answer.knowledge == Peer::RequestKnowledge::Finished) {
        m_registry.finish(journey->request.key, answer.answer);
        Admission admission;
        admission.request = journey->request;
        admission.replayedResponse = answer.answer;
        return journey->answer(std::move(admission));
    }
    m_registry.markUncertain(journey->request.key);
    if (answer.knowledge == Peer::RequestKnowledge::Running) {
        return journey->answer(Base::Failure{Base::ErrorKind::RequestRunning,
            "the request runs at another instance", Base::Milliseconds(1'000)});
    }
    journey->answer(Base::Failure{Base::ErrorKind::RequestUncertain,
        "a request under this key was taken by another instance that cannot tell its outcome", {}});
}

Routing::SlotRequest RequestCoordinator::slotRequest(const RequestDescription &request) const
{
    return {request.service, request.priority, request.requestedTokens,
        m_context.scheduler.now() + request.queueTimeout, request.hint};
}

void RequestCoordinator::takeSlot(const JourneyPointer &journey)
{
    m_dispatcher.acquire(
        slotRequest(journey->request), [this, journey](Base::Outcome<Routing::Slot> outcome) {
            if (auto *failure = std::get_if<Base::Failure>(&outcome))
                return refuse(journey, std::move(*failure));
            journey->admission.slot = std::get<Routing::Slot>(std::move(outcome));
            reserve(journey);
        });
}

void RequestCoordinator::reserve(const JourneyPointer &journey)
{
    const auto &request = journey->request;
    if (request.requestedTokens == Base::Tokens())
        return grant(journey);
    m_budgets.reserve({request.budget, request.key.team, request.key.request, request.service,
                          request.requestedTokens, request.minimumTokens},
        [this, journey](Base::Outcome<Budget::Reservation> outcome) {
            if (auto *failure = std::get_if<Base::Failure>(&outcome)) {
                const auto &slot = journey->admission.slot;
                m_dispatcher.release(slot, Routing::SlotResult::Unused, slot.tokens);
                return refuse(journey, std::move(*failure));
            }
            journey->admission.reservation = std::get<Budget::Reservation>(outcome);
            grant(journey);
        });
}

void RequestCoordinator::grant(const JourneyPointer &journey)
{
    auto &admission = journey->admission;
    admission.request = journey->request;
    if (admission.reservation) {
        admission.attemptId = makeAttemptId(*admission.reservation, admission.attemptCount);
    } else {
        admission.attemptId = Base::AttemptId(fmt::format("free/{}.{}/{}",
            m_context.self.name.text(), m_context.self.incarnation, ++m_freeAttempts));
    }
    journey->answer(std::move(admission));
}

void RequestCoordinator::refuse(const JourneyPointer &journey, Base::Failure failure)
{
    --m_inFlight;
    m_registry.markNotRun(journey->request.key);
    journey->answer(std::move(failure));
}

void RequestCoordinator::complete(
    const Admission &admission, Completion completion, std::function<void(bool)> whenSafe)
{
    --m_inFlight;
    const auto unused = admission.slot.tokens - completion.tokensUsed;
    m_dispatcher.release(admission.slot, completion.result, std::max(Base::Tokens(), unused));
    // A retry must not get the answer before its bill is safe either.
    auto whenBilled = [this, key = admission.request.key, answer = std::move(completion.response),
                          whenSafe = std::move(whenSafe)](bool isSafe) mutable {
        if (answer) {
            m_registry.finish(key, std::move(*answer));
        } else {
            m_registry.markUncertain(key);
        }
        whenSafe(isSafe);
    };
    if (!admission.reservation)
        return whenBilled(true);
    m_budgets.settle(*admission.reservation, completion.tokensUsed, std::move(whenBilled));
}

void RequestCoordinator::abandon(const Admission &admission, Routing::SlotResult result)
{
    --m_inFlight;
    m_dispatcher.release(admission.slot, result, admission.slot.tokens);
    m_registry.markNotRun(admission.request.key);
    if (admission.reservation)
        m_budgets.cancel(*admission.reservation);
}

void RequestCoordinator::redispatch(
    Admission admission, std::function<void(Base::Outcome<Admission>)> answer)
{
    m_dispatcher.release(admission.slot, Routing::SlotResult::Failed, admission.slot.tokens);
    auto request = slotRequest(admission.request);
    request.preference.failedServer = admission.slot.server;
    admission.slot = {};
    if (!m_dispatcher.tryTakeRetry(request.service)) {
        return answer(Base::Failure{Base::ErrorKind::ServerRefused,
            "the server failed, and too many requests are being retried",
            Base::Milliseconds(1'000)});
    }
    m_dispatcher.acquire(std::move(request),
        [admission = std::move(admission), answer = std::move(answer)](
            Base::Outcome<Routing::Slot> outcome) mutable {
            if (auto *failure = std::get_if<Base::Failure>(&outcome))
                return answer(std::move(*failure));
            admission.slot = std::get<Routing::Slot>(std::move(outcome));
            ++admission.attemptCount;
            if (admission.reservation)
                admission.attemptId = makeAttemptId(*admission.reservation, admission.attemptCount);
            answer(std::move(admission));
        });
}

void RequestCoordinator::onAsk(const Base::InstanceId &from, const Peer::AskRequest &message)
{
    Peer::TellRequest reply;
    reply.question = message.question;
    reply.knowledge = knowledgeOf(from, message);
    if (reply.knowledge == Peer::RequestKnowledge::Finished) {
        const auto &answer = m_registry.find({message.team, message.request})->answer;
        reply.httpStatus = answer.httpStatus;
        reply.contentType = answer.contentType;
        reply.body = answer.body;
    }
    m_context.peers.send(from, std::move(reply));
}

Peer::RequestKnowledge RequestCoordinator::knowledgeOf(
    const Base::InstanceId &from, const Peer::AskRequest &message)
{
    using Peer::RequestKnowledge;
    const RequestKey key{message.team, message.request};
    const auto *entry = m_registry.find(key);
    if (!entry) {
        if (!message.wantsToRun)
            return RequestKnowledge::Unknown;
        const auto minted = RequestIdIssuer::parse(message.request);
        const bool isFresh =
            minted && m_mint.isValid(*minted, message.team, m_context.scheduler.now());
        if (!isFresh)
            return RequestKnowledge::Uncertain;
        m_registry.giveAway(key, from);
        return RequestKnowledge::MayRun;
    }
    switch (entry->state) {
    case RequestState::Asking:
        // Two instances that ask each other at once: the one whose name sorts first runs it.
        return from.name < m_context.self.name ? RequestKnowledge::Unknown
                                               : RequestKnowledge::Running;
    case RequestState::Running:
        return RequestKnowledge::Running;
    case RequestState::Finished:
        return RequestKnowledge::Finished;
    case RequestState::NotRun:
        if (!message.wantsToRun)
            return RequestKnowledge::Unknown;
        m_registry.giveAway(key, from);
        return RequestKnowledge::MayRun;
    case RequestState::GivenAway:
        return entry->givenTo == from ? RequestKnowledge::MayRun : RequestKnowledge::Uncertain;
    case RequestState::Uncertain:
        break;
    }
    return RequestKnowledge::Uncertain;
}

void RequestCoordinator::onTell(const Base::InstanceId &from, const Peer::TellRequest &message)
{
    m_inquiry.onTell(from, message);
}

} // namespace Carawaykeel::Requests
