#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Budget/AttemptLookup.h>
#include <Carawaykeel/Budget/BudgetPolicy.h>
#include <Carawaykeel/Budget/BudgetRow.h>
#include <Carawaykeel/Budget/FailureDetector.h>
#include <Carawaykeel/Budget/GrantRow.h>
#include <Carawaykeel/Budget/GrantWitness.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace Carawaykeel::Budget {

/// Reclaims the tokens of grants whose holder has failed. The grant is fenced at its witness, and
/// the unreserved tokens return to the budget at once; this needs neither a clock nor a confirmed
/// death. Open reservations are billed when the holder is confirmed dead or after
/// `reservationExpiry`. A grant whose holder and witness are both confirmed dead is written off as
/// spent, since no other record of its last reservations exists.
class GrantReclaimer
{
public:
    GrantReclaimer(Base::InstanceContext &context, const BudgetPolicy &policy,
        GrantWitness &witness, const FailureDetector &failureDetector,
        AttemptLookup &attemptLookup);

    /// Starts the periodic search. Call once.
    void start();

    std::uint64_t reclaimed() const { return m_reclaimed; }
    std::uint64_t writtenOff() const { return m_writtenOff; }

private:
    /// The lookup results of a grant's open reservations.
    using AttemptResults = std::map<std::uint64_t, AttemptLookupResult>;

    struct Operation
    {
        Base::GrantId id;
        GrantRow row;
        std::uint64_t version = 0;
        /// The bills that the transaction inserts.
        std::vector<Billing::Bill> bills;
        /// Uncharged runs that the transaction records.
        std::vector<Billing::Bill> uncharged;
        /// Reservations that are finished once the transaction is committed.
        std::vector<std::uint64_t> finished;
        bool isClosing = false;
        bool isWriteOff = false;
        int remainingTries = 0;
    };
    using OperationPointer = std::shared_ptr<Operation>;

    /// The last search for the grants of a failed incarnation.
    struct SearchRecord
    {
        Base::Milliseconds lastSearch;
        int emptySearches = 0;
    };

    void scheduleSearch();
    void scheduleSweep();
    void searchFailed();
    void search(const std::string &prefix, const std::optional<Base::InstanceId> &incarnation = {});
    bool isWitnessFor(const Base::InstanceId &incarnation) const;
    Base::Milliseconds withJitter(Base::Milliseconds delay);
    void consider(const Platform::Row &row);
    void startNext();
    void begin(const OperationPointer &operation);
    void lookUpAttempts(const OperationPointer &operation);
    void readRows(
        const OperationPointer &operation, const std::shared_ptr<AttemptResults> &results);
    void decide(const OperationPointer &operation, const AttemptResults &results,
        const std::vector<std::uint64_t> &queried, const Platform::RowsReply &reply);
    void collectBills(Operation &operation, const AttemptResults &results,
        const std::vector<std::uint64_t> &queried, const Platform::RowsReply &reply);
    static Billing::Bill billFor(const Operation &operation, std::uint64_t number,
        const WitnessedReservation &reservation, Base::Tokens tokens);
    static Base::Tokens tokensToBill(
        const AttemptLookupResult &result, const WitnessedReservation &reservation);
    void recordUncharged(Operation &operation, std::uint64_t number,
        const WitnessedReservation &reservation, const AttemptResults &results);
    void billEstimate(Operation &operation, std::uint64_t number, const AttemptLookupResult &result,
        Base::Tokens &remaining);
    void commit(const OperationPointer &operation, const Platform::Row &budget);
    void writeOff(const OperationPointer &operation);
    void finish(const OperationPointer &operation);
    void retry(const OperationPointer &operation);
    bool isBillable(const Operation &operation, const WitnessedReservation &reservation) const;

    Base::InstanceContext &m_context;
    const BudgetPolicy m_policy;
    GrantWitness &m_witness;
    const FailureDetector &m_failureDetector;
    AttemptLookup &m_attemptLookup;
    /// Queued grants; only one is processed at a time, since the grants of one budget share its
    /// row.
    std::deque<OperationPointer> m_queue;
    std::set<Base::GrantId> m_queued;
    bool m_isProcessing = false;
    std::map<Base::InstanceId, SearchRecord> m_searches;
    bool m_hasSwept = false;
    std::uint64_t m_reclaimed = 0;
    std::uint64_t m_writtenOff = 0;
};

} // namespace Carawaykeel::Budget
