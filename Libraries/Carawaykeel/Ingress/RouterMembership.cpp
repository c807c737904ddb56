// The part of Router that handles events of the membership and exchanges server lists.
#include <Carawaykeel/Ingress/Router.h>

#include <random>
#include <utility>

namespace Carawaykeel::Ingress {

using Logging::LogEvent;
using Logging::LogFields;

Membership::MembershipEvents Router::membershipEvents()
{
    Membership::MembershipEvents events;
    events.onConfigurationVersion = [this](const Base::InstanceId &from, std::uint64_t version) {
        const Configuration::LocalConfiguration local{
            m_configurationSubscriber.version(), m_configurationSubscriber.isConnected()};
        if (m_configurationRelay.onVersionAnnounced(from, version, local)) {
            m_log.info(LogEvent::ConfigurationRequested,
                LogFields()
                    .add("from", from.name.text())
                    .add("announced", version)
                    .add("version", local.version)
                    .add("connected", local.hasDirectSource));
        }
    };
    events.onServerLeaving = [this](const Base::ServerName &serverIncarnation) {
        m_serverListSubscriber.onPeerReportedLeaving(serverIncarnation);
    };
    events.onBacklogs = [this](const Base::InstanceName &from,
                            std::span<const Forwarding::ServerBacklog> backlogs) {
        m_serverPool.onPeerBacklogs(from, backlogs, m_reactor.now());
    };
    events.onPromptReports = [this](const Base::InstanceName &from,
                                 std::span<const Forwarding::PromptReport> reports) {
        m_promptGuard.onReports(from, reports);
    };
    events.knownPromptReports = [this] { return m_promptGuard.knownReports(); };
    events.onEvacuations = [this](const Base::InstanceName &from,
                               std::span<const Forwarding::Evacuation> evacuations) {
        m_evacuationSubscriber.onPeerReport(from, evacuations);
    };
    events.knownEvacuations = [this] { return m_evacuationSubscriber.registers().all(); };
    events.onMemberFailed = [this](const Base::InstanceId &failedInstance) {
        m_log.warn(LogEvent::InstanceMissed,
            LogFields()
                .add("missed", failedInstance.name.text())
                .add("missed_incarnation", failedInstance.incarnation));
    };
    return events;
}

void Router::sendServerList(const Base::InstanceId &to)
{
    Peer::DeliverServers delivery;
    for (const auto &server : m_serverPool.servers())
        delivery.servers.push_back(server.entry);
    if (delivery.servers.empty())
        return;
    // An instance that starts without the table service must not use servers before it knows which
    // of them are evacuated.
    m_membership->sendEvacuations(m_evacuationSubscriber.registers().all(), to.name);
    m_peerTransport.send(to, std::move(delivery));
}

void Router::requestServerList()
{
    const auto peers = m_membership->livePeers();
    if (!m_serverListSubscriber.isEmpty() || peers.empty())
        return;
    std::uniform_int_distribution<std::size_t> distribution(0, peers.size() - 1);
    m_peerTransport.send(peers.at(distribution(m_random)), Peer::FetchServers());
}

} // namespace Carawaykeel::Ingress
