#pragma once

#include <Support/VirtualInstance.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Carawaykeel::Tests {

/// How a request ended, as its caller sees it.
struct CallerResult
{
    Requests::RequestKey request;
    bool isFinished = false;
    /// True if a complete response was sent, after its bill became durable, or was replayed.
    bool isComplete = false;
    bool isAdmitted = false;
    Base::Milliseconds sentAt;
    /// Time of the admission or the rejection.
    Base::Milliseconds decidedAt;
    bool isReplay = false;
    /// The kind of the error, if the request failed.
    Base::ErrorKind kind = Base::ErrorKind::Internal;
};

/// Parameters of a request and its behaviour at the backend server.
struct RequestShape
{
    std::string team = "team";
    std::string budget = "budget";
    std::string service = "models";
    /// Tokens that the request reserves.
    Base::Tokens worstCase{100};
    /// Tokens that the engine produces.
    Base::Tokens used{60};
    Base::Milliseconds duration{40};
    bool isIdempotent = true;
    /// The caller's idempotency key, or empty if it sends none.
    std::string key;
};

/// Several instances, a platform and backend servers in virtual time. Requests go through the
/// instances in the same steps as in the daemon's request threads. `engines` records what the
/// servers ran; the checks compare with it.
class VirtualFleet
{
public:
    VirtualFleet(std::uint64_t seed, int instances);

    /// Settings of all instances. They may be changed before the first instance starts.
    Instance::InstanceSettings settings;

    /// Declares servers and one budget with `budget` tokens, starts all instances and runs until
    /// the declaration is in force.
    void start(Base::Tokens budget);

    /// Does the same with the given declaration.
    void startWithDeclaration(std::string document);

    void startInstance(int n);
    void kill(int n);
    bool isUp(int n) const { return m_instances.contains(nameOf(n)); }
    VirtualInstance &at(int n) { return *m_instances.at(nameOf(n)); }
    int count() const { return m_count; }
    static std::string nameOf(int n) { return "entry-" + std::to_string(n); }
    static std::string dataCentreOf(int n) { return "dc-" + std::to_string(n % 3); }

    /// Sends a request to an instance. The result is filled in while the fleet runs.
    std::shared_ptr<CallerResult> request(int n, const RequestShape &shape);

    /// Advances the time and calls checkNoOverspend() after every task.
    void run(std::int64_t milliseconds);

    /// Partitions the network between the instances in `side` and the others.
    void partition(const std::vector<int> &side);

    /// Ends all faults, starts the dead instances, runs the fleet until it has recovered, and then
    /// returns the tokens of all grants.
    void settleAndReturnAll();

    /// Checks that the servers have not produced more tokens than "budget" was topped up with. This
    /// and the following checks throw std::runtime_error with a description of the failure.
    void checkNoOverspend() const;
    /// Checks that no grant is open and that the settled tokens equal the sum of the billed and the
    /// written-off tokens.
    void checkLedgerBalances() const;
    /// Checks that every bill belongs to a request that ran, that no request is billed twice and,
    /// unless `allowsMissingBills`, that every run is billed or written off.
    void checkBillsMatchRuns(bool allowsMissingBills = false) const;

    /// Checks that all tokens that the servers produced are in a bill or in an uncharged row, or
    /// were written off.
    void checkProducedTokensAreAccounted() const;

    /// Checks that no server has run a request that was reported as not executed to all its
    /// callers.
    void checkRejectedRequestsDidNotRun() const;

    /// Checks that no request has run more than once.
    void checkRunsAtMostOnce() const;

    Base::Tokens billed(const std::string &budget = "budget") const;
    Budget::BudgetRow budgetRow(const std::string &budget = "budget") const;

    VirtualWorld world;
    FakeTable table;
    FakeNetwork network;
    FakeEngines engines;
    std::string declaration;
    /// Set to false for runs that are too long to store all results for the checks at the end.
    bool keepsResults = true;
    /// Must be set before start().
    Mutation mutation = Mutation::None;

private:
    void dispatch(const std::string &name, const Requests::Admission &admission,
        const RequestShape &shape, const std::shared_ptr<CallerResult> &result);

    const int m_count;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_requests = 0;
    std::map<std::string, std::unique_ptr<VirtualInstance>> m_instances;
    std::vector<std::shared_ptr<CallerResult>> m_results;
};

/// Returns a declaration with one team, one budget, a model service and a plain service.
std::string makeDeclaration(Base::Tokens budget, int entryVms);

/// Returns the same declaration with several teams, each with a budget of the same name.
std::string makeDeclaration(
    const std::vector<std::string> &teams, Base::Tokens tokensPerBudget, int entryVms);

} // namespace Carawaykeel::Tests
