// Stub of the platform's table service, object store and VM list, with injected faults.
#include "StandInServer.h"

#include <CLI/CLI.hpp>
#include <Poco/JSON/Array.h>
#include <Poco/URI.h>
#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace {

using namespace StandIns;

struct StoredRow
{
    std::string value;
    Poco::UInt64 version = 0;
};

class PlatformStandIn
{
public:
    void handle(Request &request, Response &response)
    {
        const Poco::URI uri(request.getURI());
        const auto &path = uri.getPath();
        const auto body = readBody(request.stream());
        if (path == "/faults")
            return setFaults(parseObject(body), response);
        if (path == "/stats")
            return sendStats(response);
        const auto client = request.get("X-Client", "");
        std::unique_lock lock(m_mutex);
        const bool isUnavailable = m_isDown || m_blockedClients.contains(client);
        const auto delay = m_delay;
        lock.unlock();
        std::this_thread::sleep_for(delay);
        if (isUnavailable)
            return sendJson(response, 503, Poco::JSON::Object());
        if (path == "/table/read")
            return readRows(parseObject(body), response);
        if (path == "/table/range")
            return readRange(uri, response);
        if (path == "/table/commit")
            return commit(parseObject(body), response);
        if (path == "/vms")
            return handleVms(request, body, response);
        if (path.starts_with("/objects/"))
            return handleObject(request, path, body, response);
        sendJson(response, 404, Poco::JSON::Object());
    }

private:
    void setFaults(const Poco::JSON::Object::Ptr &faults, Response &response)
    {
        const std::lock_guard lock(m_mutex);
        m_isDown = faults->optValue("down", m_isDown);
        m_losesCommitReplies = faults->optValue("lose_answers", m_losesCommitReplies);
        m_delay = std::chrono::milliseconds(
            faults->optValue<int>("delay_ms", static_cast<int>(m_delay.count())));
        if (faults->isArray("cut")) {
            m_blockedClients.clear();
            for (const auto &name : *faults->getArray("cut"))
                m_blockedClients.insert(name.convert<std::string>());
        }
        sendJson(response, 200, Poco::JSON::Object());
    }

    void sendStats(Response &response)
    {
        const std::lock_guard lock(m_mutex);
        Poco::JSON::Object object;
        object.set("reads", m_reads);
        object.set("writes", m_writes);
        object.set("rows", m_rows.size());
        sendJson(response, 200, object);
    }

    static Poco::JSON::Object toJson(const std::string &key, const StoredRow &row)
    {
        Poco::JSON::Object object;
        object.set("key", key);
        object.set("value", row.value);
        object.set("version", row.version);
        return object;
    }

    void readRows(const Poco::JSON::Object::Ptr &request, Response &response)
    {
        Poco::JSON::Array rows;
        {
            const std::lock_guard lock(m_mutex);
            ++m_reads;
            for (const auto &key : *request->getArray("keys")) {
                const auto it = m_rows.find(key.convert<std::string>());
                rows.add(it == m_rows.end() ? Poco::Dynamic::Var()
                                            : Poco::Dynamic::Var(toJson(it->first, it->second)));
            }
        }
        Poco::JSON::Object object;
        object.set("rows", rows);
        sendJson(response, 200, object);
    }

    void readRange(const Poco::URI &uri, Response &response)
    {
        std::string prefix;
        for (const auto &[name, value] : uri.getQueryParameters()) {
            if (name == "prefix")
                prefix = value;
        }
        Poco::JSON::Array rows;
        {
            const std::lock_guard lock(m_mutex);
            ++m_reads;
            for (auto it = m_rows.lower_bound(prefix);
                 it != m_rows.end() && it->first.starts_with(prefix); ++it)
                rows.add(toJson(it->first, it->second));
        }
        Poco::JSON::Object object;
        object.set("rows", rows);
        sendJson(response, 200, object);
    }

    void commit(const Poco::JSON::Object::Ptr &request, Response &response)
    {
        const auto writes = request->getArray("writes");
        Poco::JSON::Object object;
        bool isReplyLost = false;
        {
            const std::lock_guard lock(m_mutex);
            ++m_writes;
            for (std::size_t n = 0; n < writes->size(); ++n) {
                const auto write = writes->getObject(static_cast<unsigned>(n));
                const auto it = m_rows.find(write->getValue<std::string>("key"));
                const auto version = it == m_rows.end() ? 0 : it->second.version;
                if (version != write->getValue<Poco::UInt64>("expected"))
                    return sendJson(response, 409, Poco::JSON::Object());
            }
            const auto version = ++m_version;
            for (std::size_t n = 0; n < writes->size(); ++n) {
                const auto write = writes->getObject(static_cast<unsigned>(n));
                const auto key = write->getValue<std::string>("key");
                if (write->isNull("value")) {
                    m_rows.erase(key);
                } else {
                    m_rows[key] = {write->getValue<std::string>("value"), version};
                }
            }
            object.set("version", version);
            isReplyLost = m_losesCommitReplies;
        }
        sendJson(response, isReplyLost ? 503 : 200, object);
    }

    void handleVms(Request &request, const std::string &body, Response &response)
    {
        const std::lock_guard lock(m_mutex);
        if (request.getMethod() == "PUT")
            m_vms = body;
        sendJson(response, 200, *parseObject(m_vms));
    }

    void handleObject(
        Request &request, const std::string &path, const std::string &body, Response &response)
    {
        const std::lock_guard lock(m_mutex);
        if (request.getMethod() == "PUT")
            m_objects[path] = body;
        const auto it = m_objects.find(path);
        if (it == m_objects.end())
            return sendJson(response, 404, Poco::JSON::Object());
        response.sendBuffer(it->second.data(), it->second.size());
    }

    std::mutex m_mutex;
    std::map<std::string, StoredRow> m_rows;
    std::map<std::string, std::string> m_objects;
    std::string m_vms = R"({"vms":[]})";
    Poco::UInt64 m_version = 0;
    Poco::UInt64 m_reads = 0;
    Poco::UInt64 m_writes = 0;
    bool m_isDown = false;
    bool m_losesCommitReplies = false;
    std::chrono::milliseconds m_delay{0};
    std::set<std::string> m_blockedClients;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app(
        "standin-platform: a stub of the table service, object store and VM list, in memory.");
    std::string address;
    app.add_option("--listen", address, "IP number and port")->required();
    CLI11_PARSE(app, argc, argv);
    PlatformStandIn platform;
    return serve(
        address, [&](Request &request, Response &response) { platform.handle(request, response); });
}
