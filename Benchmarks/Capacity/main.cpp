// Measures the resource use per member, request and row that docs/CAPACITY.md is based on. Each
// part of the program prints one table.
#include "GossipFleet.h"

#include <Carawaykeel/Configuration/DeclarationParser.h>
#include <Carawaykeel/Forwarding/PromptQuarantine.h>
#include <Carawaykeel/Platform/RowCodec.h>
#include <Carawaykeel/Requests/RequestRegistry.h>
#include <Carawaykeel/Routing/ServerSelection.h>
#include <Support/RelayFleet.h>
#include <Support/VirtualFleet.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <fmt/core.h>
#include <malloc.h>
#include <string>
#include <vector>

namespace {

using namespace Carawaykeel;
using namespace Carawaykeel::Benchmarks;

constexpr std::uint64_t Seed = 7;
const std::vector<std::size_t> Sizes{8, 32, 64, 128, 256, 410};

void measureGossip()
{
    fmt::print("\n## Bytes and messages against members (no loss, no updates)\n\n| members | "
               "bytes/s | datagrams/s | largest datagram |\n|---|---|---|---|\n");
    for (const auto size : Sizes) {
        GossipFleet fleet(size, 0, Seed);
        // Long enough for all members to learn of all others, so that no updates are pending.
        fleet.start(240'000);
        const auto traffic = fleet.measureTraffic(20'000);
        fmt::print("| {} | {:.0f} | {:.1f} | {} |\n", size, traffic.bytesPerSecond,
            traffic.datagramsPerSecond, traffic.largestDatagram);
    }
}

/// Maximum propagation times of several changes, in milliseconds.
struct WorstTimes
{
    std::int64_t version = 0;
    std::int64_t server = 0;
};

WorstTimes measurePropagation(std::size_t size, double loss, int changes)
{
    GossipFleet fleet(size, loss, Seed);
    fleet.start(60'000);
    WorstTimes worst;
    for (int n = 0; n < changes; ++n) {
        worst.version = std::max(worst.version, fleet.timeUntilVersionKnown());
        worst.server = std::max(worst.server, fleet.timeUntilServerKnown());
    }
    return worst;
}

void measureConvergence()
{
    fmt::print("\n## Time until known everywhere, worst of 20 changes, ms\n\n| members | loss | "
               "configuration | leaving server |\n|---|---|---|---|\n");
    for (const auto size : {8UL, 128UL, 410UL}) {
        for (const auto loss : {0.0, 0.05, 0.2}) {
            const auto worst = measurePropagation(size, loss, 20);
            fmt::print(
                "| {} | {:.0f}% | {} | {} |\n", size, 100 * loss, worst.version, worst.server);
        }
    }
}

void measureStorms()
{
    fmt::print("\n## 410 members starting at once, and a partition into halves\n\n");
    GossipFleet fleet(410, 0, Seed);
    fleet.start(0);
    const auto startupTraffic = fleet.measureTraffic(5'000);
    std::int64_t convergenceTime = 5'000;
    while (!fleet.isConverged() && convergenceTime < 120'000) {
        fleet.measureTraffic(1'000);
        convergenceTime += 1'000;
    }
    fmt::print("- first 5 s: {:.0f} bytes/s a member; each knows all others after {} s\n",
        startupTraffic.bytesPerSecond, convergenceTime / 1'000);
    fleet.setPartitioned(true);
    const auto partitionTraffic = fleet.measureTraffic(60'000);
    fleet.setPartitioned(false);
    std::int64_t recoveryTime = 0;
    while (!fleet.isConverged() && recoveryTime < 300'000) {
        fleet.measureTraffic(1'000);
        recoveryTime += 1'000;
    }
    fmt::print("- partition of a minute: {:.0f} bytes/s a member; after it all are known alive "
               "again in {} s\n",
        partitionTraffic.bytesPerSecond, recoveryTime / 1'000);
}

/// Measures how a new configuration spreads when one instance has it and no other reaches the table
/// service, and what an announcement costs once all have it.
void measureRelay()
{
    constexpr std::size_t DocumentBytes = 420'000;
    constexpr int Announcements = 2'000;
    fmt::print("\n## A document of 420 KB from one instance to all, links of 10 Mbit/s\n\n"
               "| instances | ms until all have it | documents sent | us for an announcement | "
               "bytes of state |\n|---|---|---|---|---|\n");
    for (const std::size_t size : {8, 60, 410}) {
        Tests::RelayFleet fleet(size, DocumentBytes);
        fleet.setVersion(0, 1);
        const auto duration = fleet.runUntilAllHave(1);
        const auto documentsSent = fleet.documentsSent();
        const auto start = std::chrono::steady_clock::now();
        for (int n = 0; n < Announcements; ++n)
            fleet.announceAll();
        const std::chrono::duration<double, std::micro> elapsed =
            std::chrono::steady_clock::now() - start;
        fmt::print("| {} | {} | {} | {:.3f} | {} |\n", size, duration.count(), documentsSent,
            elapsed.count() / (Announcements * static_cast<double>(size)),
            sizeof(Configuration::ConfigurationRelay));
    }
}

/// Measures the time of a call in microseconds and as a multiple of a reference loop in the same
/// run.
class CallTimer
{
public:
    CallTimer()
    {
        m_referenceMicroseconds = microsecondsPerCall(1'000'000, [n = std::uint64_t(1)]() mutable {
            n = n * 6'364'136'223'846'793'005ULL + 1;
            asm volatile("" : "+r"(n));
        });
    }

    template <typename Function>
    void print(const std::string &name, int repetitions, Function &&function)
    {
        const auto microseconds = microsecondsPerCall(repetitions, function);
        fmt::print("| {} | {:.2f} | {:.0f} |\n", name, microseconds,
            microseconds / m_referenceMicroseconds);
    }

private:
    template <typename Function>
    static double microsecondsPerCall(int repetitions, Function &&function)
    {
        const auto start = std::chrono::steady_clock::now();
        for (int n = 0; n < repetitions; ++n)
            function();
        return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start)
                   .count()
            / repetitions;
    }

    double m_referenceMicroseconds = 1;
};

/// Measures what prompt quarantine costs an instance for a request, and for a crash that it sees in
/// fleets of different sizes.
void measureQuarantine()
{
    constexpr std::uint64_t SharedParts = 8'000;
    constexpr std::uint64_t QuarantinedParts = 100;
    fmt::print("\n## Prompt quarantine with {} shared parts in use and {} quarantined\n\n"
               "| part | us | times the reference loop |\n|---|---|---|\n",
        SharedParts, QuarantinedParts);
    const auto memoryBefore = mallinfo2().uordblks;
    Forwarding::PromptQuarantine quarantine;
    const Base::Milliseconds now(1'000);
    for (std::uint64_t part = 0; part < SharedParts; ++part)
        quarantine.onResponded(std::vector{part}, now);
    for (std::uint64_t part = SharedParts; part < SharedParts + QuarantinedParts; ++part) {
        for (const auto *server : {"a", "b", "c"})
            quarantine.onServerCrashed(Base::ServerName(server), std::vector{part}, now);
    }
    const auto memory = mallinfo2().uordblks - memoryBefore;
    CallTimer timer;
    const std::vector<std::uint64_t> parts{1, 2, 3};
    timer.print("check a request with 3 shared parts", 1'000'000,
        [&] { quarantine.isRejected(parts, now); });
    timer.print("record a response with 3 shared parts", 1'000'000,
        [&] { quarantine.onResponded(parts, now); });
    fmt::print("\n- memory: {} KB\n", memory / 1'024);
}

std::string declarationText(int teams, int budgets, int servers)
{
    std::string text = R"({"rules":{"budgets":[)";
    for (int n = 0; n < budgets; ++n) {
        text +=
            fmt::format(R"({}{{"id":"budget-{}","top_ups":[{{"id":"first","tokens":1000000}}]}})",
                n ? "," : "", n);
    }
    text += R"(],"teams":[)";
    for (int n = 0; n < teams; ++n) {
        text += fmt::format(R"({}{{"id":"team-{}","budget":"budget-{}","key_sha256":["{:064x}"]}})",
            n ? "," : "", n, n % budgets, n);
    }
    text +=
        R"(],"services":[{"name":"models","kind":"models","models":["m"]}]},"inventory":{"vms":[)";
    for (int n = 0; n < servers; ++n) {
        text += fmt::format(
            R"({}{{"name":"server-{}","role":"server","service":"models","data_centre":"dc-{}","address":"10.1.{}.{}:8000"}})",
            n ? "," : "", n, n % 5, n / 200, n % 200 + 1);
    }
    return text + "]}}";
}

std::vector<Routing::ServerState> makeServerStates(int count)
{
    std::vector<Routing::ServerState> servers;
    for (int n = 0; n < count; ++n) {
        Routing::ServerState server;
        server.name = Base::ServerName(fmt::format("server-{}", n));
        server.capacity = 64;
        server.inFlight = n % 40;
        servers.push_back(server);
    }
    return servers;
}

void measureProcessorTime()
{
    fmt::print("\n## Processor time\n\n| what | microseconds | reference loops |\n|---|---|---|\n");
    CallTimer clock;
    const Peer::AuthenticatedCodec codec("capacity-benchmark-key");
    Membership::GossipMessage gossip;
    Membership::Member member;
    member.id = {Base::InstanceName("entry-123"), 117'726'125'839'000'000};
    member.gossipAddress = member.peerAddress = member.callerAddress = member.operatorAddress =
        "10.100.200.100:8080";
    gossip.sender = member;
    gossip.updates.assign(3, member);
    clock.print("gossip message, encode and decode", 20'000, [&] {
        const auto bytes = codec.encode(gossip);
        Base::toOutcome<Membership::GossipMessage>(
            [&] { return codec.tryDecode<Membership::GossipMessage>(bytes); });
    });
    const Peer::PeerEnvelope envelope{member.id, member.id,
        Peer::RecordReservation{Base::GrantId("grant/entry-123.117726125839000000/12"),
            Base::BudgetId("budget-1"), 7, Base::TeamId("team"), Base::RequestId("request-1234567"),
            Base::ServiceName("models"), Base::Tokens(500)}};
    clock.print("reservation message, encode and decode", 20'000, [&] {
        const auto bytes = codec.encode(envelope);
        Base::toOutcome<Peer::PeerEnvelope>(
            [&] { return codec.tryDecode<Peer::PeerEnvelope>(bytes); });
    });
    Budget::BudgetRow row;
    for (int n = 0; n < 8; ++n)
        row.grants.emplace_back("grant/entry-123.117726125839000000/12");
    clock.print("budget's row, encode and decode", 5'000,
        [&] { Platform::decodeRow<Budget::BudgetRow>(Platform::encodeRow(row)); });
    Base::RandomEngine random(Seed);
    const auto servers = makeServerStates(600);
    std::uint64_t hash = 1;
    clock.print("selection among 600 servers, with prefix", 5'000, [&] {
        Routing::selectServer(servers, {++hash, {}}, {}, Base::Milliseconds(1'000), random);
    });
    const auto fewServers = makeServerStates(20);
    clock.print("selection among 20 servers, with prefix", 50'000, [&] {
        Routing::selectServer(fewServers, {++hash, {}}, {}, Base::Milliseconds(1'000), random);
    });
    const auto currentDeclaration = declarationText(10, 10, 23);
    const auto targetDeclaration = declarationText(1'300, 32'000, 600);
    clock.print(fmt::format("declaration of current size ({} bytes)", currentDeclaration.size()),
        200, [&] { Configuration::parseDeclaration(currentDeclaration); });
    clock.print(fmt::format("declaration of target size ({} bytes)", targetDeclaration.size()), 2,
        [&] { Configuration::parseDeclaration(targetDeclaration); });
    Tests::VirtualFleet fleet(Seed, 8);
    fleet.keepsResults = false;
    fleet.start(Base::Tokens(1'000'000'000));
    clock.print("request through all instances, fakes and bill included", 2'000, [&] {
        fleet.request(1, {});
        fleet.world.run(Base::Milliseconds(2));
    });
}

std::size_t heapInUse()
{
    return mallinfo2().uordblks;
}

template <typename Function>
void printMemory(const std::string &name, std::size_t count, Function &&function)
{
    const auto before = heapInUse();
    const auto result = function();
    fmt::print("| {} | {:.0f} |\n", name,
        static_cast<double>(heapInUse() - before) / static_cast<double>(count));
}

void measureMemory()
{
    fmt::print("\n## Memory, bytes each\n\n| what | bytes |\n|---|---|\n");
    constexpr std::size_t Members = 410;
    printMemory("member known", Members, [] {
        std::vector<Membership::Member> members(Members);
        for (auto &member : members) {
            member.id.name = Base::InstanceName("entry-123-of-many");
            member.gossipAddress = member.peerAddress = member.callerAddress =
                member.operatorAddress = "10.100.200.100:8080";
        }
        return members;
    });
    constexpr std::size_t Grants = 10'000;
    printMemory("grant held", Grants, [] {
        auto grantRegistry = std::make_unique<Budget::GrantRegistry>();
        for (std::size_t n = 0; n < Grants; ++n) {
            Budget::HeldGrant grant;
            grant.id = Base::GrantId(fmt::format("grant/entry-123.117726125839000000/{}", n));
            grant.row.budget = Base::BudgetId(fmt::format("budget-of-team-{}", n));
            grant.row.holder.name = grant.row.witness.name =
                Base::InstanceName("entry-123-of-many");
            grantRegistry->add(std::move(grant));
        }
        return grantRegistry;
    });
    Tests::VirtualWorld world(Seed);
    Tests::FakeTable table(world);
    constexpr std::size_t Requests = 10'000;
    struct NullScheduler : Base::Scheduler
    {
        Base::Milliseconds now() const override { return {}; }
        void schedule(Base::Milliseconds, std::function<void()>) override { }
    } nullScheduler;
    printMemory("request known, with a response of 200 bytes", Requests, [&] {
        auto registry =
            std::make_unique<Requests::RequestRegistry>(nullScheduler, Requests::RegistryPolicy());
        for (std::size_t n = 0; n < Requests; ++n) {
            const Requests::RequestKey key{Base::TeamId("team-123"),
                Base::RequestId(
                    fmt::format("ck~entry-123~117726125839000000~12345~{}~{:040}", n, n))};
            registry->start(key);
            registry->finish(key, {200, "application/json", std::string(200, 'x')});
        }
        return registry;
    });
    printMemory("budget declared", 32'000, [] {
        return std::make_unique<Configuration::ParsedDeclaration>(
            Configuration::parseDeclaration(declarationText(1, 32'000, 0)));
    });
    printMemory("team declared", 1'300, [] {
        return std::make_unique<Configuration::ParsedDeclaration>(
            Configuration::parseDeclaration(declarationText(1'300, 1, 0)));
    });
    printMemory("server declared", 600, [] {
        return std::make_unique<Configuration::ParsedDeclaration>(
            Configuration::parseDeclaration(declarationText(1, 1, 600)));
    });
}

/// The load of one row of the printed platform table.
struct PlatformLoad
{
    int budgets;
    int requestsPerSecond;
};

void measurePlatform()
{
    fmt::print(
        "\n## Platform reads and writes a second, eight instances, two minutes in steady "
        "state\n\n| budgets in use | requests/s | writes/s | reads/s |\n|---|---|---|---|\n");
    for (const auto &load : {PlatformLoad{1, 10}, PlatformLoad{10, 10}, PlatformLoad{100, 10},
             PlatformLoad{10, 40}, PlatformLoad{100, 40}}) {
        const auto budgets = load.budgets;
        const auto rate = load.requestsPerSecond;
        std::vector<std::string> teams;
        for (int n = 0; n < budgets; ++n)
            teams.push_back(fmt::format("team-{}", n));
        Tests::VirtualFleet fleet(Seed, 8);
        fleet.keepsResults = false;
        fleet.startWithDeclaration(Tests::makeDeclaration(teams, Base::Tokens(1'000'000'000), 8));
        auto send = [&, n = 0](int milliseconds) mutable {
            for (int passed = 0; passed < milliseconds; passed += 1'000 / rate, ++n) {
                Tests::RequestShape shape;
                shape.team = shape.budget = teams[static_cast<std::size_t>(n % budgets)];
                const auto entry =
                    fleet.at(n % 8).instance().entryInstancesFor(Base::TeamId(shape.team));
                fleet.request(entry.members.front().id.name.text().back() - '0', shape);
                fleet.world.run(Base::Milliseconds(1'000 / rate));
            }
        };
        send(60'000);
        const auto writes = fleet.table.writes;
        const auto reads = fleet.table.reads;
        send(120'000);
        fmt::print("| {} | {} | {:.2f} | {:.2f} |\n", budgets, rate,
            static_cast<double>(fleet.table.writes - writes) / 120,
            static_cast<double>(fleet.table.reads - reads) / 120);
    }
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("capacity-benchmark: measures the figures of docs/CAPACITY.md");
    std::string part = "all";
    app.add_option("part", part,
        "Part to run: gossip, convergence, storms, relay, quarantine, processor, memory, platform "
        "or all");
    CLI11_PARSE(app, argc, argv);
    const auto isSelected = [&](const std::string &name) { return part == "all" || part == name; };
    if (isSelected("gossip"))
        measureGossip();
    if (isSelected("convergence"))
        measureConvergence();
    if (isSelected("storms"))
        measureStorms();
    if (isSelected("relay"))
        measureRelay();
    if (isSelected("quarantine"))
        measureQuarantine();
    if (isSelected("processor"))
        measureProcessorTime();
    if (isSelected("memory"))
        measureMemory();
    if (isSelected("platform"))
        measurePlatform();
    return 0;
}
