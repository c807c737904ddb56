#include <Support/VirtualFleet.h>

#include <Carawaykeel/Base/ErrorTable.h>
#include <Carawaykeel/Configuration/ConfigurationRow.h>
#include <Carawaykeel/Platform/RowCodec.h>

#include <fmt/core.h>
#include <stdexcept>

namespace Carawaykeel::Tests {

namespace {

const std::string BudgetPrefix = "budget/";

void require(bool condition, const std::string &what)
{
    if (!condition)
        throw std::runtime_error(what);
}

} // namespace

std::string makeDeclaration(Base::Tokens budget, int entryVms)
{
    auto document = makeDeclaration(std::vector<std::string>{"budget"}, budget, entryVms);
    const std::string own = R"({"id":"budget","budget":"budget"})";
    document.replace(document.find(own), own.size(), R"({"id":"team","budget":"budget"})");
    return document;
}

std::string makeDeclaration(
    const std::vector<std::string> &teams, Base::Tokens eachBudget, int entryVms)
{
    std::string budgets;
    std::string owners;
    for (const auto &team : teams) {
        const auto *comma = budgets.empty() ? "" : ",";
        budgets += fmt::format(R"({}{{"id":"{}","top_ups":[{{"id":"first","tokens":{}}}]}})", comma,
            team, eachBudget.count());
        owners += fmt::format(R"({}{{"id":"{}","budget":"{}"}})", comma, team, team);
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
        budgets, owners, vms);
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
    auto own = settings;
    const auto name = nameOf(n);
    own.self.id = {Base::InstanceName(name), ++m_lives};
    own.self.dataCentre = Base::DataCentre(dataCentreOf(n));
    own.self.vm = fmt::format("{}-{}", name, m_lives);
    own.self.gossipAddress = name;
    own.self.peerAddress = name;
    own.self.callerAddress = name;
    own.self.operatorAddress = name;
    own.requestIdSecret = fmt::format("secret-{}", m_lives);
    own.seeds = {nameOf(0), nameOf(1), nameOf(2)};
    m_instances[name] = std::make_unique<VirtualInstance>(world, table, network, engines, own);
    m_instances[name]->mutation = mutation;
    table.mutation = mutation;
}

void VirtualFleet::kill(int n)
{
    m_instances.erase(nameOf(n));
}

std::shared_ptr<CallerResult> VirtualFleet::request(int n, const RequestShape &shape)
{
    auto answer = std::make_shared<CallerResult>();
    const auto name = nameOf(n);
    const auto it = m_instances.find(name);
    if (it == m_instances.end() || it->second->isPaused())
        return answer;
    auto &decisions = it->second->instance();
    Requests::RequestDescription description;
    description.key.team = Base::TeamId(shape.team);
    description.hasIdempotencyKey = !shape.key.empty();
    description.key.request = description.hasIdempotencyKey
        ? Base::RequestId(shape.key)
        : decisions.requestIdIssuer().issue(description.key.team, world.now());
    answer->request = description.key;
    answer->sentAt = world.now();
    if (keepsResults)
        m_answers.push_back(answer);
    description.isIdempotent = shape.isIdempotent;
    description.budget = Base::BudgetId(shape.budget);
    description.service = Base::ServiceName(shape.service);
    description.requestedTokens = shape.worstCase;
    description.minimumTokens = shape.worstCase;
    decisions.requests().admit(
        description, [this, name, shape, answer](Base::Outcome<Requests::Admission> outcome) {
            answer->decidedAt = world.now();
            if (const auto *failure = std::get_if<Base::Failure>(&outcome)) {
                answer->isFinished = true;
                answer->kind = failure->kind;
                return;
            }
            const auto admission = std::get<Requests::Admission>(outcome);
            if (admission.replayedResponse) {
                answer->isFinished = answer->isComplete = answer->isReplay = true;
                return;
            }
            answer->isAdmitted = true;
            // The caller's thread sends a moment after the decision, and may be paused in between.
            m_instances.at(name)->schedule(
                Base::Milliseconds(1), [this, name, admission, shape, answer] {
                    dispatch(name, admission, shape, answer);
                });
        });
    return answer;
}

void VirtualFleet::dispatch(const std::string &name, const Requests::Admission &admission,
    const RequestShape &shape, const std::shared_ptr<CallerResult> &answer)
{
    auto *instance = m_instances.at(name).get();
    const auto produced = engines.run(
        admission.request.key, admission.request.budget, admission.attemptId.text(), shape.used);
    if (produced < Base::Tokens()) {
        // The engine says that it has not run it and never will.
        instance->instance().requests().complete(
            admission, {Base::Tokens(), Routing::SlotResult::Failed, std::nullopt}, [answer](bool) {
                answer->isFinished = true;
                answer->kind = Base::ErrorKind::ServerConnectionLost;
            });
        return;
    }
    instance->schedule(shape.duration, [instance, admission, produced, answer] {
        instance->instance().requests().complete(admission,
            {produced, Routing::SlotResult::Succeeded,
                Requests::StoredResponse{200, "text/plain", "done"}},
            [answer](bool isSafe) { answer->isFinished = answer->isComplete = isSafe; });
    });
}

void VirtualFleet::run(std::int64_t milliseconds)
{
    world.run(Base::Milliseconds(milliseconds), [this] { checkNoOverspend(); });
}

void VirtualFleet::partition(const std::vector<int> &oneSide)
{
    for (int left = 0; left < m_count; ++left) {
        for (int right = 0; right < m_count; ++right) {
            const bool isOne = std::find(oneSide.begin(), oneSide.end(), left) != oneSide.end();
            const bool isOther = std::find(oneSide.begin(), oneSide.end(), right) == oneSide.end();
            if (isOne && isOther)
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
    const auto row = table.find(BudgetPrefix + budget);
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
    const auto row = table.find(BudgetPrefix + "budget");
    if (!row) {
        return require(
            produced == Base::Tokens(), "tokens were produced before the budget was topped up");
    }
    // Decoding is dear, so the books are looked at only when the oracle has something to say.
    static thread_local std::string known;
    static thread_local Base::Tokens toppedUp;
    if (known != row->value) {
        const auto now = Platform::decodeRow<Budget::BudgetRow>(row->value);
        known = row->value;
        toppedUp = now.toppedUp;
        require(now.available() >= Base::Tokens(), "the books grant out more than there is");
    }
    require(produced <= toppedUp,
        fmt::format("overspent: {} produced of {}", produced.count(), toppedUp.count()));
}

void VirtualFleet::checkLedgerBalances() const
{
    const auto now = budgetRow();
    Base::Tokens granted;
    std::string open;
    for (const auto &row : table.range("grant/")) {
        const auto grant = Platform::decodeRow<Budget::GrantRow>(row.value);
        granted += grant.amount;
        open += fmt::format(
            " {} witness {}.{}", row.key, grant.witness.name.text(), grant.witness.incarnation);
    }
    require(now.granted == granted,
        fmt::format(
            "books have {} granted, the grants' rows {}", now.granted.count(), granted.count()));
    require(granted == Base::Tokens(),
        fmt::format("{} tokens are still granted out:{}", granted.count(), open));
    Base::Tokens lost;
    for (const auto &row : table.range("loss/")) {
        const auto grant = Platform::decodeRow<Budget::GrantRow>(row.value);
        lost += grant.amount - grant.settled;
    }
    require(now.settled == billed() + lost,
        fmt::format(
            "{} settled, {} billed, {} lost", now.settled.count(), billed().count(), lost.count()));
}

void VirtualFleet::checkBillsMatchRuns(bool allowsMissing) const
{
    std::map<std::string, Billing::Bill> bills;
    for (const auto &row : table.range("bill/")) {
        const auto bill = Platform::decodeRow<Billing::Bill>(row.value);
        require(bills.emplace(bill.rowKey(), bill).second, "billed twice: " + bill.rowKey());
    }
    for (const auto &[key, bill] : bills)
        require(engines.runCount({bill.team, bill.request}) > 0, "billed but never run: " + key);
    for (const auto &[key, runs] : engines.runs()) {
        const Billing::Bill bill{key.team, key.request, {}, {}, 0, {}, false};
        // Where holder and witness died before a flush the line of the bill is lost, by the
        // documented assumption; its tokens stay counted as spent in the grant's loss.
        const auto reservation = engines.lastReservation(key);
        const bool isLost =
            table.find("loss/" + reservation.substr(0, reservation.rfind(':'))).has_value();
        require(allowsMissing || isLost || bills.contains(bill.rowKey()),
            "run but not billed: " + bill.rowKey() + " of " + engines.lastReservation(key));
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
    for (const auto &[reservation, tokens] : engines.attempts()) {
        const bool isLost =
            table.find("loss/" + reservation.substr(0, reservation.rfind(':'))).has_value();
        require(isLost || accounted[reservation] >= tokens,
            fmt::format("{} produced {} tokens, {} are accounted for", reservation, tokens.count(),
                accounted[reservation].count()));
    }
}

void VirtualFleet::checkRejectedRequestsDidNotRun() const
{
    std::map<Requests::RequestKey, bool> refused;
    for (const auto &answer : m_answers) {
        const bool isRefusal = answer->isFinished && !answer->isComplete
            && Base::errorResponseFor(answer->kind).executionStatus
                == Base::ExecutionStatus::NotExecuted;
        auto &isAllRefused = refused.try_emplace(answer->request, true).first->second;
        isAllRefused = isAllRefused && isRefusal;
    }
    for (const auto &[key, isAllRefused] : refused) {
        require(!isAllRefused || engines.runCount(key) == 0,
            "told not run, but run: " + key.request.text());
    }
}

void VirtualFleet::checkRunsAtMostOnce() const
{
    for (const auto &[key, runs] : engines.runs())
        require(runs <= 1, fmt::format("{} has run {} times", key.request.text(), runs));
}

} // namespace Carawaykeel::Tests
