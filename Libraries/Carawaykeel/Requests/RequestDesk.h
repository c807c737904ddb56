#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Budget/BudgetHolder.h>
#include <Carawaykeel/Requests/Admission.h>
#include <Carawaykeel/Requests/ClaimWriter.h>
#include <Carawaykeel/Requests/IdMint.h>
#include <Carawaykeel/Requests/PeerInquiry.h>
#include <Carawaykeel/Requests/RequestRegistry.h>

#include <functional>
#include <memory>

namespace Carawaykeel::Requests {

/// Returns the other instances that may have received a team's retries.
using TeamPeers = std::function<std::vector<Base::InstanceId>(const Base::TeamId &)>;

/// Coordinates the decisions about a request: whether it is a retry, whether it may run here, which
/// server gets it, whether there are tokens for it; and at its end, whether its bill is durable.
/// The user of this class sends the request to the server.
class RequestDesk
{
public:
    RequestDesk(Base::InstanceContext &context, Budget::BudgetHolder &budgets,
        Routing::Dispatcher &dispatcher, IdMint &mint, TeamPeers teamPeers);

    /// Decides whether a request may be dispatched. After a failure no byte of it may be sent.
    void admit(RequestDescription request, std::function<void(Base::Outcome<Admission>)> answer);

    /// Ends a dispatched request. Calls `callback` with whether its bill is durable; only then may
    /// the end of the response be sent to the caller.
    void complete(
        const Admission &admission, Completion completion, std::function<void(bool)> whenSafe);

    /// Ends an admitted request before any byte of it was sent.
    void abandon(const Admission &admission, Routing::SlotResult result);

    /// Selects another server for a request that is idempotent, or of which no byte has reached the
    /// first server. After a failure the admission must still be completed or abandoned; it then
    /// holds no slot.
    void redispatch(Admission admission, std::function<void(Base::Outcome<Admission>)> answer);

    /// Replies to a peer's query for the status of a request.
    void onAsk(const Base::InstanceId &from, const Peer::AskRequest &message);
    void onTell(const Base::InstanceId &from, const Peer::TellRequest &message);

    /// Rejects all new requests with this kind of error.
    void refuseAll(Base::ErrorKind kind);

    /// Accepts new requests.
    void acceptAll();

    /// Returns the number of requests that are being admitted or were admitted and have not ended.
    std::size_t inFlight() const { return m_inFlight; }
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
    Budget::BudgetHolder &m_budgets;
    Routing::Dispatcher &m_dispatcher;
    IdMint &m_mint;
    TeamPeers m_teamPeers;
    RequestRegistry m_registry;
    ClaimWriter m_claims;
    PeerInquiry m_inquiry;
    std::size_t m_inFlight = 0;
    std::uint64_t m_freeAttempts = 0;
    std::optional<Base::ErrorKind> m_refusal;
};

} // namespace Carawaykeel::Requests
