#include <Carawaykeel/Forwarding/PromptQuarantine.h>

#include <algorithm>
#include <iterator>

namespace Carawaykeel::Forwarding {

PromptQuarantine::PromptQuarantine(const PromptQuarantinePolicy &policy)
    : m_policy(policy)
{
}

std::vector<PromptReport> PromptQuarantine::onServerCrashed(
    const Base::ServerName &server, std::span<const std::uint64_t> parts, Base::Milliseconds now)
{
    std::vector<PromptReport> reports;
    for (const auto part : parts) {
        if (isSound(part, now))
            continue;
        reports.push_back({part, PromptVerdict::Suspected, server, {}});
        recordCrash(part, {server, now});
    }
    std::ranges::copy(quarantineUnambiguousParts(now), std::back_inserter(reports));
    return reports;
}

std::vector<PromptReport> PromptQuarantine::onResponded(
    std::span<const std::uint64_t> parts, Base::Milliseconds now)
{
    std::vector<PromptReport> reports;
    for (const auto part : parts) {
        if (m_suspects.contains(part))
            reports.push_back({part, PromptVerdict::Sound, {}, {}});
        markSound(part, now);
    }
    if (!reports.empty())
        std::ranges::copy(quarantineUnambiguousParts(now), std::back_inserter(reports));
    return reports;
}

PromptReportReplies PromptQuarantine::onReports(
    std::span<const PromptReport> reports, Base::Milliseconds now)
{
    PromptReportReplies replies;
    for (const auto &report : reports) {
        if (report.verdict == PromptVerdict::Sound) {
            markSound(report.part, now);
        } else if (isSound(report.part, now)) {
            replies.answered.push_back({report.part, PromptVerdict::Sound, {}, {}});
        } else if (report.verdict == PromptVerdict::Suspected) {
            const bool isNew = recordCrash(report.part, {report.server, now - report.age});
            const auto evidence = evidenceOf(report.part, now);
            // Evidence is not answered with evidence, since all of it is known here.
            if (isNew)
                replies.answered.insert(replies.answered.end(), evidence.begin(), evidence.end());
        } else if (auto &suspect = suspectOf(report.part); !isQuarantined(suspect, now)) {
            suspect.quarantinedAt = now;
            forgetExplainedCrashes(report.part);
            replies.relayed.push_back(report);
        }
    }
    std::ranges::copy(quarantineUnambiguousParts(now), std::back_inserter(replies.relayed));
    return replies;
}

bool PromptQuarantine::isRejected(std::span<const std::uint64_t> parts, Base::Milliseconds now)
{
    return !rejectingParts(parts, now).empty();
}

std::vector<std::uint64_t> PromptQuarantine::rejectingParts(
    std::span<const std::uint64_t> parts, Base::Milliseconds now)
{
    std::vector<std::uint64_t> rejecting;
    for (const auto part : parts) {
        const auto it = m_suspects.find(part);
        if (it == m_suspects.end())
            continue;
        auto &suspect = it->second;
        if (isQuarantined(suspect, now)) {
            suspect.quarantinedAt = now;
            rejecting.push_back(part);
            continue;
        }
        if (!isBlamed(suspect, now))
            continue;
        // Another part that was at all the same crashes may be the cause. If the request does not
        // contain it, the response shows which of them it is.
        const bool hasOtherCause = std::ranges::any_of(m_suspects, [&](const auto &other) {
            return explains(other.second, suspect)
                && std::ranges::find(parts, other.first) == parts.end();
        });
        if (!hasOtherCause)
            rejecting.push_back(part);
    }
    return rejecting;
}

bool PromptQuarantine::hasSeparateCrashes(std::uint64_t part) const
{
    const auto it = m_suspects.find(part);
    if (it == m_suspects.end() || it->second.crashes.empty())
        return false;
    const auto [first, last] = std::ranges::minmax_element(it->second.crashes, {}, &Crash::at);
    return last->at - first->at > m_policy.commonCauseWindow;
}

std::vector<PromptReport> PromptQuarantine::evidenceOf(
    std::uint64_t part, Base::Milliseconds now) const
{
    const auto it = m_suspects.find(part);
    if (it == m_suspects.end())
        return {};
    if (isQuarantined(it->second, now))
        return {{part, PromptVerdict::Quarantined, {}, {}}};
    std::vector<PromptReport> evidence;
    if (isBlamed(it->second, now)) {
        for (const auto &crash : it->second.crashes)
            evidence.push_back({part, PromptVerdict::Suspected, crash.server, now - crash.at});
    }
    return evidence;
}

std::vector<PromptReport> PromptQuarantine::allEvidence(
    std::size_t maxReports, Base::Milliseconds now) const
{
    std::vector<PromptReport> evidence;
    for (const auto &[part, suspect] : m_suspects) {
        const auto reports = evidenceOf(part, now);
        if (evidence.size() + reports.size() <= maxReports)
            evidence.insert(evidence.end(), reports.begin(), reports.end());
    }
    return evidence;
}

bool PromptQuarantine::isSound(std::uint64_t part, Base::Milliseconds now) const
{
    const auto it = m_respondedAt.find(part);
    return it != m_respondedAt.end() && now - it->second <= m_policy.soundWindow;
}

bool PromptQuarantine::isQuarantined(const Suspect &suspect, Base::Milliseconds now) const
{
    return suspect.quarantinedAt && now - *suspect.quarantinedAt <= m_policy.quarantineLifetime;
}

bool PromptQuarantine::isBlamed(const Suspect &suspect, Base::Milliseconds now) const
{
    const auto count = std::ranges::count_if(suspect.crashes,
        [&](const Crash &crash) { return now - crash.at <= m_policy.suspicionLifetime; });
    // An expired quarantine starts again with the next crash.
    const std::size_t needed = suspect.quarantinedAt ? 1 : m_policy.crashesToBlame;
    return static_cast<std::size_t>(count) >= needed;
}

bool PromptQuarantine::isSameCrash(const Crash &left, const Crash &right) const
{
    return left.server == right.server
        && std::max(left.at - right.at, right.at - left.at) <= m_policy.sameCrashWindow;
}

bool PromptQuarantine::wasAt(const Suspect &suspect, const Crash &crash) const
{
    return std::ranges::any_of(
        suspect.crashes, [&](const Crash &other) { return isSameCrash(other, crash); });
}

bool PromptQuarantine::explains(const Suspect &cause, const Suspect &other) const
{
    return std::ranges::all_of(
        other.crashes, [&](const Crash &crash) { return wasAt(cause, crash); });
}

bool PromptQuarantine::recordCrash(std::uint64_t part, const Crash &crash)
{
    auto &suspect = suspectOf(part);
    std::erase_if(suspect.crashes,
        [&](const Crash &earlier) { return crash.at - earlier.at > m_policy.suspicionLifetime; });
    const bool isExplained = std::ranges::any_of(m_suspects, [&](const auto &other) {
        return other.first != part && isQuarantined(other.second, crash.at)
            && wasAt(other.second, crash);
    });
    if (isExplained || wasAt(suspect, crash))
        return false;
    suspect.crashes.push_back(crash);
    if (isQuarantined(suspect, crash.at))
        forgetExplainedCrashes(part);
    return true;
}

void PromptQuarantine::forgetExplainedCrashes(std::uint64_t quarantinedPart)
{
    const auto &cause = m_suspects.at(quarantinedPart);
    for (auto &[part, other] : m_suspects) {
        if (part != quarantinedPart)
            std::erase_if(other.crashes, [&](const Crash &crash) { return wasAt(cause, crash); });
    }
}

std::vector<PromptReport> PromptQuarantine::quarantineUnambiguousParts(Base::Milliseconds now)
{
    std::vector<PromptReport> quarantined;
    for (auto &item : m_suspects) {
        auto &suspect = item.second;
        if (isQuarantined(suspect, now) || !isBlamed(suspect, now))
            continue;
        const bool isAmbiguous = std::ranges::any_of(m_suspects,
            [&](const auto &other) { return &other != &item && explains(other.second, suspect); });
        if (isAmbiguous)
            continue;
        suspect.quarantinedAt = now;
        quarantined.push_back({item.first, PromptVerdict::Quarantined, {}, {}});
    }
    for (const auto &report : quarantined)
        forgetExplainedCrashes(report.part);
    return quarantined;
}

void PromptQuarantine::markSound(std::uint64_t part, Base::Milliseconds now)
{
    m_suspects.erase(part);
    m_respondedAt[part] = now;
    if (m_respondedAt.size() <= m_policy.maxSoundParts)
        return;
    std::erase_if(
        m_respondedAt, [&](const auto &item) { return now - item.second > m_policy.soundWindow; });
}

PromptQuarantine::Suspect &PromptQuarantine::suspectOf(std::uint64_t part)
{
    const bool isFull = m_suspects.size() >= m_policy.maxSuspects && !m_suspects.contains(part);
    if (isFull) {
        std::erase_if(m_suspects, [](const auto &item) { return !item.second.quarantinedAt; });
        // Forgetting a quarantine costs further crashes, but memory must stay bounded.
        if (m_suspects.size() >= m_policy.maxSuspects)
            m_suspects.erase(m_suspects.begin());
    }
    return m_suspects[part];
}

} // namespace Carawaykeel::Forwarding
