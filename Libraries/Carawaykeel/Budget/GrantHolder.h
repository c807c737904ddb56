#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Budget/BillFlusher.h>
#include <Carawaykeel/Budget/BudgetPolicy.h>
#include <Carawaykeel/Budget/FailureDetector.h>
#include <Carawaykeel/Budget/GrantAcquirer.h>
#include <Carawaykeel/Budget/GrantHolderCounters.h>
#include <Carawaykeel/Budget/GrantRegistry.h>
#include <Carawaykeel/Budget/GrantReturner.h>
#include <Carawaykeel/Budget/TopUpWriter.h>
#include <Carawaykeel/Budget/UsageRate.h>
#include <Carawaykeel/Budget/WitnessSelector.h>

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace Carawaykeel::Budget {

/// Reserves tokens before dispatch, settles them afterwards, and sizes the instance's grants to the
/// usage. A reservation is valid only once the witness of its grant has recorded it.
class GrantHolder
{
public:
    GrantHolder(Base::InstanceContext &context, const BudgetPolicy &policy,
        WitnessSelector &witnessSelector, const FailureDetector &failureDetector);

    /// Starts the periodic maintenance. Call once.
    void start();

    /// Reserves tokens for one request. Fails with BudgetExhausted or BudgetUnavailable; in that
    /// case nothing is reserved and the request must not be dispatched.
    void reserve(
        ReservationRequest request, std::function<void(Base::Outcome<Reservation>)> callback);

    /// Settles a reservation whose request was dispatched. Calls `callback` with true once the
    /// bill is durable, that is, stored at the witness or in the table.
    void settle(
        const Reservation &reservation, Base::Tokens used, std::function<void(bool)> callback);

    /// Cancels a reservation whose request was not and will not be dispatched.
    void cancel(const Reservation &reservation);

    /// Handles the replies of witnesses and the recalls of peers.
    void onReservationRecorded(const Peer::ReservationRecorded &message);
    void onSettlementRecorded(const Peer::SettlementRecorded &message);
    void onRecallTokens(const Base::InstanceId &from, const Peer::RecallTokens &message);
    void onTokensReturned(const Base::InstanceId &from, const Peer::TokensReturned &message);

    /// Retires all grants and calls `callback` with true once they are settled and closed. New
    /// reservations fail.
    void returnAll(std::function<void(bool)> callback);

    const GrantHolderCounters &counters() const { return m_counters; }
    GrantRegistry &grants() { return m_grants; }
    TopUpWriter &topUps() { return m_topUps; }

private:
    struct PendingReservation
    {
        ReservationRequest request;
        std::function<void(Base::Outcome<Reservation>)> callback;
        Base::Milliseconds deadline;
    };
    enum class AccountState { Idle, Acquiring, Recalling };
    struct Account
    {
        std::deque<PendingReservation> queue;
        AccountState state = AccountState::Idle;
        /// Failed acquisitions for the front of the queue; after the first, its minimum is
        /// accepted.
        int rounds = 0;
        std::uint64_t recallRound = 0;
        std::set<Base::InstanceName> pendingRecallReplies;
        UsageRate rate;
        /// When grants may next be prefetched.
        Base::Milliseconds nextPrefetchAt;
    };

    bool tryReserve(PendingReservation &pending, bool acceptsMinimum);
    HeldGrant *findGrant(const Base::BudgetId &budget, Base::Tokens tokens);
    void requestReservation(HeldGrant &grant, Base::Tokens tokens, PendingReservation &pending);
    void sendReservation(const Base::GrantId &id, std::uint64_t number);
    void suspendGrant(const Base::GrantId &id);
    void reassignRequested(HeldGrant &grant);
    void dropReservation(HeldGrant &grant, std::uint64_t number);
    void reserveOrQueue(const ReservationRequest &request,
        std::function<void(Base::Outcome<Reservation>)> callback, Base::Milliseconds deadline);
    void serveQueue(const Base::BudgetId &budget);
    void acquire(const Base::BudgetId &budget);
    void onAcquired(const Base::BudgetId &budget, AcquireOutcome outcome, Base::Tokens available);
    void refuseFirst(Account &account, Base::ErrorKind kind);
    void startRecall(const Base::BudgetId &budget);
    void finishRecall(const Base::BudgetId &budget, std::uint64_t round);
    void sendSettlement(const HeldGrant &grant, std::uint64_t number, const HeldReservation &held);
    void resendSettlement(const Base::GrantId &id, std::uint64_t number, int remainingTries);
    void returnWithRetries(
        const Base::GrantId &id, int remainingTries, std::function<void(bool)> callback);
    void runMaintenance();
    void maintainGrants();
    void maintainGrant(HeldGrant &grant);
    bool isNearlySpent(const HeldGrant &grant);
    void prefetchGrants();
    void returnSmallestGrant(const Base::BudgetId &budget, bool isLocal);
    void startAcquisition(const Base::BudgetId &budget, AcquireRequest request);
    std::vector<RequestedGrant> missingGrants(const Base::BudgetId &budget, Account &account);
    void tryReturnAll(std::function<void(bool)> callback);
    Base::Tokens targetSize(const Base::BudgetId &budget, Account &account);

    Base::InstanceContext &m_context;
    const BudgetPolicy m_policy;
    WitnessSelector &m_witnessSelector;
    const FailureDetector &m_failureDetector;
    GrantRegistry m_grants;
    TopUpWriter m_topUps;
    GrantAcquirer m_acquirer;
    GrantReturner m_returner;
    BillFlusher m_flusher;
    std::map<Base::BudgetId, Account> m_accounts;
    std::uint64_t m_lastReservation = 0;
    std::uint64_t m_lastRecallRound = 0;
    bool m_isReturningAll = false;
    GrantHolderCounters m_counters;
};

} // namespace Carawaykeel::Budget
