#pragma once

#include <Support/ScriptedServer.h>

#include <cstddef>
#include <string>
#include <sys/types.h>

namespace Carawaykeel::Tests {

/// What the started process may use.
struct DaemonLimits
{
    int memoryMegabytes = 28;
    /// Limit of the process's descriptors (RLIMIT_NOFILE).
    std::size_t descriptors = 400;
    /// Further members of the object "vm" in the settings, each after a comma.
    std::string vmSettings = {};
};

/// The addresses that callers reach.
enum class CallerAddress { Requests, Readiness, Entry, Metrics };

/// Returns a script of a table service whose tables hold the configuration of DaemonProcess and one
/// server at `serverAddress`; nothing changes.
ScriptedServer::Script makeTableScript(const std::string &serverAddress);

/// The built daemon, started as a process of its own. Its routes "/unsafe/" and "/stream/" of the
/// host "a.example" need no key.
class DaemonProcess
{
public:
    /// Starts the process and does not wait for it. All processes of this constructor use one
    /// stand-in of the table service and one backend server, which live until the program ends.
    explicit DaemonProcess(const DaemonLimits &limits);
    /// As above, with the table service at `tableAddress`.
    DaemonProcess(const DaemonLimits &limits, const std::string &tableAddress);
    ~DaemonProcess();

    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    /// Returns IP number and port.
    std::string address(CallerAddress address) const;

    /// Waits until requests are served. Returns false if they are not within some seconds.
    bool waitUntilReady() { return isServing(CallerAddress::Requests); }
    /// Sends one ordinary request to an address, again after a refusal or a closed connection.
    /// Returns false if none is answered with success within some seconds.
    bool isServing(CallerAddress address);

    /// Returns false once the process has ended.
    bool isAlive();
    /// Largest resident memory since the start, in bytes.
    std::size_t peakResidentBytes() const;
    std::size_t openDescriptors() const;

private:
    std::string writeSettings(const DaemonLimits &limits, const std::string &tableAddress) const;
    void start(const DaemonLimits &limits);

    const std::string m_callerAddress;
    const std::string m_readinessAddress;
    const std::string m_entryAddress;
    const std::string m_metricsAddress;
    std::string m_settingsFile;
    pid_t m_process = -1;
};

} // namespace Carawaykeel::Tests
