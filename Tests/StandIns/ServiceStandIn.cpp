// Stands in for a plain service: bookings that take a slot each time they are run.
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
        const auto body = readAll(request.stream());
        if (path == "/faults")
            return setFaults(parse(body), response);
        if (path == "/oracle")
            return oracle(response);
        const std::lock_guard lock(m_mutex);
        response.set("X-Attempt-Id", request.get("X-Attempt-Id", ""));
        Poco::JSON::Object object;
        object.set("taken", m_taken);
        if (request.getMethod() != "GET") {
            ++m_runs[request.get("Idempotency-Key", "none")];
            object.set("slot", ++m_taken);
        }
        if (m_mode == "silent") {
            // The booking is taken, and the caller never hears of it.
            response.setContentLength64(1'000);
            response.setKeepAlive(false);
            response.send() << "{" << std::flush;
            return;
        }
        answer(response, 200, object);
    }

private:
    void setFaults(const Poco::JSON::Object::Ptr &faults, Response &response)
    {
        const std::lock_guard lock(m_mutex);
        m_mode = faults->optValue<std::string>("mode", m_mode);
        answer(response, 200, Poco::JSON::Object());
    }

    void oracle(Response &response)
    {
        const std::lock_guard lock(m_mutex);
        Poco::JSON::Object runs;
        for (const auto &[key, count] : m_runs)
            runs.set(key, count);
        Poco::JSON::Object object;
        object.set("runs", runs);
        object.set("taken", m_taken);
        answer(response, 200, object);
    }

    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    int m_taken = 0;
    std::string m_mode = "normal";
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("standin-service: a booking service.");
    std::string address;
    app.add_option("--listen", address, "IP number and port")->required();
    CLI11_PARSE(app, argc, argv);
    ServiceStandIn service;
    return serve(
        address, [&](Request &request, Response &response) { service.handle(request, response); });
}
