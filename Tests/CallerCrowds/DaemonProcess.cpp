#include "DaemonProcess.h"

#include <Support/NeighbourInstance.h>
#include <Support/RouterHarness.h>
#include <platform/WireNames.h>

#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <array>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fmt/core.h>
#include <fstream>
#include <iterator>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <system_error>
#include <thread>
#include <unistd.h>

namespace Carawaykeel::Tests {

namespace {

namespace Names = CarawaykeelPlatform::WireNames;

constexpr std::size_t BytesPerKilobyte = 1'024;
constexpr std::chrono::milliseconds PollDelay{20};
/// An ordinary caller gives up after this time. Limits of the configuration end stalled requests
/// after 18 s, so a shorter time shows whether callers are served while a crowd stays open.
constexpr std::chrono::seconds PatienceOfCallers{10};
constexpr std::size_t LargeResponseBytes = 1'048'576;

/// Limits as declared; docs/design/router-under-load.md names them.
constexpr auto Configuration = R"({"version":1,"routes":[
{"name":"u","host":"a.example","prefix":"/unsafe/","kind":"unsafe","timeoutMs":4000,
"service":"one","public":true},
{"name":"s","host":"a.example","prefix":"/stream/","kind":"stream","timeoutMs":15000,
"service":"one","public":true}],"services":[{"name":"one"}],
"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

std::string encodeBase64(const std::string &text)
{
    std::ostringstream stream;
    Poco::Base64Encoder encoder(stream);
    encoder.rdbuf()->setLineLength(0);
    encoder << text;
    encoder.close();
    return stream.str();
}

ScriptedResponse respond(const std::string &fields, const std::string &body)
{
    return {fmt::format(
        "HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}", fields, body.size(), body)};
}

/// Answers "/unsafe/large" with a megabyte, streams with events without end, and anything else with
/// a few bytes.
ScriptedResponse serverScript(const ReceivedRequest &request, int)
{
    const auto fields =
        fmt::format("X-Server-Stamp: s\r\nX-Request-Id: {}\r\n", request.field(Names::RequestId));
    if (request.head.find("/stream/") != std::string::npos) {
        std::string events;
        for (int n = 0; n < 100; ++n)
            events += "data: " + std::string(600, 'e') + "\n\n";
        return {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
                + fields + "\r\n",
            ScriptedResponse::Then::Flood, events};
    }
    if (request.head.find("/unsafe/large") != std::string::npos)
        return respond(fields, std::string(LargeResponseBytes, 'x'));
    return respond(fields, "served");
}

struct StandIns
{
    ScriptedServer server{serverScript};
    ScriptedServer table{makeTableScript(server.address())};
};

StandIns &standIns()
{
    static StandIns instance;
    return instance;
}

std::string ordinaryRequest(CallerAddress address)
{
    switch (address) {
    case CallerAddress::Requests:
        return "POST /unsafe/small HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: ordinary\r\n"
               "Content-Length: 5\r\n\r\nhello";
    case CallerAddress::Readiness:
        return fmt::format("GET {} HTTP/1.1\r\nHost: a\r\n\r\n", Names::ReadyPath);
    case CallerAddress::Entry:
        return fmt::format(
            "GET {}?name=a.example&zone=dc HTTP/1.1\r\nHost: a\r\n\r\n", Names::ResolvePath);
    case CallerAddress::Metrics:
        break;
    }
    return "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n";
}

} // namespace

