#pragma once

#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Forwarding/ServerPool.h>
#include <Carawaykeel/Logging/Logger.h>
#include <Carawaykeel/Platform/ChangeFeed.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace Carawaykeel::Ingress {

/// Applies the announcements of backend servers in the table service to the server pool. An entry
/// that is missing after the table service was unreachable is kept for a grace period, because it
/// may only have expired.
class ServerListSubscriber : public Platform::ChangeListener
{
public:
    using Decoder = std::function<Base::Result<Forwarding::ServerEntry>(
        const std::string &name, std::string_view document)>;

    /// Entries that expired during an outage of the table service are announced again about two
    /// seconds after its end.
    static constexpr Base::Milliseconds ExpiryGracePeriod{2'200};

    /// Announces to the other instances that an incarnation of a server is leaving.
    using LeavingAnnouncer = std::function<void(const Base::ServerName &incarnation)>;

    ServerListSubscriber(Base::Scheduler &scheduler, Forwarding::ServerPool &serverPool,
        Decoder decoder, LeavingAnnouncer announceLeaving, const Logging::Logger &log);

    void onSnapshot(const std::vector<Platform::Row> &rows, std::uint64_t version) override;
    void onChanges(const std::vector<Platform::RowChange> &changes) override;
    void onReachabilityChanged(bool isReachable) override;

    /// Call when another instance reports that an incarnation of a server is leaving. The report
    /// marks the server as leaving only while the table service is unreachable, because the table
    /// is more reliable. Otherwise it only ends the grace period of a missing entry.
    void onPeerReportedLeaving(const Base::ServerName &incarnation);

    /// Call with the server list of another instance. It is ignored after the first snapshot.
    void onReceivedFromPeer(const std::vector<Forwarding::ServerEntry> &servers);

    /// True while no server is announced.
    bool isEmpty() const { return m_announced.empty(); }
    bool isFeedConnected() const { return m_isFeedConnected; }

private:
    void addOrUpdate(const std::string &key, const Base::Outcome<Forwarding::ServerEntry> &outcome);
    void remove(const std::string &key);
    void removeOrRetain(const std::string &key);
    bool isReportedLeaving(const std::string &key) const;
    Base::Outcome<Forwarding::ServerEntry> decode(
        const std::string &key, std::string_view document) const;

    Base::Scheduler &m_scheduler;
    Forwarding::ServerPool &m_serverPool;
    const Decoder m_decoder;
    const LeavingAnnouncer m_announceLeaving;
    const Logging::Logger &m_log;
    /// Announced servers, with the number of the change that announced them last.
    std::map<std::string, std::uint64_t> m_announced;
    /// Servers that stay in use without an entry, because it may only have expired.
    std::set<std::string> m_retainedServers;
    /// Incarnations that other instances reported as leaving, by server name.
    std::map<std::string, Base::ServerName> m_reportedLeaving;
    std::uint64_t m_changeCount = 0;
    bool m_isFeedConnected = false;
    Base::Milliseconds m_reachabilityChangedAt;
    bool m_hadOutage = false;
    bool m_hasSnapshot = false;
};

} // namespace Carawaykeel::Ingress
