#include <Carawaykeel/Ingress/ServerListSubscriber.h>

#include <fmt/core.h>
#include <set>
#include <utility>

namespace Carawaykeel::Ingress {

using Logging::LogEvent;
using Logging::LogFields;

namespace {

/// Names one life of a server: one that starts again may keep its name.
Base::ServerName lifeOf(const Forwarding::ServerEntry &entry)
{
    return Base::ServerName(fmt::format("{}#{}", entry.name.text(), entry.startedAt));
}

} // namespace

ServerListSubscriber::ServerListSubscriber(Base::Scheduler &scheduler,
    Forwarding::ServerPool &fleet, Decoder decoder, Relay relay, const Logging::Logger &log)
    : m_scheduler(scheduler)
    , m_fleet(fleet)
    , m_decoder(std::move(decoder))
    , m_relay(std::move(relay))
    , m_log(log)
{
}

Base::Outcome<Forwarding::ServerEntry> ServerListSubscriber::decode(
    const std::string &key, std::string_view document) const
{
    return Base::toOutcome<Forwarding::ServerEntry>([&] { return m_decoder(key, document); });
}

void ServerListSubscriber::onSnapshot(const std::vector<Platform::Row> &rows)
{
    std::vector<std::pair<std::string, Base::Outcome<Forwarding::ServerEntry>>> entries;
    for (const auto &row : rows)
        entries.emplace_back(row.key, decode(row.key, row.value));
    m_scheduler.schedule(Base::Milliseconds(), [this, entries = std::move(entries)] {
        m_hasSnapshot = true;
        std::set<std::string> present;
        for (const auto &[key, entry] : entries) {
            present.insert(key);
            put(key, entry);
        }
        std::vector<std::string> missing;
        for (const auto &[key, change] : m_announced) {
            if (!present.contains(key))
                missing.push_back(key);
        }
        for (const auto &key : missing)
            removeLater(key);
    });
}

void ServerListSubscriber::onChanges(const std::vector<Platform::RowChange> &changes)
{
    for (const auto &change : changes) {
        if (!change.value) {
            m_scheduler.schedule(
                Base::Milliseconds(), [this, key = change.key] { removeLater(key); });
            continue;
        }
        m_scheduler.schedule(Base::Milliseconds(),
            [this, key = change.key, entry = decode(change.key, *change.value)] {
                put(key, entry);
            });
    }
}

void ServerListSubscriber::onReachabilityChanged(bool isReached)
{
    m_scheduler.schedule(Base::Milliseconds(), [this, isReached] {
        m_isReached = isReached;
        m_wasAway = m_wasAway || !isReached;
        m_reachedSince = m_scheduler.now();
        m_log.info(isReached ? LogEvent::ServerListReached : LogEvent::ServerListLost,
            LogFields().add("announced", m_announced.size()));
    });
}

void ServerListSubscriber::put(
    const std::string &key, const Base::Outcome<Forwarding::ServerEntry> &outcome)
{
    const auto *entry = std::get_if<Forwarding::ServerEntry>(&outcome);
    if (!entry) {
        m_log.warn(LogEvent::ServerEntryUnusable,
            LogFields().add("server", key).add("reason", std::get<Base::Failure>(outcome).message));
        return remove(key);
    }
    m_announced[key] = ++m_changes;
    m_lapsed.erase(key);
    m_leftByOthers.erase(key);
    m_fleet.addOrUpdate(*entry);
    if (entry->isLeaving)
        m_relay(lifeOf(*entry));
    m_log.info(LogEvent::ServerAnnounced,
        LogFields()
            .add("server", key)
            .add("service", entry->service.text())
            .add("address", entry->address)
            .add("leaving", entry->isLeaving)
            .add("slots", entry->slots));
}

void ServerListSubscriber::onPeerReportedLeaving(const Base::ServerName &life)
{
    const Base::ServerName name(life.text().substr(0, life.text().find('#')));
    const auto *entry = m_fleet.findEntry(name);
    if (!entry || entry->isLeaving || lifeOf(*entry) != life)
        return;
    // Others that have the table all along know that an entry did not just lapse.
    m_leftByOthers[name.text()] = life;
    if (m_isReached) {
        if (m_lapsed.contains(name.text()))
            remove(name.text());
        return;
    }
    auto leaving = *entry;
    leaving.isLeaving = true;
    m_fleet.addOrUpdate(leaving);
    m_log.info(LogEvent::ServerLeavingRelayed, LogFields().add("server", name.text()));
}

void ServerListSubscriber::onReceivedFromPeer(const std::vector<Forwarding::ServerEntry> &servers)
{
    if (m_hasSnapshot)
        return;
    for (const auto &entry : servers) {
        m_announced[entry.name.text()] = ++m_changes;
        m_fleet.addOrUpdate(entry);
    }
    m_log.info(LogEvent::ServerListDelivered, LogFields().add("servers", servers.size()));
}

void ServerListSubscriber::remove(const std::string &key)
{
    m_announced.erase(key);
    m_lapsed.erase(key);
    m_leftByOthers.erase(key);
    m_fleet.remove(Base::ServerName(key));
}

bool ServerListSubscriber::hasLeftByOthers(const std::string &key) const
{
    const auto it = m_leftByOthers.find(key);
    const auto *entry = m_fleet.findEntry(Base::ServerName(key));
    return entry && it != m_leftByOthers.end() && it->second == lifeOf(*entry);
}

void ServerListSubscriber::removeLater(const std::string &key)
{
    const auto it = m_announced.find(key);
    if (it == m_announced.end())
        return;
    const bool mayHaveLapsed = m_wasAway && m_scheduler.now() - m_reachedSince < ExpiryGracePeriod
        && !hasLeftByOthers(key);
    m_log.info(LogEvent::ServerEntryRemoved,
        LogFields().add("server", key).add("may_have_lapsed", mayHaveLapsed));
    if (!mayHaveLapsed) {
        if (const auto *entry = m_fleet.findEntry(Base::ServerName(key)))
            m_relay(lifeOf(*entry));
        return remove(key);
    }
    m_lapsed.insert(key);
    const auto rest = m_reachedSince + ExpiryGracePeriod - m_scheduler.now();
    m_scheduler.schedule(rest, [this, key, change = it->second] {
        const auto again = m_announced.find(key);
        if (again != m_announced.end() && again->second == change)
            remove(key);
    });
}

} // namespace Carawaykeel::Ingress