ScriptedServer::Script makeTableScript(const std::string &serverAddress)
{
    return [serverAddress](const ReceivedRequest &request, int) -> ScriptedResponse {
        const auto line = request.head.substr(0, request.head.find('\r'));
        const auto has = [&line](const std::string &text) {
            return line.find(text) != std::string::npos;
        };
        std::string row;
        if (has(Names::FeedPath)) {
            // The table service holds a read of a feed until a row changes.
            std::this_thread::sleep_for(std::chrono::milliseconds(400));
        } else if (!has(Names::RowsPath)) {
            return {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"};
        } else if (has(fmt::format("table={}&", Names::OperatorTable))) {
            row = fmt::format(R"({{"key":"{}","value":"{}","ver":1}})", Names::ConfigurationKey,
                encodeBase64(Configuration));
        } else if (has(fmt::format("table={}&", Names::ServerTable))) {
            const auto entry = fmt::format(
                R"({{"service":"one","address":"{}","zone":"dc","slots":64,"state":"ready"}})",
                serverAddress);
            row = fmt::format(R"({{"key":"server","value":"{}","ver":1}})", encodeBase64(entry));
        }
        return respond("", fmt::format(R"({{"rows":[{}],"ver":1,"nowMs":1}})", row));
    };
}

DaemonProcess::DaemonProcess(const DaemonLimits &limits)
    : DaemonProcess(limits, standIns().table.address())
{
}

DaemonProcess::DaemonProcess(const DaemonLimits &limits, const std::string &tableAddress)
    : m_callerAddress(makeLoopbackAddress())
    , m_readinessAddress(makeLoopbackAddress())
    , m_entryAddress(makeLoopbackAddress())
    , m_metricsAddress(makeLoopbackAddress())
{
    m_settingsFile = writeSettings(limits, tableAddress);
    start(limits);
}

DaemonProcess::~DaemonProcess()
{
    if (isAlive()) {
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }
    std::error_code ec;
    std::filesystem::remove(m_settingsFile, ec);
}

std::string DaemonProcess::writeSettings(
    const DaemonLimits &limits, const std::string &tableAddress) const
{
    static int number = 0;
    const auto file = std::filesystem::temp_directory_path()
        / fmt::format("caller-crowds-{}-{}.json", getpid(), ++number);
    std::ofstream stream(file);
    stream << fmt::format(R"({{"name":"self","data_centre":"dc",
"callers":{{"address":"{}","ready_address":"{}","entry_address":"{}"}},
"vm":{{"memory_mb":{}{}}},"metrics_address":"{}","table_service":{{"address":"{}"}},
"peers":{{"address":"{}","gossip_address":"{}","seeds":[],"key":"key-of-caller-crowds"}}}})",
        m_callerAddress, m_readinessAddress, m_entryAddress, limits.memoryMegabytes,
        limits.vmSettings, m_metricsAddress, tableAddress, makeLoopbackAddress(),
        makeLoopbackAddress());
    return file;
}

void DaemonProcess::start(const DaemonLimits &limits)
{
    m_process = fork();
    if (m_process != 0)
        return;
    // The daemon must not outlive a test program that is ended early.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const rlimit descriptors{limits.descriptors, limits.descriptors};
    setrlimit(RLIMIT_NOFILE, &descriptors);
    const int log = open("/dev/null", O_WRONLY);
    dup2(log, STDOUT_FILENO);
    // Descriptors of this program would count as the daemon's.
    for (int n = STDERR_FILENO + 1; n < 1'024; ++n)
        close(n);
    execl(CARAWAYKEELD, CARAWAYKEELD, "--settings", m_settingsFile.c_str(), "route", nullptr);
    _exit(1);
}

std::string DaemonProcess::address(CallerAddress address) const
{
    switch (address) {
    case CallerAddress::Requests:
        return m_callerAddress;
    case CallerAddress::Readiness:
        return m_readinessAddress;
    case CallerAddress::Entry:
        return m_entryAddress;
    case CallerAddress::Metrics:
        break;
    }
    return m_metricsAddress;
}

bool DaemonProcess::isServing(CallerAddress target)
{
    const auto request = ordinaryRequest(target);
    const auto endsAt = std::chrono::steady_clock::now() + PatienceOfCallers;
    while (isAlive() && std::chrono::steady_clock::now() < endsAt) {
        try {
            Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address(target))};
            socket.setReceiveTimeout(Poco::Timespan(2, 0));
            socket.sendBytes(request.data(), static_cast<int>(request.size()));
            const auto response = RouterHarness::readResponse(socket);
            if (response.isComplete && response.status == Poco::Net::HTTPResponse::HTTP_OK)
                return true;
        } catch (const Poco::Exception &) {
            // Refused or closed: an ordinary caller tries again.
        }
        std::this_thread::sleep_for(PollDelay);
    }
    return false;
}

bool DaemonProcess::isAlive()
{
    if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) != 0)
        m_process = -1;
    return m_process > 0;
}

std::size_t DaemonProcess::peakResidentBytes() const
{
    std::ifstream status(fmt::format("/proc/{}/status", m_process));
    std::string word;
    while (status >> word) {
        std::size_t kilobytes = 0;
        if (word == "VmHWM:" && status >> kilobytes)
            return kilobytes * BytesPerKilobyte;
    }
    return 0;
}

std::size_t DaemonProcess::openDescriptors() const
{
    std::error_code ec;
    const std::filesystem::directory_iterator entries(fmt::format("/proc/{}/fd", m_process), ec);
    return ec ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace Carawaykeel::Tests
