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

/// The holder's side of the budgets: reserves before dispatch, settles after, and keeps grants of a
/// size that suits the use. A reservation counts only once the grant's witness has recorded it.
class GrantHolder
{
public:
    GrantHolder(Base::InstanceContext &context, const BudgetPolicy &policy,
        WitnessSelector &witnesses, const FailureDetector &lives);

    /// Begins the periodic upkeep. Call once.
    void start();

    /// Reserves tokens for one request. Fails with BudgetExhausted or BudgetUnreachable; then
    /// nothing is reserved and the request must not be dispatched.
    void reserve(
        ReservationRequest request, std::function<void(Base::Outcome<Reservation>)> answer);

    /// Settles a reservation whose request was dispatched. Answers true once the bill is safe: the
    /// witness or the platform has it.
    void settle(
        const Reservation &reservation, Base::Tokens used, std::function<void(bool)> whenSafe);

    /// Frees a reservation whose request was never dispatched, and never will be.
    void cancel(const Reservation &reservation);

    /// Takes the witness's answers and the recalls of peers.
    void onReservationRecorded(const Peer::ReservationRecorded &message);
    void onSettlementRecorded(const Peer::SettlementRecorded &message);
    void onRecallTokens(const Base::InstanceId &from, const Peer::RecallTokens &message);
    void onTokensReturned(const Base::InstanceId &from, const Peer::TokensReturned &message);

    /// Retires every grant; answers true when all are settled and closed. Reservations fail from
    /// now on.
    void returnAll(std::function<void(bool)> answer);

    const GrantHolderCounters &counters() const { return m_counters; }
    GrantRegistry &grants() { return m_book; }
    TopUpWriter &topUps() { return m_topUps; }

private:
    struct Waiting
    {
        ReservationRequest request;
        std::function<void(Base::Outcome<Reservation>)> answer;
        Base::Milliseconds deadline;
    };
    enum class Step { Idle, Acquiring, Recalling };
    struct Account
    {
        std::deque<Waiting> waiting;
        Step step = Step::Idle;
        int rounds = 0;
        std::uint64_t recallRound = 0;
        std::set<Base::InstanceName> recallOpen;
        UsageRate rate;
        /// When grants may be taken ahead of need again.
        Base::Milliseconds nextAhead;
    };

    bool tryServe(Waiting &waiting, bool acceptsLess);
    HeldGrant *findGrant(const Base::BudgetId &budget, Base::Tokens tokens);
    void begin(HeldGrant &grant, Base::Tokens tokens, Waiting &waiting);
    void askWitness(const Base::GrantId &id, std::uint64_t number);
    void loseWitness(const Base::GrantId &id);
    void moveAskedElsewhere(HeldGrant &grant);
    void dropReservation(HeldGrant &grant, std::uint64_t number);
    void serveAgain(const ReservationRequest &request,
        std::function<void(Base::Outcome<Reservation>)> answer, Base::Milliseconds deadline);
    void pump(const Base::BudgetId &budget);
    void acquire(const Base::BudgetId &budget);
    void onAcquired(const Base::BudgetId &budget, AcquireOutcome outcome, Base::Tokens available);
    void refuseFirst(Account &account, Base::ErrorKind kind);
    void recall(const Base::BudgetId &budget);
    void finishRecall(const Base::BudgetId &budget, std::uint64_t round);
    void sendSettlement(const HeldGrant &grant, std::uint64_t number, const HeldReservation &held);
    void resendSettlement(const Base::GrantId &id, std::uint64_t number, int triesLeft);
    void returnWhenFree(const Base::GrantId &id, int triesLeft, std::function<void(bool)> answer);
    void upkeep();
    void tidyGrants();
    void tidyGrant(HeldGrant &grant);
    bool isSpent(const HeldGrant &grant);
    void acquireAhead();
    void mergeSmallest(const Base::BudgetId &budget, bool isNear);
    void startAcquiring(const Base::BudgetId &budget, AcquireRequest request);
    std::vector<WantedGrant> missingGrants(const Base::BudgetId &budget, Account &account);
    void tryHandBack(std::function<void(bool)> answer);
    Base::Tokens wantedSize(const Base::BudgetId &budget, Account &account);

    Base::InstanceContext &m_context;
    const BudgetPolicy m_policy;
    WitnessSelector &m_witnesses;
    const FailureDetector &m_lives;
    GrantRegistry m_book;
    TopUpWriter m_topUps;
    GrantAcquirer m_acquirer;
    GrantReturner m_returner;
    BillFlusher m_flusher;
    std::map<Base::BudgetId, Account> m_accounts;
    std::uint64_t m_numbers = 0;
    std::uint64_t m_rounds = 0;
    bool m_isHandingBack = false;
    GrantHolderCounters m_counters;
};

} // namespace Carawaykeel::Budget
