#pragma once

#include <Support/ChildProcess.h>

#include <memory>
#include <string>
#include <vector>

namespace Carawaykeel::Tests {

/// Three built daemons with the product's own interface, as processes, and the built operators'
/// tool. The model service "assistant" and the plain service "booking" have one server each.
class FleetProcesses
{
public:
    static constexpr auto CallerKey = "key-of-the-only-caller";

    /// Addresses are IP numbers and ports.
    FleetProcesses(const std::string &platformAddress, const std::string &assistantAddress,
        const std::string &bookingAddress);
    ~FleetProcesses();

    FleetProcesses(const FleetProcesses &) = delete;
    FleetProcesses &operator=(const FleetProcesses &) = delete;

    /// Returns the address of the first instance for callers.
    const std::string &callerAddress() const { return m_instances.front().callerAddress; }

    /// Declares the services with the operators' tool. Returns the tool's exit code.
    int declare(const std::string &operation);
    /// Declares the services until that succeeds. Returns false if it does not within some seconds.
    bool waitUntilDeclared();

private:
    struct Instance
    {
        std::string callerAddress;
        std::string operatorAddress;
        std::string gossipAddress;
        std::unique_ptr<ChildProcess> daemon = nullptr;
    };

    std::string writeSettings(std::size_t number, const std::string &platformAddress) const;

    const std::string m_folder;
    std::vector<Instance> m_instances;
};

/// Runs the operators' tool against an instance at an address. Returns its exit code.
int runControlTool(const std::string &operatorAddress, const std::string &keyFile,
    const std::vector<std::string> &command);

/// Creates an empty folder for the files of one test.
std::string makeTemporaryFolder();

} // namespace Carawaykeel::Tests
