#include <Carawaykeel/Ingress/ServerListSubscriber.h>

#include <fmt/core.h>
#include <set>
#include <utility>

namespace Carawaykeel::Ingress {

using Logging::LogEvent;
using Logging::LogFields;

namespace {

/// Returns a name for one incarnation of a server, because a restarted server may keep its name.
Base::ServerName incarnationName(const Forwarding::ServerEntry &entry)
{
    return Base::ServerName(fmt::format("{}#{}", entry.name.text(), entry.startedAt));
}

} // namespace

ServerListSubscriber::ServerListSubscriber(Base::Scheduler &scheduler,
    Forwarding::ServerPool &serverPool, Decoder decoder, LeavingAnnouncer announceLeaving,
    const Logging::Logger &log)
    : m_scheduler(scheduler)
    , m_serverPool(serverPool)
    , m_decoder(std::move(decoder))
    , m_announceLeaving(std::move(announceLeaving))
    , m_log(log)
{
}

Base::Outcome<Forwarding::ServerEntry> ServerListSubscriber::decode(
    const std::string &key, std::string_view document) const
{
    return Base::toOutcome<Forwarding::ServerEntry>([&] { return m_decoder(key, document); });
}

void ServerListSubscriber::onSnapshot(const std::vector<Platform::Row> &rows, std::uint64_t)
{
    std::vector<std::pair<std::string, Base::Outcome<Forwarding::ServerEntry>>> entries;
    for (const auto &row : rows)
        entries.emplace_back(row.key, decode(row.key, row.value));
    m_scheduler.schedule(Base::Milliseconds(), [this, entries = std::move(entries)] {
        m_hasSnapshot = true;
        std::set<std::string> present;
        for (const auto &[key, entry] : entries) {
            present.insert(key);
            addOrUpdate(key, entry);
        }
        std::vector<std::string> missing;
        for (const auto &[key, change] : m_announced) {
            if (!present.contains(key))
                missing.push_back(key);
        }
        for (const auto &key : missing)
            removeOrRetain(key);
    });
}

void ServerListSubscriber::onChanges(const std::vector<Platform::RowChange> &changes)
{
    for (const auto &change : changes) {
        if (!change.value) {
            m_scheduler.schedule(
                Base::Milliseconds(), [this, key = change.key] { removeOrRetain(key); });
            continue;
        }
        m_scheduler.schedule(Base::Milliseconds(),
            [this, key = change.key, entry = decode(change.key, *change.value)] {
                addOrUpdate(key, entry);
            });
    }
}

void ServerListSubscriber::onReachabilityChanged(bool isReachable)
{
    m_scheduler.schedule(Base::Milliseconds(), [this, isReachable] {
        m_isFeedConnected = isReachable;
        m_hadOutage = m_hadOutage || !isReachable;
        m_reachabilityChangedAt = m_scheduler.now();
        m_log.info(isReachable ? LogEvent::ServerListReached : LogEvent::ServerListLost,
            LogFields().add("announced", m_announced.size()));
    });
}

void ServerListSubscriber::addOrUpdate(
    const std::string &key, const Base::Outcome<Forwarding::ServerEntry> &outcome)
{
    const auto *entry = std::get_if<Forwarding::ServerEntry>(&outcome);
    if (!entry) {
        m_log.warn(LogEvent::ServerEntryUnusable,
            LogFields().add("server", key).add("reason", std::get<Base::Failure>(outcome).message));
        return remove(key);
    }
    m_announced[key] = ++m_changeCount;
    m_retainedServers.erase(key);
    m_reportedLeaving.erase(key);
    m_serverPool.addOrUpdate(*entry);
    m_serverPool.onEntryReceived(*entry, m_scheduler.now());
    if (entry->isLeaving)
        m_announceLeaving(incarnationName(*entry));
    m_log.info(LogEvent::ServerAnnounced,
        LogFields()
            .add("server", key)
            .add("service", entry->service.text())
            .add("address", entry->address)
            .add("leaving", entry->isLeaving)
            .add("slots", entry->slots));
}

void ServerListSubscriber::onPeerReportedLeaving(const Base::ServerName &incarnation)
{
    const Base::ServerName name(incarnation.text().substr(0, incarnation.text().find('#')));
    const auto *entry = m_serverPool.findEntry(name);
    if (!entry || entry->isLeaving || incarnationName(*entry) != incarnation)
        return;
    // Instances that stayed connected to the table distinguish a removed entry from an expired one.
    m_reportedLeaving[name.text()] = incarnation;
    if (m_isFeedConnected) {
        if (m_retainedServers.contains(name.text()))
            remove(name.text());
        return;
    }
    auto leaving = *entry;
    leaving.isLeaving = true;
    m_serverPool.addOrUpdate(leaving);
    m_log.info(LogEvent::ServerLeavingRelayed, LogFields().add("server", name.text()));
}

void ServerListSubscriber::onReceivedFromPeer(const std::vector<Forwarding::ServerEntry> &servers)
{
    if (m_hasSnapshot)
        return;
    for (const auto &entry : servers) {
        m_announced[entry.name.text()] = ++m_changeCount;
        m_serverPool.addOrUpdate(entry);
        m_serverPool.onEntryReceived(entry, m_scheduler.now());
    }
    m_log.info(LogEvent::ServerListDelivered, LogFields().add("servers", servers.size()));
}

void ServerListSubscriber::remove(const std::string &key)
{
    m_announced.erase(key);
    m_retainedServers.erase(key);
    m_reportedLeaving.erase(key);
    m_serverPool.remove(Base::ServerName(key));
}

bool ServerListSubscriber::isReportedLeaving(const std::string &key) const
{
    const auto it = m_reportedLeaving.find(key);
    const auto *entry = m_serverPool.findEntry(Base::ServerName(key));
    return entry && it != m_reportedLeaving.end() && it->second == incarnationName(*entry);
}

void ServerListSubscriber::removeOrRetain(const std::string &key)
{
    const auto it = m_announced.find(key);
    if (it == m_announced.end())
        return;
    const bool mayHaveExpired = m_hadOutage
        && m_scheduler.now() - m_reachabilityChangedAt < ExpiryGracePeriod
        && !isReportedLeaving(key);
    m_log.info(LogEvent::ServerEntryRemoved,
        LogFields().add("server", key).add("may_have_lapsed", mayHaveExpired));
    if (!mayHaveExpired) {
        if (const auto *entry = m_serverPool.findEntry(Base::ServerName(key)))
            m_announceLeaving(incarnationName(*entry));
        return remove(key);
    }
    m_retainedServers.insert(key);
    const auto remainingGracePeriod =
        m_reachabilityChangedAt + ExpiryGracePeriod - m_scheduler.now();
    m_scheduler.schedule(remainingGracePeriod, [this, key, change = it->second] {
        const auto current = m_announced.find(key);
        if (current != m_announced.end() && current->second == change)
            remove(key);
    });
}

} // namespace Carawaykeel::Ingress
