#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Budget/GrantHolder.h>
#include <Carawaykeel/Requests/Admission.h>
#include <Carawaykeel/Requests/ClaimWriter.h>
#include <Carawaykeel/Requests/PeerInquiry.h>
#include <Carawaykeel/Requests/RequestIdIssuer.h>
#include <Carawaykeel/Requests/RequestRegistry.h>

#include <functional>
#include <memory>

namespace Carawaykeel::Requests {

/// Names the other instances that a team's retries may have reached.
using TeamPeers = std::function<std::vector<Base::InstanceId>(const Base::TeamId &)>;

/// The way of a request through the decisions: is it a retry, may it run here, which server, are
/// there tokens; and at its end, is its bill safe. Whoever drives it does the sending itself.
class RequestCoordinator
{
public:
    RequestCoordinator(Base::InstanceContext &context, Budget::GrantHolder &budgets,
        Routing::Dispatcher &dispatcher, RequestIdIssuer &mint, TeamPeers teamPeers);

    /// Decides whether a request may be dispatched. On a failure no byte of it may be sent.
    void admit(RequestDescription request, std::function<void(Base::Outcome<Admission>)> answer);

    /// Ends a dispatched request. Answers whether its bill is safe; only then may the end of the
    /// answer be given to the caller.
    void complete(
        const Admission &admission, Completion completion, std::function<void(bool)> whenSafe);

    /// Ends a request of which no byte was sent.
    void abandon(const Admission &admission, Routing::SlotResult result);

    /// Looks for another server for a request of which no byte has reached the first, or that is
    /// idempotent. On a failure the admission is still to be completed or abandoned, without slot.
    void redispatch(Admission admission, std::function<void(Base::Outcome<Admission>)> answer);

    /// Answers a peer's question about a request.
    void onAsk(const Base::InstanceId &from, const Peer::AskRequest &message);
    void onTell(const Base::InstanceId &from, const Peer::TellRequest &message);

    /// From now on requests are refused, with this kind.
    void refuseAll(Base::ErrorKind kind);

    /// From now on requests are taken.
    void acceptAll();

    /// Requests that were admitted and have not ended.
    std::size_t inFlightCount() const { return m_inFlight; }
    const RequestRegistry &registry() const { return m_registry; }

private:
    struct Journey
    {
        RequestDescription request;
        std::function<void(Base::Outcome<Admission>)> answer;
        Admission admission;
        bool wasNotRun = false;
    };
    using JourneyPointer = std::shared_ptr<Journey>;

    bool answerFromRegistry(const JourneyPointer &journey);
    void replay(const JourneyPointer &journey, const RequestEntry &entry);
    void settleIdentity(const JourneyPointer &journey);
    void claim(const JourneyPointer &journey);
    void askOwner(const JourneyPointer &journey, const Base::InstanceId &owner);
    void askTeamPeers(const JourneyPointer &journey);
    void takeSlot(const JourneyPointer &journey);
    void reserve(const JourneyPointer &journey);
    void grant(const JourneyPointer &journey);
    void refuse(const JourneyPointer &journey, Base::Failure failure);
    void endElsewhere(const JourneyPointer &journey, const InquiryAnswer &answer);
    Peer::RequestKnowledge knowledgeOf(
        const Base::InstanceId &from, const Peer::AskRequest &message);
    Routing::SlotRequest slotRequest(const RequestDescription &request) const;

    Base::InstanceContext &m_context;
    Budget::GrantHolder &m_budgets;
    Routing::Dispatcher &m_dispatcher;
    RequestIdIssuer &m_mint;
    TeamPeers m_teamPeers;
    RequestRegistry m_registry;
    ClaimWriter m_claims;
    PeerInquiry m_inquiry;
    std::size_t m_inFlight = 0;
    std::uint64_t m_freeAttempts = 0;
    std::optional<Base::ErrorKind> m_refusal;
};

} // namespace Carawaykeel::Requests
