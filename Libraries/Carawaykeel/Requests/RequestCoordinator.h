#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Budget/GrantHolder.h>
#include <Carawaykeel/Requests/Admission.h>
#include <Carawaykeel/Requests/ClaimWriter.h>
#include <Carawaykeel/Requests/RequestIdIssuer.h>
#include <Carawaykeel/Requests/RequestRegistry.h>
#include <Carawaykeel/Requests/RequestStatusCollector.h>

#include <functional>
#include <memory>

namespace Carawaykeel::Requests {

/// Returns the other instances that may have received a team's retries.
using TeamPeerLookup = std::function<std::vector<Base::InstanceId>(const Base::TeamId &)>;

/// Coordinates the decisions about a request: whether it is a retry, whether it may run here, which
/// server gets it, whether there are tokens for it; and at its end, whether its bill is durable.
/// The user of this class sends the request to the server.
class RequestCoordinator
{
public:
    RequestCoordinator(Base::InstanceContext &context, Budget::GrantHolder &grantHolder,
        Routing::Dispatcher &dispatcher, RequestIdIssuer &requestIdIssuer,
        TeamPeerLookup teamPeers);

    /// Decides whether a request may be dispatched. After a failure no byte of it may be sent.
    void admit(RequestDescription request, std::function<void(Base::Outcome<Admission>)> callback);

    /// Ends a dispatched request. Calls `callback` with whether its bill is durable; only then may
    /// the end of the response be sent to the caller.
    void complete(
        const Admission &admission, Completion completion, std::function<void(bool)> callback);

    /// Ends an admitted request before any byte of it was sent.
    void abandon(const Admission &admission, Routing::SlotResult result);

    /// Selects another server for a request that is idempotent, or of which no byte has reached the
    /// first server. After a failure the admission must still be completed or abandoned; it then
    /// holds no slot.
    void redispatch(Admission admission, std::function<void(Base::Outcome<Admission>)> callback);

    /// Replies to a peer's query for the status of a request.
    void onQueryRequestStatus(
        const Base::InstanceId &from, const Peer::QueryRequestStatus &message);
    void onRequestStatusReply(
        const Base::InstanceId &from, const Peer::RequestStatusReply &message);

    /// Rejects all new requests with this kind of error.
    void rejectAll(Base::ErrorKind kind);

    /// Accepts new requests.
    void acceptAll();

    /// Returns the number of requests that are being admitted or were admitted and have not ended.
    std::size_t inFlightCount() const { return m_inFlight; }
    const RequestRegistry &registry() const { return m_registry; }

private:
    struct PendingAdmission
    {
        RequestDescription request;
        std::function<void(Base::Outcome<Admission>)> callback;
        Admission admission;
        bool wasNotExecuted = false;
    };
    using PendingAdmissionPointer = std::shared_ptr<PendingAdmission>;

    bool tryResolveFromRegistry(const PendingAdmissionPointer &pending);
    void replay(const PendingAdmissionPointer &pending, const RequestEntry &entry);
    void resolveRequestKey(const PendingAdmissionPointer &pending);
    void claim(const PendingAdmissionPointer &pending);
    void queryOwner(const PendingAdmissionPointer &pending, const Base::InstanceId &owner);
    void queryTeamPeers(const PendingAdmissionPointer &pending);
    void acquireSlot(const PendingAdmissionPointer &pending);
    void reserve(const PendingAdmissionPointer &pending);
    void finishAdmission(const PendingAdmissionPointer &pending);
    void reject(const PendingAdmissionPointer &pending, Base::Failure failure);
    void endWithPeerStatus(
        const PendingAdmissionPointer &pending, const RequestStatusSummary &summary);
    Peer::RequestStatus statusFor(
        const Base::InstanceId &from, const Peer::QueryRequestStatus &message);
    Routing::SlotRequest slotRequest(const RequestDescription &request) const;

    Base::InstanceContext &m_context;
    Budget::GrantHolder &m_grantHolder;
    Routing::Dispatcher &m_dispatcher;
    RequestIdIssuer &m_requestIdIssuer;
    TeamPeerLookup m_teamPeers;
    RequestRegistry m_registry;
    ClaimWriter m_claimWriter;
    RequestStatusCollector m_statusCollector;
    std::size_t m_inFlight = 0;
    std::uint64_t m_unreservedAttempts = 0;
    std::optional<Base::ErrorKind> m_rejectionKind;
};

} // namespace Carawaykeel::Requests
