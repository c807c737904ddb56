#include <Support/VirtualFleet.h>

#include <Carawaykeel/Base/ErrorTable.h>
#include <Carawaykeel/Configuration/ConfigurationRow.h>
#include <Carawaykeel/Platform/RowCodec.h>

#include <fmt/core.h>
#include <stdexcept>

namespace Carawaykeel::Tests {

namespace {

const std::string BudgetRowPrefix = "budget/";

void require(bool condition, const std::string &message)
{
    if (!condition)
        throw std::runtime_error(message);
}

} // namespace

std::string makeDeclaration(Base::Tokens budget, int entryVms)
{
    auto document = makeDeclaration(std::vector<std::string>{"budget"}, budget, entryVms);
    const std::string sameNameTeam = R"({"id":"budget","budget":"budget"})";
    document.replace(
        document.find(sameNameTeam), sameNameTeam.size(), R"({"id":"team","budget":"budget"})");
    return document;
}

std::string makeDeclaration(
    const std::vector<std::string> &teams, Base::Tokens tokensPerBudget, int entryVms)
{
    std::string budgets;
    std::string teamEntries;
    for (const auto &team : teams) {
        const auto *comma = budgets.empty() ? "" : ",";
        budgets += fmt::format(R"({}{{"id":"{}","top_ups":[{{"id":"first","tokens":{}}}]}})", comma,
            team, tokensPerBudget.count());
        teamEntries += fmt::format(R"({}{{"id":"{}","budget":"{}"}})", comma, team, team);
    }
    std::string vms;
    for (int n = 0; n < entryVms; ++n) {
        vms += fmt::format(R"({{"name":"{}","role":"entry","data_centre":"{}"}},)",
            VirtualFleet::nameOf(n), VirtualFleet::dataCentreOf(n));
    }
    for (int n = 0; n < 3; ++n) {
        vms += fmt::format(
            R"({{"name":"engine-{0}","role":"server","service":"models","data_centre":"dc-{0}","address":"127.0.0.{1}:80"}},)",
            n, n + 1);
        vms += fmt::format(
            R"({{"name":"plain-{0}","role":"server","service":"plain","data_centre":"dc-{0}","address":"127.0.1.{1}:80"}},)",
            n, n + 1);
    }
    vms.pop_back();
    return fmt::format(R"({{"rules":{{"budgets":[{}],"teams":[{}],
        "services":[{{"name":"models","kind":"models","models":["m"],"capacity_per_server":1000,"keeps_attempts":true}},
        {{"name":"plain","kind":"plain","tokens_per_request":1,"capacity_per_server":1000}}]}},"inventory":{{"vms":[{}]}}}})",
        budgets, teamEntries, vms);
}

VirtualFleet::VirtualFleet(std::uint64_t seed, int instances)
    : world(seed)
    , table(world)
    , network(world)
    , engines(world)
    , m_count(instances)
{
}

void VirtualFleet::start(Base::Tokens budget)
{
    startWithDeclaration(makeDeclaration(budget, m_count));
}

