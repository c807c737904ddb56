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

/// Brings back the tokens of grants whose holder is missing. A missed holder's grant is fenced at
/// its witness, and what is not reserved goes back to the budget at once; that needs no clock and
/// no certainty. Open reservations are billed when the holder is certainly dead, or long after. A
/// grant whose holder and witness are both certainly dead is closed as spent, since nobody knows
/// what was reserved last.
class GrantReclaimer
{
public:
    GrantReclaimer(Base::InstanceContext &context, const BudgetPolicy &policy,
        GrantWitness &witness, const FailureDetector &lives, AttemptLookup &attempts);

    /// Begins the periodic search. Call once.
    void start();

    std::uint64_t reclaimed() const { return m_reclaimed; }
    std::uint64_t writtenOff() const { return m_writtenOff; }

private:
    /// What the engines said of a grant's open reservations.
    using Reports = std::map<std::uint64_t, AttemptLookupResult>;

    struct Operation
    {
        Base::GrantId id;
        GrantRow row;
        std::uint64_t version = 0;
        /// The bills that this write inserts.
        std::vector<Billing::Bill> bills;
        /// Second runs that it records as borne by the house.
        std::vector<Billing::Bill> house;
        /// Reservations that are over once the write has landed.
        std::vector<std::uint64_t> finished;
        bool isClosing = false;
        bool isWriteOff = false;
        int triesLeft = 0;
    };
    using OperationPointer = std::shared_ptr<Operation>;

    /// When a missing life's grants were last looked for.
    struct SearchRecord
    {
        Base::Milliseconds when;
        int emptySearches = 0;
    };

    void scheduleSearch();
    void scheduleSweep();
    void searchMissing();
    void search(const std::string &prefix, const std::optional<Base::InstanceId> &life = {});
    bool isWitnessOf(const Base::InstanceId &life) const;
    Base::Milliseconds withJitter(Base::Milliseconds pause);
    void consider(const Platform::Row &row);
    void workOnNext();
    void begin(const OperationPointer &operation);
    void askEngines(const OperationPointer &operation);
    void read(const OperationPointer &operation, const std::shared_ptr<Reports> &reports);
    void decide(const OperationPointer &operation, const Reports &reports,
        const std::vector<std::uint64_t> &asked, const Platform::RowsReply &reply);
    void collectBills(Operation &operation, const Reports &reports,
        const std::vector<std::uint64_t> &asked, const Platform::RowsReply &reply);
    static Billing::Bill billFor(const Operation &operation, std::uint64_t number,
        const WitnessedReservation &reservation, Base::Tokens tokens);
    static Base::Tokens tokensOf(
        const AttemptLookupResult &report, const WitnessedReservation &reservation);
    void bearByHouse(Operation &operation, std::uint64_t number,
        const WitnessedReservation &reservation, const Reports &reports);
    void estimate(Operation &operation, std::uint64_t number, const AttemptLookupResult &report,
        Base::Tokens &left);
    void commit(const OperationPointer &operation, const Platform::Row &budget);
    void writeOff(const OperationPointer &operation);
    void finish(const OperationPointer &operation);
    void tryAgain(const OperationPointer &operation);
    bool mayBillOpen(const Operation &operation, const WitnessedReservation &reservation) const;

    Base::InstanceContext &m_context;
    const BudgetPolicy m_policy;
    GrantWitness &m_witness;
    const FailureDetector &m_lives;
    AttemptLookup &m_attempts;
    /// Grants that wait for their turn; one is worked on at a time, since the grants of one budget
    /// share its row.
    std::deque<OperationPointer> m_queue;
    std::set<Base::GrantId> m_queued;
    bool m_isWorking = false;
    std::map<Base::InstanceId, SearchRecord> m_searched;
    bool m_hasSwept = false;
    std::uint64_t m_reclaimed = 0;
    std::uint64_t m_writtenOff = 0;
};

} // namespace Carawaykeel::Budget
