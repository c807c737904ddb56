#pragma once

#include <Support/VirtualInstance.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Carawaykeel::Tests {

/// What a caller was told in the end.
struct CallerResult
{
    Requests::RequestKey request;
    bool isFinished = false;
    bool isComplete = false;
    bool isAdmitted = false;
    Base::Milliseconds sentAt;
    /// When the leave to dispatch came, or the refusal.
    Base::Milliseconds decidedAt;
    bool isReplay = false;
    /// The kind, when it was a refusal.
    Base::ErrorKind kind = Base::ErrorKind::Internal;
};

/// How a request behaves at the back end.
struct RequestShape
{
    std::string team = "team";
    std::string budget = "budget";
    std::string service = "models";
    Base::Tokens worstCase{100};
    /// What the engine really produces.
    Base::Tokens used{60};
    Base::Milliseconds duration{40};
    bool isIdempotent = true;
    /// The caller's key; empty for none.
    std::string key;
};

/// Several instances, a platform and back ends in virtual time, driven as the callers' threads of
/// the real daemon drive the decisions. Its oracle knows what back ends really ran.
class VirtualFleet
{
public:
    /// The policy may be changed before the first instance starts.
    VirtualFleet(std::uint64_t seed, int instances);

    Instance::InstanceSettings settings;

    /// Declares one budget with its tokens, and servers; starts all instances and waits until the
    /// declaration is in force.
    void start(Base::Tokens budget);

    /// The same with a document of one's own.
    void startWithDeclaration(std::string document);

    void startInstance(int n);
    void kill(int n);
    bool isUp(int n) const { return m_instances.contains(nameOf(n)); }
    VirtualInstance &at(int n) { return *m_instances.at(nameOf(n)); }
    int count() const { return m_count; }
    static std::string nameOf(int n) { return "entry-" + std::to_string(n); }
    static std::string dataCentreOf(int n) { return "dc-" + std::to_string(n % 3); }

    /// Sends a request to an instance; the answer is filled in later.
    std::shared_ptr<CallerResult> request(int n, const RequestShape &shape);

    /// Runs on, checking the books after every step.
    void run(std::int64_t milliseconds);

    /// Cuts the instances into two sides that do not reach each other.
    void partition(const std::vector<int> &oneSide);

    /// Heals everything, starts what is down, lets it settle and hands everything back.
    void settleAndReturnAll();

    /// The checks; each throws std::runtime_error with what is wrong.
    void checkNoOverspend() const;
    void checkLedgerBalances() const;
    void checkBillsMatchRuns(bool allowsMissing = false) const;

    /// What back ends produced stands in a bill, or in a row of what the house bears.
    void checkProducedTokensAreAccounted() const;

    /// No back end has seen a request whose callers were all told that it was not run.
    void checkRejectedRequestsDidNotRun() const;

    /// No request has run more than once.
    void checkRunsAtMostOnce() const;

    Base::Tokens billed(const std::string &budget = "budget") const;
    Budget::BudgetRow budgetRow(const std::string &budget = "budget") const;

    VirtualWorld world;
    FakeTable table;
    FakeNetwork network;
    FakeEngines engines;
    std::string declaration;
    /// False where a run is too long to keep every answer for checks at the end.
    bool keepsResults = true;
    /// Set before the start.
    Mutation mutation = Mutation::None;

private:
    void dispatch(const std::string &name, const Requests::Admission &admission,
        const RequestShape &shape, const std::shared_ptr<CallerResult> &answer);

    const int m_count;
    std::uint64_t m_lives = 0;
    std::uint64_t m_requests = 0;
    std::map<std::string, std::unique_ptr<VirtualInstance>> m_instances;
    std::vector<std::shared_ptr<CallerResult>> m_answers;
};

/// A declaration with one team, one budget, a service of models and a plain one.
std::string makeDeclaration(Base::Tokens budget, int entryVms);

/// The same with several teams, each with a budget of its own name.
std::string makeDeclaration(
    const std::vector<std::string> &teams, Base::Tokens eachBudget, int entryVms);

} // namespace Carawaykeel::Tests
