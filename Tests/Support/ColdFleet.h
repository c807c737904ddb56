#pragma once

#include <Carawaykeel/Ingress/ColdPermitStore.h>
#include <Support/FakeTable.h>
#include <Support/MemoryLogSink.h>
#include <Support/VirtualWorld.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Carawaykeel::Tests {

/// Deliberate defects that the checks must detect.
struct ColdFleetDefects
{
    bool hasNoLimit = false;
    /// Each instance writes its permits to a table of its own.
    bool hasSeparateTables = false;
};

/// Instances and the servers of one service in virtual time. Each server counts the requests that
/// reach it while it is cold. Instances have clocks of their own.
class ColdFleet
{
public:
    static constexpr Base::Milliseconds ColdTime{3'000};
    static constexpr double ColdRequestsPerSecond = 10;
    /// The policy's bound with the default factor and slack.
    static constexpr int MaxRequestsPerSecond = 20;

    ColdFleet(VirtualWorld &world, int servers, const ColdFleetDefects &defects = {});

    /// Starts an instance, or another incarnation of it.
    void join(const std::string &name);
    void kill(const std::string &name) { m_instances.erase(name); }
    void setPartition(const std::string &name, int partition) { m_partitions[name] = partition; }
    /// Restarts servers as new incarnations with other names.
    void restartServers(int first, int count);
    /// Sends a request to a random instance. Returns true if it reached its server.
    bool sendRequest();
    /// Throws std::runtime_error if a server got more than the bound in any second.
    void check() const;

    /// Number of requests that servers got while cold.
    int coldRequests() const;
    FakeTable &table() { return m_table; }
    std::vector<std::string> instanceNames() const;

private:
    class LocalScheduler;
    struct Instance;
    struct Server
    {
        Forwarding::ServerEntry entry;
        Base::Milliseconds coldUntil;
    };

    void announce(int index, std::uint64_t incarnation);
    std::vector<Base::InstanceId> membersOf(const std::string &name) const;

    VirtualWorld &m_world;
    const ColdFleetDefects m_defects;
    FakeTable m_table;
    std::map<std::string, std::unique_ptr<FakeTable>> m_separateTables;
    std::map<std::string, std::shared_ptr<Instance>> m_instances;
    /// Instances see only those of the same partition as members.
    std::map<std::string, int> m_partitions;
    std::vector<Server> m_servers;
    std::uint64_t m_lastIncarnation = 0;
    /// Times at which requests reached a server while it was cold.
    std::map<Base::ServerName, std::vector<Base::Milliseconds>> m_coldRequests;
};

} // namespace Carawaykeel::Tests
