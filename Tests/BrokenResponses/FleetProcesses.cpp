#include "FleetProcesses.h"

#include <Carawaykeel/Adapters/HttpResponses.h>

#include <Support/NeighbourInstance.h>

#include <chrono>
#include <filesystem>
#include <fmt/core.h>
#include <fstream>
#include <system_error>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

/// A grant of tokens needs witnesses among the other instances.
constexpr std::size_t InstanceCount = 3;
constexpr int MaxAttempts = 100;
constexpr std::chrono::milliseconds AttemptDelay{100};

constexpr auto Settings = R"({{"name":"entry-{0}","data_centre":"dc-{0}",
"callers":{{"address":"{1}"}},"operators":{{"address":"{2}","key_file":"{7}/key"}},
"peers":{{"address":"{3}","gossip_address":"{4}","seeds":["{5}"],"key_file":"{7}/key"}},
"platform":{{"address":"{6}","key_file":"{7}/key","believe_vm_list":true}},
"limits":{{"backend_timeout_ms":500}}}})";

constexpr auto Rules = R"({{
"budgets":[{{"id":"budget","top_ups":[{{"id":"first","tokens":900000000}}]}}],
"teams":[{{"id":"team","budget":"budget","priority":"normal","key_sha256":["{}"]}}],
"services":[{{"name":"assistant","kind":"models","models":["model"],"capacity_per_server":48,
"default_max_tokens":64,"least_max_tokens":32}},
{{"name":"booking","kind":"plain","capacity_per_server":64,"tokens_per_request":1}}],
"leaving":[],"evacuated_data_centres":[]}})";

constexpr auto Inventory = R"({{"vms":[
{{"name":"entry-1","role":"entry","data_centre":"dc-1"}},
{{"name":"entry-2","role":"entry","data_centre":"dc-2"}},
{{"name":"entry-3","role":"entry","data_centre":"dc-3"}},
{{"name":"assistant-1","role":"server","service":"assistant","data_centre":"dc-1","address":"{}"}},
{{"name":"booking-1","role":"server","service":"booking","data_centre":"dc-1","address":"{}"}}]}})";

void writeFile(const std::string &file, const std::string &text)
{
    std::ofstream(file) << text;
}

} // namespace

std::string makeTemporaryFolder()
{
    static int number = 0;
    const auto folder = std::filesystem::temp_directory_path()
        / fmt::format("broken-responses-{}-{}", getpid(), ++number);
    std::filesystem::create_directories(folder);
    return folder;
}

int runControlTool(const std::string &operatorAddress, const std::string &keyFile,
    const std::vector<std::string> &command)
{
    std::vector<std::string> arguments{"--operator", operatorAddress, "--key-file", keyFile};
    arguments.insert(arguments.end(), command.begin(), command.end());
    return ChildProcess(CARAWAYKEELCTL, arguments).wait();
}

FleetProcesses::FleetProcesses(const std::string &platformAddress,
    const std::string &assistantAddress, const std::string &bookingAddress)
    : m_folder(makeTemporaryFolder())
{
    writeFile(m_folder + "/key", "key-of-all-interfaces");
    writeFile(m_folder + "/rules.json", fmt::format(Rules, Adapters::sha256Hex(CallerKey)));
    writeFile(
        m_folder + "/inventory.json", fmt::format(Inventory, assistantAddress, bookingAddress));
    for (std::size_t n = 0; n < InstanceCount; ++n) {
        m_instances.push_back(
            {makeLoopbackAddress(), makeLoopbackAddress(), makeLoopbackAddress()});
        m_instances.back().daemon = std::make_unique<ChildProcess>(CARAWAYKEELD,
            std::vector<std::string>{"--settings", writeSettings(n, platformAddress)});
    }
}

FleetProcesses::~FleetProcesses()
{
    m_instances.clear();
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

std::string FleetProcesses::writeSettings(
    std::size_t number, const std::string &platformAddress) const
{
    const auto &instance = m_instances.at(number);
    auto file = fmt::format("{}/settings-{}.json", m_folder, number);
    writeFile(file,
        fmt::format(Settings, number + 1, instance.callerAddress, instance.operatorAddress,
            makeLoopbackAddress(), instance.gossipAddress, m_instances.front().gossipAddress,
            platformAddress, m_folder));
    return file;
}

int FleetProcesses::declare(const std::string &operation)
{
    return runControlTool(m_instances.front().operatorAddress, m_folder + "/key",
        {"apply", m_folder, "--operation", operation, "--base-version", "0"});
}

bool FleetProcesses::waitUntilDeclared()
{
    for (int n = 0; n < MaxAttempts; ++n) {
        if (declare("first") == 0)
            return true;
        std::this_thread::sleep_for(AttemptDelay);
    }
    return false;
}

} // namespace Carawaykeel::Tests
