#include <Carawaykeel/Configuration/ConfigurationRelay.h>

#include <algorithm>

namespace Carawaykeel::Configuration {

namespace {

constexpr std::size_t MillisecondsPerSecond = 1'000;

} // namespace

ConfigurationRelay::ConfigurationRelay(
    Base::Scheduler &scheduler, Peer::PeerTransport &peers, const ConfigurationRelayPolicy &policy)
    : m_scheduler(scheduler)
    , m_peers(peers)
    , m_policy(policy)
{
}

bool ConfigurationRelay::onVersionAnnounced(
    const Base::InstanceId &from, std::uint64_t announced, const LocalConfiguration &local)
{
    if (announced <= local.version)
        return false;
    const auto now = m_scheduler.now();
    if (!m_outdatedSince || m_outdatedSince->localVersion != local.version)
        m_outdatedSince = {now, local.version};
    if (local.hasDirectSource && now - m_outdatedSince->at < m_policy.directSourceDelay)
        return false;
    const bool isFetchPending =
        m_lastFetch && m_lastFetch->localVersion == local.version && now < m_lastFetch->deadline;
    if (isFetchPending)
        return false;
    m_lastFetch = {from, local.version, now + m_policy.fetchTimeout};
    m_peers.send(from, Peer::FetchConfiguration{local.version});
    return true;
}

bool ConfigurationRelay::onFetchRequest(const Base::InstanceId &from,
    const Peer::FetchConfiguration &request, std::uint64_t localVersion,
    const std::string &document)
{
    if (localVersion <= request.version)
        return false;
    const auto now = m_scheduler.now();
    const Base::Milliseconds sendingTime(static_cast<std::int64_t>(
        document.size() * MillisecondsPerSecond / m_policy.assumedBytesPerSecond));
    const auto sentAt = std::max(m_sendingUntil, now) + sendingTime;
    // What arrives after the receiver has given up only delays the documents behind it.
    const bool isIdle = m_sendingUntil <= now;
    if (!isIdle && sentAt - now > m_policy.fetchTimeout) {
        m_peers.send(from, Peer::OfferConfiguration{localVersion});
        return false;
    }
    m_sendingUntil = sentAt;
    m_peers.send(from, Peer::DeliverConfiguration{localVersion, document});
    return true;
}

void ConfigurationRelay::onFetchRefused(const Base::InstanceId &from)
{
    if (m_lastFetch && m_lastFetch->to == from) {
        m_lastFetch->deadline =
            std::min(m_lastFetch->deadline, m_scheduler.now() + m_policy.refusalDelay);
    }
}

void ConfigurationRelay::offer(const Base::InstanceId &to, std::uint64_t localVersion)
{
    const auto now = m_scheduler.now();
    const auto it = m_lastOffers.find(to.name);
    const bool isPending = it != m_lastOffers.end() && it->second.localVersion == localVersion
        && now - it->second.at < m_policy.fetchTimeout;
    if (isPending)
        return;
    m_lastOffers.insert_or_assign(to.name, Mark{now, localVersion});
    m_peers.send(to, Peer::OfferConfiguration{localVersion});
}

} // namespace Carawaykeel::Configuration
