#include <Carawaykeel/Ingress/PromptGuard.h>

#include <fmt/core.h>
#include <set>
#include <utility>

namespace Carawaykeel::Ingress {

using Forwarding::PromptReport;
using Forwarding::PromptVerdict;
using Logging::LogEvent;
using Logging::LogFields;

namespace {

/// Maximum number of reports for an instance that has just started, so that they fit into one
/// packet.
constexpr std::size_t MaxKnownReports = 64;

/// Returns the ids of the parts that other requests may share. The last part belongs to the request
/// itself.
std::vector<std::uint64_t> sharedParts(std::span<const Forwarding::PromptPart> prompt)
{
    std::vector<std::uint64_t> parts;
    for (std::size_t n = 0; n + 1 < prompt.size(); ++n)
        parts.push_back(prompt[n].id);
    return parts;
}

} // namespace

PromptGuard::PromptGuard(Net::Reactor &reactor, PromptReportTransport &transport,
    QuarantineStore &store, const Logging::Logger &log)
    : m_reactor(reactor)
    , m_transport(transport)
    , m_store(store)
    , m_log(log)
    , m_crashDetector(
          reactor, [this](const auto &server, auto parts) { onServerCrashed(server, parts); })
{
}

void PromptGuard::start()
{
    m_store.load([this](const QuarantineStore::Evidence &evidence) {
        for (const auto &report : evidence) {
            m_storedParts[report.part] = m_reactor.now();
            logVerdict(report, "store");
        }
        m_quarantine.onReports(evidence, m_reactor.now());
    });
}

bool PromptGuard::isQuarantined(std::span<const Forwarding::PromptPart> prompt)
{
    const auto now = m_reactor.now();
    if (!m_quarantine.isRejected(sharedParts(prompt), now))
        return false;
    if (now - m_announcedAt >= AnnouncementInterval) {
        m_announcedAt = now;
        m_transport.sendToSome(knownReports());
        renewStoredEvidence();
    }
    return true;
}

void PromptGuard::onResponded(std::span<const Forwarding::PromptPart> prompt)
{
    publish(m_quarantine.onResponded(sharedParts(prompt), m_reactor.now()));
}

void PromptGuard::onConnectionLost(
    const Forwarding::ServerEntry &server, std::span<const Forwarding::PromptPart> prompt)
{
    m_crashDetector.onConnectionLost(server.name, server.address, sharedParts(prompt));
}

void PromptGuard::onServerCrashed(
    const Base::ServerName &server, std::span<const std::uint64_t> parts)
{
    const auto reports = m_quarantine.onServerCrashed(server, parts, m_reactor.now());
    m_log.info(LogEvent::ServerCrashed,
        LogFields()
            .add("server", server.text())
            .add("parts", parts.size())
            .add("reports", reports.size()));
    publish(reports);
}

void PromptGuard::onReports(const Base::InstanceName &from, std::span<const PromptReport> reports)
{
    const auto replies = m_quarantine.onReports(reports, m_reactor.now());
    for (const auto &report : replies.relayed)
        logVerdict(report, from.text());
    if (!replies.relayed.empty())
        m_transport.sendToSome(replies.relayed);
    if (!replies.answered.empty())
        m_transport.sendTo(from, replies.answered);
}

std::vector<PromptReport> PromptGuard::knownReports() const
{
    return m_quarantine.allEvidence(MaxKnownReports, m_reactor.now());
}

void PromptGuard::save(const std::vector<PromptReport> &reports)
{
    std::set<std::uint64_t> parts;
    for (const auto &report : reports)
        parts.insert(report.part);
    for (const auto part : parts) {
        auto evidence = m_quarantine.evidenceOf(part, m_reactor.now());
        // Only parts that have been blamed have a row to remove.
        if (evidence.empty() && m_storedParts.erase(part) == 0)
            continue;
        if (!evidence.empty())
            m_storedParts[part] = m_reactor.now();
        m_store.save(part, std::move(evidence));
    }
}

void PromptGuard::renewStoredEvidence()
{
    const auto now = m_reactor.now();
    for (auto &[part, storedAt] : m_storedParts) {
        if (now - storedAt < QuarantineStore::Lifetime / 2)
            continue;
        storedAt = now;
        if (auto evidence = m_quarantine.evidenceOf(part, now); !evidence.empty())
            m_store.save(part, std::move(evidence));
    }
}

void PromptGuard::publish(const std::vector<PromptReport> &reports)
{
    for (const auto &report : reports)
        logVerdict(report, "own");
    save(reports);
    if (!reports.empty())
        m_transport.sendToAll(reports);
}

void PromptGuard::logVerdict(const PromptReport &report, std::string_view source)
{
    LogFields fields;
    fields.add("part", fmt::format("{:x}", report.part)).add("source", source);
    switch (report.verdict) {
    case PromptVerdict::Suspected:
        return m_log.info(
            LogEvent::PromptPartSuspected, fields.add("server", report.server.text()));
    case PromptVerdict::Sound:
        return m_log.info(LogEvent::PromptPartSound, fields);
    case PromptVerdict::Quarantined:
        return m_log.warn(LogEvent::PromptPartQuarantined, fields);
    }
}

} // namespace Carawaykeel::Ingress
