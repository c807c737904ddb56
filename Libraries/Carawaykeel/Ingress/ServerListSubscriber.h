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

/// Brings the announcements of backend servers into the fleet. An entry that is missing after the
/// table service was away is kept for a while, because it may only have lapsed.
class ServerListSubscriber : public Platform::ChangeListener
{
public:
    using Decoder = std::function<Base::Result<Forwarding::ServerEntry>(
        const std::string &name, std::string_view document)>;

    /// Entries that lapsed while the service was away are back about two seconds after its return.
    static constexpr Base::Milliseconds ExpiryGracePeriod{2'200};

    /// Tells the other instances that a life of a server is leaving.
    using Relay = std::function<void(const Base::ServerName &life)>;

    ServerListSubscriber(Base::Scheduler &scheduler, Forwarding::ServerPool &fleet, Decoder decoder,
        Relay relay, const Logging::Logger &log);

    void onSnapshot(const std::vector<Platform::Row> &rows) override;
    void onChanges(const std::vector<Platform::RowChange> &changes) override;
    void onReachabilityChanged(bool isReached) override;

    /// Another instance says that a life of a server is leaving. It counts only while the table
    /// service is not reached, which knows better.
    void onPeerReportedLeaving(const Base::ServerName &life);

    /// Another instance has told its servers. They count only until the table service was heard.
    void onReceivedFromPeer(const std::vector<Forwarding::ServerEntry> &servers);

    /// True until any server was heard of.
    bool isEmpty() const { return m_announced.empty(); }
    /// True while the feed of the list answers.
    bool isFeedConnected() const { return m_isReached; }

private:
    void put(const std::string &key, const Base::Outcome<Forwarding::ServerEntry> &entry);
    void remove(const std::string &key);
    void removeLater(const std::string &key);
    bool hasLeftByOthers(const std::string &key) const;
    Base::Outcome<Forwarding::ServerEntry> decode(
        const std::string &key, std::string_view document) const;

    Base::Scheduler &m_scheduler;
    Forwarding::ServerPool &m_fleet;
    const Decoder m_decoder;
    const Relay m_relay;
    const Logging::Logger &m_log;
    /// Announced servers, and the number of the change that announced them last.
    std::map<std::string, std::uint64_t> m_announced;
    /// Servers without an entry that are used on, because it may have lapsed.
    std::set<std::string> m_lapsed;
    /// Lives that other instances saw leave, by the server's name.
    std::map<std::string, Base::ServerName> m_leftByOthers;
    std::uint64_t m_changes = 0;
    bool m_isReached = false;
    Base::Milliseconds m_reachedSince;
    bool m_wasAway = false;
    bool m_hasSnapshot = false;
};

} // namespace Carawaykeel::Ingress