void VirtualFleet::startWithDeclaration(std::string document)
{
    declaration = std::move(document);
    Platform::Transaction transaction;
    transaction.put(Configuration::ConfigurationRow::rowKey(),
        Platform::encodeRow(
            Configuration::ConfigurationRow{1, Base::OperationId("first"), declaration}),
        Platform::AbsentVersion);
    table.apply(transaction);
    for (int n = 0; n < m_count; ++n)
        startInstance(n);
    run(3'000);
}

void VirtualFleet::startInstance(int n)
{
    auto instanceSettings = settings;
    const auto name = nameOf(n);
    instanceSettings.self.id = {Base::InstanceName(name), ++m_lastIncarnation};
    instanceSettings.self.dataCentre = Base::DataCentre(dataCentreOf(n));
    instanceSettings.self.vm = fmt::format("{}-{}", name, m_lastIncarnation);
    instanceSettings.self.gossipAddress = name;
    instanceSettings.self.peerAddress = name;
    instanceSettings.self.callerAddress = name;
    instanceSettings.self.operatorAddress = name;
    instanceSettings.requestIdSecret = fmt::format("secret-{}", m_lastIncarnation);
    instanceSettings.seeds = {nameOf(0), nameOf(1), nameOf(2)};
    m_instances[name] =
        std::make_unique<VirtualInstance>(world, table, network, engines, instanceSettings);
    m_instances[name]->mutation = mutation;
    table.mutation = mutation;
}

void VirtualFleet::kill(int n)
{
    m_instances.erase(nameOf(n));
}

std::shared_ptr<CallerResult> VirtualFleet::request(int n, const RequestShape &shape)
{
    auto result = std::make_shared<CallerResult>();
    const auto name = nameOf(n);
    const auto it = m_instances.find(name);
    if (it == m_instances.end() || it->second->isPaused())
        return result;
    auto &instance = it->second->instance();
    Requests::RequestDescription description;
    description.key.team = Base::TeamId(shape.team);
    description.hasIdempotencyKey = !shape.key.empty();
    description.key.request = description.hasIdempotencyKey
        ? Base::RequestId(shape.key)
        : instance.requestIdIssuer().issue(description.key.team, world.now());
    result->request = description.key;
    result->sentAt = world.now();
    if (keepsResults)
        m_results.push_back(result);
    description.isIdempotent = shape.isIdempotent;
    description.budget = Base::BudgetId(shape.budget);
    description.service = Base::ServiceName(shape.service);
    description.requestedTokens = shape.worstCase;
    description.minimumTokens = shape.worstCase;
    instance.requestCoordinator().admit(
        description, [this, name, shape, result](Base::Outcome<Requests::Admission> outcome) {
            result->decidedAt = world.now();
            if (const auto *failure = std::get_if<Base::Failure>(&outcome)) {
                result->isFinished = true;
                result->kind = failure->kind;
                return;
            }
            const auto admission = std::get<Requests::Admission>(outcome);
            if (admission.replayedResponse) {
                result->isFinished = result->isComplete = result->isReplay = true;
                return;
            }
            result->isAdmitted = true;
            // A daemon's request thread dispatches shortly after the admission and can be paused in
            // between.
            m_instances.at(name)->schedule(
                Base::Milliseconds(1), [this, name, admission, shape, result] {
                    dispatch(name, admission, shape, result);
                });
        });
    return result;
}

void VirtualFleet::dispatch(const std::string &name, const Requests::Admission &admission,
    const RequestShape &shape, const std::shared_ptr<CallerResult> &result)
{
    auto *virtualInstance = m_instances.at(name).get();
    const auto produced = engines.run(
        admission.request.key, admission.request.budget, admission.attemptId.text(), shape.used);
    if (produced < Base::Tokens()) {
        // The engine has not run the attempt and will never run it.
        virtualInstance->instance().requestCoordinator().complete(
            admission, {Base::Tokens(), Routing::SlotResult::Failed, std::nullopt}, [result](bool) {
                result->isFinished = true;
                result->kind = Base::ErrorKind::ServerFailed;
            });
        return;
    }
    virtualInstance->schedule(shape.duration, [virtualInstance, admission, produced, result] {
        virtualInstance->instance().requestCoordinator().complete(admission,
            {produced, Routing::SlotResult::Succeeded,
                Requests::StoredResponse{200, "text/plain", "done"}},
            [result](bool isDurable) { result->isFinished = result->isComplete = isDurable; });
    });
}

void VirtualFleet::run(std::int64_t milliseconds)
{
    world.run(Base::Milliseconds(milliseconds), [this] { checkNoOverspend(); });
}

void VirtualFleet::partition(const std::vector<int> &side)
{
    for (int left = 0; left < m_count; ++left) {
        for (int right = 0; right < m_count; ++right) {
            const bool isLeftOnSide = std::find(side.begin(), side.end(), left) != side.end();
            const bool isRightOnOtherSide =
                std::find(side.begin(), side.end(), right) == side.end();
            if (isLeftOnSide && isRightOnOtherSide)
                network.setPartitioned(nameOf(left), nameOf(right), true);
        }
    }
}

void VirtualFleet::settleAndReturnAll()
{
    network.healPartitions();
    network.loss = network.duplication = 0;
    table.isDown = false;
    table.disconnectedClients.clear();
    table.replyLoss = table.lateCommit = 0;
    table.extraDelay = Base::Milliseconds();
    for (int n = 0; n < m_count; ++n) {
        if (!isUp(n))
            startInstance(n);
        at(n).resume();
    }
    run(30'000);
    for (int n = 0; n < m_count; ++n)
        at(n).instance().grantHolder().returnAll([](bool) {});
    run(30'000);
}

Budget::BudgetRow VirtualFleet::budgetRow(const std::string &budget) const
{
    const auto row = table.find(BudgetRowPrefix + budget);
    return row ? Platform::decodeRow<Budget::BudgetRow>(row->value) : Budget::BudgetRow();
}

Base::Tokens VirtualFleet::billed(const std::string &budget) const
{
    Base::Tokens sum;
    for (const auto &row : table.range("bill/")) {
        const auto bill = Platform::decodeRow<Billing::Bill>(row.value);
        if (bill.budget.text() == budget)
            sum += bill.tokens;
    }
    return sum;
}

void VirtualFleet::checkNoOverspend() const
{
    const auto produced = engines.produced(Base::BudgetId("budget"));
    const auto row = table.find(BudgetRowPrefix + "budget");
    if (!row) {
        return require(produced == Base::Tokens(),
            "tokens were produced before the first top-up of the budget");
    }
    // This runs after every task and decoding is expensive, so the row is decoded only after a
    // change.
    static thread_local std::string checkedValue;
    static thread_local Base::Tokens toppedUp;
    if (checkedValue != row->value) {
        const auto budget = Platform::decodeRow<Budget::BudgetRow>(row->value);
        checkedValue = row->value;
        toppedUp = budget.toppedUp;
        require(budget.available() >= Base::Tokens(),
            "the budget row has granted more tokens than were available");
    }
    require(produced <= toppedUp,
        fmt::format(
            "overspent: {} tokens produced, {} topped up", produced.count(), toppedUp.count()));
}

void VirtualFleet::checkLedgerBalances() const
{
    const auto budget = budgetRow();
    Base::Tokens granted;
    std::string openGrants;
    for (const auto &row : table.range("grant/")) {
        const auto grant = Platform::decodeRow<Budget::GrantRow>(row.value);
        granted += grant.amount;
        openGrants += fmt::format(
            " {} witness {}.{}", row.key, grant.witness.name.text(), grant.witness.incarnation);
    }
    require(budget.granted == granted,
        fmt::format("the budget row has {} tokens granted, the grant rows have {}",
            budget.granted.count(), granted.count()));
    require(granted == Base::Tokens(),
        fmt::format("{} tokens are still in open grants:{}", granted.count(), openGrants));
    Base::Tokens lost;
    for (const auto &row : table.range("loss/")) {
        const auto grant = Platform::decodeRow<Budget::GrantRow>(row.value);
        lost += grant.amount - grant.settled;
    }
    require(budget.settled == billed() + lost,
        fmt::format("{} tokens settled, {} billed, {} written off", budget.settled.count(),
            billed().count(), lost.count()));
}

void VirtualFleet::checkBillsMatchRuns(bool allowsMissingBills) const
{
    std::map<std::string, Billing::Bill> bills;
    for (const auto &row : table.range("bill/")) {
        const auto bill = Platform::decodeRow<Billing::Bill>(row.value);
        require(bills.emplace(bill.rowKey(), bill).second, "billed twice: " + bill.rowKey());
    }
    for (const auto &[key, bill] : bills)
        require(engines.runCount({bill.team, bill.request}) > 0, "billed but never run: " + key);
    for (const auto &[key, runs] : engines.runCounts()) {
        const Billing::Bill bill{key.team, key.request, {}, {}, 0, {}, false};
        // If the holder and the witness both die before a flush, the bill is lost, which is
        // a documented assumption. The tokens count as spent in the loss row of the grant.
        const auto reservation = engines.lastReservation(key);
        const bool isLost =
            table.find("loss/" + reservation.substr(0, reservation.rfind(':'))).has_value();
        require(allowsMissingBills || isLost || bills.contains(bill.rowKey()),
            "run but not billed: " + bill.rowKey() + ", reservation "
                + engines.lastReservation(key));
    }
}

void VirtualFleet::checkProducedTokensAreAccounted() const
{
    std::map<std::string, Base::Tokens> accounted;
    for (const auto *prefix : {"bill/", "house/"}) {
        for (const auto &row : table.range(prefix)) {
            const auto bill = Platform::decodeRow<Billing::Bill>(row.value);
            accounted[fmt::format("{}:{}", bill.grant.text(), bill.reservation)] += bill.tokens;
        }
    }
    for (const auto &[reservation, tokens] : engines.producedByReservation()) {
        const bool isLost =
            table.find("loss/" + reservation.substr(0, reservation.rfind(':'))).has_value();
        require(isLost || accounted[reservation] >= tokens,
            fmt::format("reservation {} produced {} tokens, but bills and uncharged rows have {}",
                reservation, tokens.count(), accounted[reservation].count()));
    }
}

void VirtualFleet::checkRejectedRequestsDidNotRun() const
{
    std::map<Requests::RequestKey, bool> notExecuted;
    for (const auto &result : m_results) {
        const bool isReportedNotExecuted = result->isFinished && !result->isComplete
            && Base::errorResponseFor(result->kind).executionStatus
                == Base::ExecutionStatus::NotExecuted;
        auto &isNotExecuted = notExecuted.try_emplace(result->request, true).first->second;
        isNotExecuted = isNotExecuted && isReportedNotExecuted;
    }
    for (const auto &[key, isNotExecuted] : notExecuted) {
        require(!isNotExecuted || engines.runCount(key) == 0,
            "reported as not executed, but executed: " + key.request.text());
    }
}

void VirtualFleet::checkRunsAtMostOnce() const
{
    for (const auto &[key, runs] : engines.runCounts())
        require(runs <= 1, fmt::format("request {} was run {} times", key.request.text(), runs));
}

} // namespace Carawaykeel::Tests
