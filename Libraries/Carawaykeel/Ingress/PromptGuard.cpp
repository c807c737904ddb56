#include <Carawaykeel/Ingress/PromptGuard.h>

#include <algorithm>
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
constexpr Base::Milliseconds MinRetryAfter{1'000};
constexpr Base::Milliseconds MaxRetryAfter{60'000};

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
    QuarantineStore &store, Base::RandomEngine &random, const Logging::Logger &log)
    : m_reactor(reactor)
    , m_transport(transport)
    , m_store(store)
    , m_log(log)
    , m_crashDetector(
          reactor, [this](const auto &server, auto parts) { onServerCrashed(server, parts); })
    , m_trials(store, reactor, random)
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

void PromptGuard::admit(std::span<const Forwarding::PromptPart> prompt,
    const std::function<void(const PromptAdmission &)> &callback)
{
    const auto parts = rejectingParts(prompt);
    if (parts.empty())
        return callback({});
    m_trials.claim(parts, [this, parts, callback](const TrialClaim &claim) {
        if (!claim.isPartStored)
            saveEvidence(parts.front(), 0);
        if (claim.isGranted) {
            // The row exists, so that a response has to remove it.
            m_storedParts[parts.front()] = m_reactor.now();
            logTrial(parts, "started");
        }
        callback({claim.isGranted, claim.isGranted,
            std::clamp(claim.retryIn, MinRetryAfter, MaxRetryAfter)});
    });
}

bool PromptGuard::isQuarantined(std::span<const Forwarding::PromptPart> prompt)
{
    return !rejectingParts(prompt).empty();
}

Base::Milliseconds PromptGuard::retryAfter(std::span<const Forwarding::PromptPart> prompt)
{
    return std::clamp(
        m_trials.timeUntilTrial(rejectingParts(prompt)), MinRetryAfter, MaxRetryAfter);
}

void PromptGuard::onTrialFailed(std::span<const Forwarding::PromptPart> prompt)
{
    const auto parts = rejectingParts(prompt);
    if (parts.empty())
        return;
    for (const auto part : parts)
        saveEvidence(part, 1);
    logTrial(parts, "failed");
}

std::vector<std::uint64_t> PromptGuard::rejectingParts(
    std::span<const Forwarding::PromptPart> prompt)
{
    auto parts = m_quarantine.rejectingParts(sharedParts(prompt), m_reactor.now());
    if (!parts.empty())
        announce();
    return parts;
}

void PromptGuard::announce()
{
    const auto now = m_reactor.now();
    if (now - m_announcedAt < AnnouncementInterval)
        return;
    m_announcedAt = now;
    m_transport.sendToSome(knownReports());
    renewStoredEvidence();
}

void PromptGuard::onResponded(std::span<const Forwarding::PromptPart> prompt)
{
    const auto parts = sharedParts(prompt);
    m_trials.forget(parts);
    publish(m_quarantine.onResponded(parts, m_reactor.now()));
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
        if (!saveEvidence(part, 0) && m_storedParts.erase(part) > 0)
            m_store.save(part, {});
    }
}

bool PromptGuard::saveEvidence(std::uint64_t part, int failedTrials)
{
    auto evidence = m_quarantine.evidenceOf(part, m_reactor.now());
    if (evidence.empty())
        return false;
    m_storedParts[part] = m_reactor.now();
    m_store.save(part, std::move(evidence), {m_quarantine.hasSeparateCrashes(part), failedTrials});
    return true;
}

void PromptGuard::renewStoredEvidence()
{
    const auto now = m_reactor.now();
    for (auto &[part, storedAt] : m_storedParts) {
        if (now - storedAt < QuarantineStore::Lifetime / 2)
            continue;
        storedAt = now;
        saveEvidence(part, 0);
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

void PromptGuard::logTrial(std::span<const std::uint64_t> parts, std::string_view result)
{
    for (const auto part : parts) {
        m_log.info(LogEvent::PromptTrial,
            LogFields().add("part", fmt::format("{:x}", part)).add("result", result));
    }
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
