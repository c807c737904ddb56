#include "LoadReport.h"

#include <Carawaykeel/Billing/Bill.h>
#include <Carawaykeel/Budget/BudgetRow.h>
#include <Carawaykeel/Budget/GrantRow.h>
#include <Carawaykeel/Platform/RowCodec.h>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <algorithm>
#include <array>
#include <fmt/core.h>
#include <fstream>
#include <map>
#include <set>

namespace Carawaykeel::Load {

namespace {

constexpr std::array<const char *, LoadKindCount> KindNames{
    "report", "tag", "booking", "queue check"};

Poco::JSON::Object::Ptr get(const std::string &address, const std::string &path)
{
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
    Poco::Net::HTTPRequest request("GET", path, Poco::Net::HTTPMessage::HTTP_1_1);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    Poco::JSON::Parser parser;
    return parser.parse(body).extract<Poco::JSON::Object::Ptr>();
}

template <typename T>
std::map<std::string, T> readRows(const std::string &platform, const std::string &prefix)
{
    std::map<std::string, T> rows;
    const auto reply = get(platform, "/table/range?prefix=" + prefix);
    for (const auto &item : *reply->getArray("rows")) {
        const auto &row = item.extract<Poco::JSON::Object::Ptr>();
        rows.emplace(row->getValue<std::string>("key"),
            Platform::decodeRow<T>(row->getValue<std::string>("value")));
    }
    return rows;
}

/// The work that the stand-in servers have recorded.
struct ServerRecords
{
    /// Tokens produced for each reservation; the key is GRANT:NUMBER.
    std::map<std::string, std::int64_t> tokens;
    std::map<std::string, int> bookings;
};

ServerRecords fetchServerRecords(const std::string &servers)
{
    ServerRecords serverRecords;
    std::ifstream stream(servers);
    std::string name;
    std::string service;
    std::string address;
    while (stream >> name >> service >> address) {
        const auto object = get(address, "/oracle");
        if (object->isObject("attempts")) {
            const auto attempts = object->getObject("attempts");
            for (const auto &id : attempts->getNames()) {
                serverRecords.tokens[id.substr(0, id.rfind(':'))] +=
                    attempts->getValue<std::int64_t>(id);
            }
        } else {
            const auto runs = object->getObject("runs");
            for (const auto &key : runs->getNames())
                serverRecords.bookings[key] += runs->getValue<int>(key);
        }
    }
    return serverRecords;
}

/// Prints each violated invariant and keeps whether all hold.
class InvariantChecks
{
public:
    void require(bool condition, const std::string &what)
    {
        if (condition)
            return;
        m_allHold = false;
        fmt::print("BROKEN: {}\n", what);
    }
    bool allHold() const { return m_allHold; }

private:
    bool m_allHold = true;
};

void printLatencies(const std::vector<LoadRecord> &records)
{
    fmt::print("\n{:<12} {:>7} {:>7} {:>8} {:>9} {:>10} {:>10} {:>10}\n", "kind", "asked", "whole",
        "refused", "uncertain", "p50 ms", "p95 ms", "p99 ms");
    for (std::size_t kind = 0; kind < LoadKindCount; ++kind) {
        std::array<int, 3> counts{};
        std::vector<double> latencies;
        for (const auto &record : records) {
            if (static_cast<std::size_t>(record.kind) != kind)
                continue;
            ++counts.at(static_cast<std::size_t>(record.outcome));
            if (record.outcome == LoadOutcome::Complete)
                latencies.push_back(record.totalMilliseconds);
        }
        std::sort(latencies.begin(), latencies.end());
        const auto percentile = [&](double share) {
            return latencies.empty() ? 0.0
                                     : latencies[static_cast<std::size_t>(
                                         share * static_cast<double>(latencies.size() - 1))];
        };
        fmt::print("{:<12} {:>7} {:>7} {:>8} {:>9} {:>10.1f} {:>10.1f} {:>10.1f}\n",
            KindNames.at(kind), counts[0] + counts[1] + counts[2], counts[0], counts[1], counts[2],
            percentile(0.5), percentile(0.95), percentile(0.99));
    }
}

void printTeams(const LoadOptions &options, const std::vector<LoadRecord> &records,
    const std::map<std::string, Billing::Bill> &bills,
    const std::map<std::string, Budget::BudgetRow> &budgets, InvariantChecks &checks)
{
    fmt::print("\n{:<16} {:>10} {:>8} {:>8} {:>8}  {}\n", "team", "budget", "spent", "bills",
        "refused", "why");
    for (const auto &team : options.teams) {
        std::int64_t spent = 0;
        int billCount = 0;
        for (const auto &[key, bill] : bills) {
            if (bill.team.text() != team)
                continue;
            spent += bill.tokens.count();
            ++billCount;
        }
        std::map<std::string, int> countsByReason;
        int refused = 0;
        for (const auto &record : records) {
            if (record.team != team || record.outcome != LoadOutcome::Refused)
                continue;
            ++refused;
            ++countsByReason[record.refusal];
        }
        std::string reasons;
        for (const auto &[kind, n] : countsByReason)
            reasons += fmt::format("{} {} ", n, kind);
        const auto it = budgets.find("budget/" + team);
        const auto toppedUp = it == budgets.end() ? 0 : it->second.toppedUp.count();
        fmt::print("{:<16} {:>10} {:>8} {:>8} {:>8}  {}\n", team, toppedUp, spent, billCount,
            refused, reasons);
        checks.require(spent <= toppedUp, fmt::format("{} spent {} of {}", team, spent, toppedUp));
    }
}

void checkRequests(const std::vector<LoadRecord> &records,
    const std::map<std::string, Billing::Bill> &bills, const ServerRecords &serverRecords,
    InvariantChecks &checks)
{
    for (const auto &record : records) {
        const auto billKey = "bill/" + record.team + "/" + record.key;
        const bool isBilled = bills.contains(billKey);
        // A queue check is billed like any other call, at the cost that its service declares.
        if (record.outcome == LoadOutcome::Complete)
            checks.require(isBilled, "complete response without a bill: " + billKey);
        if (record.outcome == LoadOutcome::Refused)
            checks.require(!isBilled, "refused without a run, but billed: " + billKey);
        checks.require(!record.isMismatched, "response of another request: " + billKey);
        const auto it = serverRecords.bookings.find(record.key);
        const auto runs = it == serverRecords.bookings.end() ? 0 : it->second;
        if (record.kind != LoadKind::Booking)
            continue;
        checks.require(runs <= 1, fmt::format("booking {} ran {} times", record.key, runs));
        checks.require(record.outcome != LoadOutcome::Complete || runs == 1,
            "booking confirmed but not run: " + record.key);
        checks.require(record.outcome != LoadOutcome::Refused || runs == 0,
            "booking refused but run: " + record.key);
    }
}

void checkEngines(const std::string &platform, const std::map<std::string, Billing::Bill> &bills,
    const ServerRecords &serverRecords, InvariantChecks &checks)
{
    std::map<std::string, std::int64_t> billed;
    for (const auto &[key, bill] : bills)
        billed[fmt::format("{}:{}", bill.grant.text(), bill.reservation)] += bill.tokens.count();
    const auto uncharged = readRows<Billing::Bill>(platform, "house/");
    for (const auto &[key, bill] : uncharged)
        billed[fmt::format("{}:{}", bill.grant.text(), bill.reservation)] += bill.tokens.count();
    const auto lostGrants = readRows<Budget::GrantRow>(platform, "loss/");
    std::int64_t produced = 0;
    for (const auto &[reservation, tokens] : serverRecords.tokens) {
        produced += tokens;
        const auto grant = reservation.substr(0, reservation.rfind(':'));
        if (lostGrants.contains("loss/" + grant))
            continue;
        const auto it = billed.find(reservation);
        checks.require(it != billed.end() && it->second >= tokens,
            fmt::format("{} produced {}, billed {}", reservation, tokens,
                it == billed.end() ? -1 : it->second));
    }
    fmt::print("\nengines produced {} tokens; {} uncharged runs; {} grants written off\n", produced,
        uncharged.size(), lostGrants.size());
}

} // namespace

bool reportAndCheck(const LoadOptions &options, const std::vector<LoadRecord> &records)
{
    InvariantChecks checks;
    const auto bills = readRows<Billing::Bill>(options.platform, "bill/");
    const auto budgets = readRows<Budget::BudgetRow>(options.platform, "budget/");
    const auto serverRecords = fetchServerRecords(options.servers);
    printLatencies(records);
    printTeams(options, records, bills, budgets, checks);
    checkRequests(records, bills, serverRecords, checks);
    checkEngines(options.platform, bills, serverRecords, checks);
    for (const auto &[key, budgetRow] : budgets) {
        checks.require(
            budgetRow.available() >= Base::Tokens(), key + " has granted more tokens than it has");
    }
    fmt::print("\nspent <= budget, one bill per request, no request lost: {}\n",
        checks.allHold() ? "holds" : "BROKEN");
    return checks.allHold();
}

} // namespace Carawaykeel::Load
