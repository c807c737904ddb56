// Stub of a plain service: a booking takes a slot each time it runs.
#include "StandInServer.h"

#include <CLI/CLI.hpp>
#include <Poco/JSON/Array.h>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>

namespace {

using namespace StandIns;

class ServiceStandIn
{
public:
    void handle(Request &request, Response &response)
    {
        const auto &path = request.getURI();
        const auto body = readBody(request.stream());
        if (path == "/faults")
            return setFaults(parseObject(body), response);
        if (path == "/oracle")
            return sendRunCounts(response);
        const std::lock_guard lock(m_mutex);
        response.set("X-Attempt-Id", request.get("X-Attempt-Id", ""));
        Poco::JSON::Object object;
        object.set("taken", m_takenSlots);
        if (request.getMethod() != "GET") {
            ++m_runsByKey[request.get("Idempotency-Key", "none")];
            object.set("slot", ++m_takenSlots);
        }
        if (m_mode == "silent") {
            // The booking takes a slot, but its response stays incomplete.
            response.setContentLength64(1'000);
            response.setKeepAlive(false);
            response.send() << "{" << std::flush;
            return;
        }
        sendJson(response, 200, object);
    }

private:
    void setFaults(const Poco::JSON::Object::Ptr &faults, Response &response)
    {
        const std::lock_guard lock(m_mutex);
        m_mode = faults->optValue<std::string>("mode", m_mode);
        sendJson(response, 200, Poco::JSON::Object());
    }

    void sendRunCounts(Response &response)
    {
        const std::lock_guard lock(m_mutex);
        Poco::JSON::Object runs;
        for (const auto &[key, count] : m_runsByKey)
            runs.set(key, count);
        Poco::JSON::Object object;
        object.set("runs", runs);
        object.set("taken", m_takenSlots);
        sendJson(response, 200, object);
    }

    std::mutex m_mutex;
    std::map<std::string, int> m_runsByKey;
    int m_takenSlots = 0;
    std::string m_mode = "normal";
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("standin-service: a stub of a booking service.");
    std::string address;
    app.add_option("--listen", address, "IP number and port")->required();
    CLI11_PARSE(app, argc, argv);
    ServiceStandIn service;
    return serve(
        address, [&](Request &request, Response &response) { service.handle(request, response); });
}
