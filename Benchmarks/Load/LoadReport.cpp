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

/// What the back ends really did.
struct Oracle
{
    /// Tokens by reservation, GRANT:NUMBER.
    std::map<std::string, std::int64_t> tokens;
    std::map<std::string, int> bookings;
};

Oracle askOracles(const std::string &servers)
{
    Oracle oracle;
    std::ifstream stream(servers);
    std::string name;
    std::string service;
    std::string address;
    while (stream >> name >> service >> address) {
        const auto object = get(address, "/oracle");
        if (object->isObject("attempts")) {
            const auto attempts = object->getObject("attempts");
            for (const auto &id : attempts->getNames())
                oracle.tokens[id.substr(0, id.rfind(':'))] += attempts->getValue<std::int64_t>(id);
        } else {
            const auto runs = object->getObject("runs");
            for (const auto &key : runs->getNames())
                oracle.bookings[key] += runs->getValue<int>(key);
        }
    }
    return oracle;
}

/// Collects broken promises.
class Findings
{
public:
    void require(bool condition, const std::string &what)
    {
        if (condition)
            return;
        m_isGood = false;
        fmt::print("BROKEN: {}\n", what);
    }
    bool isGood() const { return m_isGood; }

private:
    bool m_isGood = true;
};

void printLatencies(const std::vector<LoadRecord> &records)
{
    fmt::print("\n{:<12} {:>7} {:>7} {:>8} {:>9} {:>10} {:>10} {:>10}\n", "kind", "asked", "whole",
        "refused", "uncertain", "p50 ms", "p95 ms", "p99 ms");
    for (std::size_t kind = 0; kind < LoadKindCount; ++kind) {
        std::array<int, 3> ends{};
        std::vector<double> times;
        for (const auto &record : records) {
            if (static_cast<std::size_t>(record.kind) != kind)
                continue;
            ++ends.at(static_cast<std::size_t>(record.end));
            if (record.end == LoadEnd::Whole)
                times.push_back(record.totalMilliseconds);
        }
        std::sort(times.begin(), times.end());
        const auto at = [&](double share) {
            return times.empty()
                ? 0.0
                : times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))];
        };
        fmt::print("{:<12} {:>7} {:>7} {:>8} {:>9} {:>10.1f} {:>10.1f} {:>10.1f}\n",
            KindNames.at(kind), ends[0] + ends[1] + ends[2], ends[0], ends[1], ends[2], at(0.5),
            at(0.95), at(0.99));
    }
}

void printTeams(const LoadOptions &options, const std::vector<LoadRecord> &records,
    const std::map<std::string, Billing::Bill> &bills,
    const std::map<std::string, Budget::BudgetRow> &budgets, Findings &findings)
{
    fmt::print("\n{:<16} {:>10} {:>8} {:>8} {:>8}  {}\n", "team", "budget", "spent", "bills",
        "refused", "why");
    for (const auto &team : options.teams) {
        std::int64_t spent = 0;
        int count = 0;
        for (const auto &[key, bill] : bills) {
            if (bill.team.text() != team)
                continue;
            spent += bill.tokens.count();
            ++count;
        }
        std::map<std::string, int> why;
        int refused = 0;
        for (const auto &record : records) {
            if (record.team != team || record.end != LoadEnd::Refused)
                continue;
            ++refused;
            ++why[record.refusal];
        }
        std::string reasons;
        for (const auto &[kind, n] : why)
            reasons += fmt::format("{} {} ", n, kind);
        const auto it = budgets.find("budget/" + team);
        const auto toppedUp = it == budgets.end() ? 0 : it->second.toppedUp.count();
        fmt::print("{:<16} {:>10} {:>8} {:>8} {:>8}  {}\n", team, toppedUp, spent, count, refused,
            reasons);
        findings.require(
            spent <= toppedUp, fmt::format("{} spent {} of {}", team, spent, toppedUp));
    }
}

void checkRequests(const std::vector<LoadRecord> &records,
    const std::map<std::string, Billing::Bill> &bills, const Oracle &oracle, Findings &findings)
{
    for (const auto &record : records) {
        const auto billKey = "bill/" + record.team + "/" + record.key;
        const bool isBilled = bills.contains(billKey);
        // A queue check is a call like any other; it costs what its service declares.
        if (record.end == LoadEnd::Whole)
            findings.require(isBilled, "answered whole, not billed: " + billKey);
        if (record.end == LoadEnd::Refused)
            findings.require(!isBilled, "told not run, but billed: " + billKey);
        findings.require(!record.isForeign, "a foreign answer: " + billKey);
        const auto it = oracle.bookings.find(record.key);
        const auto runs = it == oracle.bookings.end() ? 0 : it->second;
        if (record.kind != LoadKind::Booking)
            continue;
        findings.require(runs <= 1, fmt::format("booking {} ran {} times", record.key, runs));
        findings.require(record.end != LoadEnd::Whole || runs == 1,
            "a booking was confirmed and not made: " + record.key);
        findings.require(record.end != LoadEnd::Refused || runs == 0,
            "a booking was refused and made: " + record.key);
    }
}

void checkEngines(const std::string &platform, const std::map<std::string, Billing::Bill> &bills,
    const Oracle &oracle, Findings &findings)
{
    std::map<std::string, std::int64_t> billed;
    for (const auto &[key, bill] : bills)
        billed[fmt::format("{}:{}", bill.grant.text(), bill.reservation)] += bill.tokens.count();
    const auto house = readRows<Billing::Bill>(platform, "house/");
    for (const auto &[key, bill] : house)
        billed[fmt::format("{}:{}", bill.grant.text(), bill.reservation)] += bill.tokens.count();
    const auto losses = readRows<Budget::GrantRow>(platform, "loss/");
    std::int64_t produced = 0;
    for (const auto &[reservation, tokens] : oracle.tokens) {
        produced += tokens;
        const auto grant = reservation.substr(0, reservation.rfind(':'));
        if (losses.contains("loss/" + grant))
            continue;
        const auto it = billed.find(reservation);
        findings.require(it != billed.end() && it->second >= tokens,
            fmt::format("{} produced {}, billed {}", reservation, tokens,
                it == billed.end() ? -1 : it->second));
    }
    fmt::print(
        "\nengines produced {} tokens; {} second runs borne by the house; {} grants written off\n",
        produced, house.size(), losses.size());
}

} // namespace

bool reportAndCheck(const LoadOptions &options, const std::vector<LoadRecord> &records)
{
    Findings findings;
    const auto bills = readRows<Billing::Bill>(options.platform, "bill/");
    const auto budgets = readRows<Budget::BudgetRow>(options.platform, "budget/");
    const auto oracle = askOracles(options.servers);
    printLatencies(records);
    printTeams(options, records, bills, budgets, findings);
    checkRequests(records, bills, oracle, findings);
    checkEngines(options.platform, bills, oracle, findings);
    for (const auto &[key, books] : budgets)
        findings.require(books.available() >= Base::Tokens(), key + " grants out more than it has");
    fmt::print("\nspent <= budget, one bill per request, no request lost: {}\n",
        findings.isGood() ? "holds" : "BROKEN");
    return findings.isGood();
}

} // namespace Carawaykeel::Load
