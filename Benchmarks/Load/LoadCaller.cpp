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

constexpr int MostTries = 12;
constexpr std::chrono::milliseconds RetryPause{150};
const Poco::Timespan Timeout(20, 0);
constexpr int Ok = 200;

double since(std::chrono::steady_clock::time_point start)
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
        records.push_back(sendOne());
        const auto think =
            std::uniform_int_distribution<int>(0, m_options.thinkMilliseconds)(m_random);
        std::this_thread::sleep_for(std::chrono::milliseconds(think));
    }
    return records;
}

void LoadCaller::askEntry()
{
    auto known = m_options.entries;
    std::shuffle(known.begin(), known.end(), m_random);
    for (const auto &address : known) {
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
            m_mintedIds.clear();
            for (const auto &id : *entry->getArray("request_ids"))
                m_mintedIds.push_back(id.convert<std::string>());
            m_mintedAt = entry->getValue<std::string>("request_ids_at");
            m_keepUntil = std::chrono::steady_clock::now()
                + std::chrono::milliseconds(entry->getValue<int>("keep_ms"));
            return;
        } catch (const Poco::Exception &) {
            // The next address may answer.
        }
    }
}

std::string LoadCaller::takeKey(LoadKind kind)
{
    const bool isMinted = kind == LoadKind::Booking && !m_mintedIds.empty() && m_requests % 2 == 0;
    if (!isMinted)
        return fmt::format("load-{}-{}-{}", m_options.seed, m_number, m_requests);
    auto id = m_mintedIds.back();
    m_mintedIds.pop_back();
    return id;
}

LoadRecord LoadCaller::sendOne()
{
    if (m_addresses.empty() || std::chrono::steady_clock::now() >= m_keepUntil)
        askEntry();
    ++m_requests;
    LoadRecord record;
    record.team = m_team;
    record.kind = static_cast<LoadKind>(std::discrete_distribution<int>({2, 3, 2, 3})(m_random));
    record.key = takeKey(record.kind);
    const bool isMinted = record.key.starts_with("ck~");
    const auto marker = fmt::format("marker{}x{}", m_number, m_requests);
    const auto start = std::chrono::steady_clock::now();
    for (; record.tries < MostTries; ++record.tries) {
        if (m_addresses.empty() || (record.tries > 0 && record.tries % 2 == 0))
            askEntry();
        if (m_addresses.empty())
            continue;
        // An id that was handed out is best used where it was.
        const auto &address = isMinted && record.tries == 0
            ? m_mintedAt
            : m_addresses[static_cast<std::size_t>(record.tries) % m_addresses.size()];
        const auto reply = send(record, address, marker);
        record.firstMilliseconds = reply.firstMilliseconds;
        if (judge(record, reply, marker))
            break;
        std::this_thread::sleep_for(RetryPause);
    }
    record.totalMilliseconds = since(start);
    return record;
}

LoadCaller::Reply LoadCaller::send(
    const LoadRecord &record, const std::string &address, const std::string &marker)
{
    Reply reply;
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
                m_options.model, isReport ? "true" : "false", isReport ? m_options.answerTokens : 4,
                marker);
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
        reply.firstMilliseconds = since(start);
        Poco::StreamCopier::copyToString(stream, reply.body);
        reply.status = response.getStatus();
        const bool isStream = record.kind == LoadKind::Report && reply.status == Ok;
        reply.isWhole = isStream
            ? reply.body.find("data: [DONE]") != std::string::npos
            : static_cast<std::size_t>(response.getContentLength()) == reply.body.size();
    } catch (const Poco::Exception &) {
        reply.isWhole = false;
    }
    return reply;
}

bool LoadCaller::judge(LoadRecord &record, const Reply &reply, const std::string &marker)
{
    if (reply.isWhole && reply.status == Ok) {
        record.end = LoadEnd::Whole;
        // The stand-in repeats the prompt in a whole answer.
        record.isForeign =
            record.kind == LoadKind::Tag && reply.body.find(marker) == std::string::npos;
        return true;
    }
    const auto object = reply.isWhole ? parse(reply.body) : Poco::JSON::Object::Ptr();
    const auto error = object.isNull() ? object : object->getObject("error");
    if (error.isNull()) {
        record.end = LoadEnd::Uncertain;
        return false;
    }
    record.refusal = error->optValue<std::string>("kind", "");
    const bool isNotRun = error->optValue<std::string>("ran", "maybe") == "no";
    // Once a try may have run, a later "not run" does not undo that.
    const bool wasUncertain = record.tries > 0 && record.end == LoadEnd::Uncertain;
    record.end = isNotRun && !wasUncertain ? LoadEnd::Refused : LoadEnd::Uncertain;
    const bool isFinal = isNotRun && error->optValue<int>("retry_after_ms", 0) == 0;
    return isFinal;
}

} // namespace Carawaykeel::Load
