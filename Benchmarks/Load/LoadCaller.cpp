#include "LoadCaller.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <algorithm>
#include <fmt/core.h>
#include <thread>

namespace Carawaykeel::Load {

namespace {

constexpr int MaxAttempts = 12;
constexpr std::chrono::milliseconds RetryDelay{150};
const Poco::Timespan Timeout(20, 0);
constexpr int Ok = 200;

double elapsedMilliseconds(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
        .count();
}

Poco::JSON::Object::Ptr parse(const std::string &text)
{
    try {
        Poco::JSON::Parser parser;
        return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
    } catch (const std::exception &) {
        return {};
    }
}

} // namespace

LoadCaller::LoadCaller(const LoadOptions &options, int number)
    : m_options(options)
    , m_team(options.teams[static_cast<std::size_t>(number) % options.teams.size()])
    , m_random(options.seed * 1'000 + static_cast<std::uint64_t>(number))
    , m_number(number)
{
}

std::vector<LoadRecord> LoadCaller::run(std::chrono::steady_clock::time_point until)
{
    std::vector<LoadRecord> records;
    while (std::chrono::steady_clock::now() < until) {
        records.push_back(sendNextRequest());
        const auto thinkTime =
            std::uniform_int_distribution<int>(0, m_options.maxThinkMilliseconds)(m_random);
        std::this_thread::sleep_for(std::chrono::milliseconds(thinkTime));
    }
    return records;
}

void LoadCaller::fetchEntry()
{
    auto addresses = m_options.entryAddresses;
    std::shuffle(addresses.begin(), addresses.end(), m_random);
    for (const auto &address : addresses) {
        try {
            Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
            session.setTimeout(Poco::Timespan(1, 0));
            Poco::Net::HTTPRequest request("GET", "/v1/entry", Poco::Net::HTTPMessage::HTTP_1_1);
            request.set("Authorization", "Bearer " + m_options.keyPrefix + m_team);
            session.sendRequest(request);
            Poco::Net::HTTPResponse response;
            std::string body;
            Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
            const auto entry = parse(body);
            if (response.getStatus() != Ok || entry.isNull()
                || entry->getArray("addresses")->size() == 0)
                continue;
            m_addresses.clear();
            for (const auto &item : *entry->getArray("addresses")) {
                m_addresses.push_back(
                    item.extract<Poco::JSON::Object::Ptr>()->getValue<std::string>("url").substr(
                        std::string("http://").size()));
            }
            m_issuedRequestIds.clear();
            for (const auto &id : *entry->getArray("request_ids"))
                m_issuedRequestIds.push_back(id.convert<std::string>());
            m_issuerAddress = entry->getValue<std::string>("request_ids_at");
            m_entryExpiresAt = std::chrono::steady_clock::now()
                + std::chrono::milliseconds(entry->getValue<int>("keep_ms"));
            return;
        } catch (const Poco::Exception &) {
            // Tries the next address.
        }
    }
}

std::string LoadCaller::nextRequestKey(LoadKind kind)
{
    const bool isIssued =
        kind == LoadKind::Booking && !m_issuedRequestIds.empty() && m_requestCount % 2 == 0;
    if (!isIssued)
        return fmt::format("load-{}-{}-{}", m_options.seed, m_number, m_requestCount);
    auto id = m_issuedRequestIds.back();
    m_issuedRequestIds.pop_back();
    return id;
}

LoadRecord LoadCaller::sendNextRequest()
{
    if (m_addresses.empty() || std::chrono::steady_clock::now() >= m_entryExpiresAt)
        fetchEntry();
    ++m_requestCount;
    LoadRecord record;
    record.team = m_team;
    record.kind = static_cast<LoadKind>(std::discrete_distribution<int>({2, 3, 2, 3})(m_random));
    record.key = nextRequestKey(record.kind);
    const bool isIssued = record.key.starts_with("ck~");
    const auto marker = fmt::format("marker{}x{}", m_number, m_requestCount);
    const auto start = std::chrono::steady_clock::now();
    for (; record.attempts < MaxAttempts; ++record.attempts) {
        if (m_addresses.empty() || (record.attempts > 0 && record.attempts % 2 == 0))
            fetchEntry();
        if (m_addresses.empty())
            continue;
        // The first attempt with an issued request id goes to its issuer: another instance would
        // need the issuer's permission to run the request.
        const auto &address = isIssued && record.attempts == 0
            ? m_issuerAddress
            : m_addresses[static_cast<std::size_t>(record.attempts) % m_addresses.size()];
        const auto result = sendAttempt(record, address, marker);
        record.firstByteMilliseconds = result.firstByteMilliseconds;
        if (evaluateAttempt(record, result, marker))
            break;
        std::this_thread::sleep_for(RetryDelay);
    }
    record.totalMilliseconds = elapsedMilliseconds(start);
    return record;
}

LoadCaller::AttemptResult LoadCaller::sendAttempt(
    const LoadRecord &record, const std::string &address, const std::string &marker)
{
    AttemptResult result;
    const auto start = std::chrono::steady_clock::now();
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
        session.setTimeout(Timeout);
        const bool isModel = record.kind == LoadKind::Report || record.kind == LoadKind::Tag;
        const auto path = isModel
            ? std::string("/v1/chat/completions")
            : (record.kind == LoadKind::Booking ? m_options.bookingPath : m_options.queuePath);
        std::string body;
        if (isModel) {
            const bool isReport = record.kind == LoadKind::Report;
            body = fmt::format(
                R"({{"model":"{}","stream":{},"max_tokens":{},"messages":[{{"role":"user","content":"please write {}"}}]}})",
                m_options.model, isReport ? "true" : "false",
                isReport ? m_options.responseTokens : 4, marker);
        }
        Poco::Net::HTTPRequest request(record.kind == LoadKind::QueueCheck ? "GET" : "POST", path,
            Poco::Net::HTTPMessage::HTTP_1_1);
        request.set("Authorization", "Bearer " + m_options.keyPrefix + m_team);
        request.set("Idempotency-Key", record.key);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body << std::flush;
        Poco::Net::HTTPResponse response;
        auto &stream = session.receiveResponse(response);
        stream.peek();
        result.firstByteMilliseconds = elapsedMilliseconds(start);
        Poco::StreamCopier::copyToString(stream, result.body);
        result.status = response.getStatus();
        const bool isStream = record.kind == LoadKind::Report && result.status == Ok;
        result.isComplete = isStream
            ? result.body.find("data: [DONE]") != std::string::npos
            : static_cast<std::size_t>(response.getContentLength()) == result.body.size();
    } catch (const Poco::Exception &) {
        result.isComplete = false;
    }
    return result;
}

bool LoadCaller::evaluateAttempt(
    LoadRecord &record, const AttemptResult &result, const std::string &marker)
{
    if (result.isComplete && result.status == Ok) {
        record.outcome = LoadOutcome::Complete;
        // The stand-in server repeats the prompt in a complete response.
        record.isMismatched =
            record.kind == LoadKind::Tag && result.body.find(marker) == std::string::npos;
        return true;
    }
    const auto object = result.isComplete ? parse(result.body) : Poco::JSON::Object::Ptr();
    const auto error = object.isNull() ? object : object->getObject("error");
    if (error.isNull()) {
        record.outcome = LoadOutcome::Uncertain;
        return false;
    }
    record.refusal = error->optValue<std::string>("kind", "");
    const bool isNotRun = error->optValue<std::string>("ran", "maybe") == "no";
    // An earlier attempt may have run even if a later one reports that it did not run.
    const bool wasUncertain = record.attempts > 0 && record.outcome == LoadOutcome::Uncertain;
    record.outcome = isNotRun && !wasUncertain ? LoadOutcome::Refused : LoadOutcome::Uncertain;
    const bool isFinal = isNotRun && error->optValue<int>("retry_after_ms", 0) == 0;
    return isFinal;
}

} // namespace Carawaykeel::Load
