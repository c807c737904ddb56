#include <Carawaykeel/Adapters/PlatformClient.h>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/URI.h>
#include <sstream>
#include <utility>

namespace Carawaykeel::Adapters {

namespace {

constexpr std::size_t QueueLimit = 20'000;
constexpr int Ok = 200;
constexpr int Conflict = 409;

std::string stringify(const Poco::JSON::Object &object)
{
    std::ostringstream stream;
    object.stringify(stream);
    return stream.str();
}

Poco::JSON::Object::Ptr parseObject(const std::string &body)
{
    Poco::JSON::Parser parser;
    return parser.parse(body).extract<Poco::JSON::Object::Ptr>();
}

std::optional<Platform::Row> readRow(const Poco::JSON::Array::Ptr &array, std::size_t n)
{
    const auto object = array->getObject(static_cast<unsigned>(n));
    if (object.isNull())
        return std::nullopt;
    return Platform::Row{object->getValue<std::string>("key"),
        object->getValue<std::string>("value"), object->getValue<Poco::UInt64>("version")};
}

Platform::VmState parseState(const std::string &word)
{
    if (word == "gone")
        return Platform::VmState::Gone;
    return word == "leaving" ? Platform::VmState::Leaving : Platform::VmState::Live;
}

std::vector<HttpSession> makeSessions(const PlatformSettings &settings)
{
    std::vector<HttpSession> sessions;
    for (int n = 0; n < settings.connections; ++n)
        sessions.emplace_back(settings.address);
    return sessions;
}

} // namespace

PlatformClient::PlatformClient(
    const PlatformSettings &settings, std::string clientName, Base::Scheduler &scheduler)
    : m_settings(settings)
    , m_clientName(std::move(clientName))
    , m_scheduler(scheduler)
    , m_sessions(makeSessions(settings))
    , m_pool(static_cast<std::size_t>(settings.connections), QueueLimit)
{
}

template <typename Reply>
void PlatformClient::run(
    std::function<Reply(std::size_t)> call, std::function<void(Reply)> callback)
{
    const bool isQueued =
        m_pool.tryRun([this, call = std::move(call), callback](std::size_t thread) {
            Reply reply;
            try {
                reply = call(thread);
            } catch (const std::exception &) {
                // A malformed reply is handled like a missing one.
                ++m_failures;
                reply = Reply();
            }
            m_scheduler.schedule(
                Base::Milliseconds(), [callback, reply = std::move(reply)] { callback(reply); });
        });
    if (!isQueued)
        m_scheduler.schedule(Base::Milliseconds(), [callback] { callback(Reply()); });
}

std::optional<HttpReply> PlatformClient::exchange(
    std::size_t thread, const std::string &method, const std::string &path, const std::string &body)
{
    Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
    request.set("Authorization", "Bearer " + m_settings.key);
    request.set("X-Client", m_clientName);
    request.setContentType("application/json");
    auto reply = m_sessions.at(thread).tryExchange(request, body, m_settings.timeout);
    if (!reply)
        ++m_failures;
    return reply;
}

void PlatformClient::readRows(
    std::vector<std::string> keys, std::function<void(Platform::RowsReply)> callback)
{
    ++m_reads;
    Poco::JSON::Array::Ptr list = new Poco::JSON::Array();
    for (const auto &key : keys)
        list->add(key);
    Poco::JSON::Object object;
    object.set("keys", list);
    run<Platform::RowsReply>(
        [this, body = stringify(object), count = keys.size()](std::size_t thread) {
            Platform::RowsReply reply;
            const auto http = exchange(thread, "POST", "/table/read", body);
            if (!http || http->status != Ok)
                return reply;
            const auto rows = parseObject(http->body)->getArray("rows");
            if (rows.isNull() || rows->size() != count)
                return reply;
            for (std::size_t n = 0; n < count; ++n)
                reply.rows.push_back(readRow(rows, n));
            reply.isReachable = true;
            return reply;
        },
        std::move(callback));
}

void PlatformClient::readRange(
    std::string prefix, std::function<void(Platform::RangeReply)> callback)
{
    ++m_reads;
    std::string encoded;
    Poco::URI::encode(prefix, "/&?=#", encoded);
    run<Platform::RangeReply>(
        [this, path = "/table/range?prefix=" + encoded](std::size_t thread) {
            Platform::RangeReply reply;
            const auto http = exchange(thread, "GET", path, "");
            if (!http || http->status != Ok)
                return reply;
            const auto rows = parseObject(http->body)->getArray("rows");
            for (std::size_t n = 0; n < rows->size(); ++n) {
                if (auto row = readRow(rows, n))
                    reply.rows.push_back(std::move(*row));
            }
            reply.isReachable = true;
            return reply;
        },
        std::move(callback));
}

void PlatformClient::commit(
    Platform::Transaction transaction, std::function<void(Platform::CommitReply)> callback)
{
    ++m_writes;
    Poco::JSON::Array::Ptr writes = new Poco::JSON::Array();
    for (const auto &write : transaction.writes) {
        Poco::JSON::Object::Ptr object = new Poco::JSON::Object();
        object->set("key", write.key);
        object->set("value", write.value ? Poco::Dynamic::Var(*write.value) : Poco::Dynamic::Var());
        object->set("expected", static_cast<Poco::UInt64>(write.expectedVersion));
        writes->add(object);
    }
    Poco::JSON::Object object;
    object.set("writes", writes);
    run<Platform::CommitReply>(
        [this, body = stringify(object)](std::size_t thread) {
            Platform::CommitReply reply;
            const auto http = exchange(thread, "POST", "/table/commit", body);
            if (!http)
                return reply;
            if (http->status == Conflict)
                reply.outcome = Platform::CommitOutcome::Conflict;
            if (http->status != Ok)
                return reply;
            reply.version = parseObject(http->body)->getValue<Poco::UInt64>("version");
            reply.outcome = Platform::CommitOutcome::Committed;
            return reply;
        },
        std::move(callback));
}

void PlatformClient::readVms(std::function<void(Platform::VmListReply)> callback)
{
    ++m_reads;
    run<Platform::VmListReply>(
        [this](std::size_t thread) {
            Platform::VmListReply reply;
            const auto http = exchange(thread, "GET", "/vms", "");
            if (!http || http->status != Ok)
                return reply;
            const auto vms = parseObject(http->body)->getArray("vms");
            for (std::size_t n = 0; n < vms->size(); ++n) {
                const auto object = vms->getObject(static_cast<unsigned>(n));
                reply.entries.push_back({object->optValue<std::string>("vm", ""),
                    object->optValue<std::string>("server", ""),
                    parseState(object->getValue<std::string>("state"))});
            }
            reply.isReachable = true;
            return reply;
        },
        std::move(callback));
}

} // namespace Carawaykeel::Adapters
