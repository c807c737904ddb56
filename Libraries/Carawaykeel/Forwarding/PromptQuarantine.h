#pragma once

#include <Carawaykeel/Forwarding/PromptReport.h>
#include <Carawaykeel/Forwarding/RequestMetadata.h>

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace Carawaykeel::Forwarding {

/// When prompt parts are quarantined, and for how long.
struct PromptQuarantinePolicy
{
    /// Crashes of servers, with no response in between, after which a part is blamed for them.
    std::size_t crashesToBlame = 3;
    /// Crashes of one server within this time are one crash that several requests or instances saw.
    Base::Milliseconds sameCrashWindow{1'500};
    /// Crashes of different servers within this time may have one cause outside the prompts, such
    /// as the power of a rack.
    Base::Milliseconds commonCauseWindow{1'500};
    /// A crash counts for this long.
    Base::Milliseconds suspicionLifetime{60'000};
    /// A part to which servers responded so recently is not suspected when another request with it
    /// was at a server that crashed.
    Base::Milliseconds soundWindow{2'000};
    /// A quarantine ends when no request with the part has come for this long. The next crash
    /// starts it again.
    Base::Milliseconds quarantineLifetime{600'000};
    /// Maximum number of suspected and quarantined parts.
    std::size_t maxSuspects = 4'096;
    /// Number of parts with a recent response beyond which expired ones are removed.
    std::size_t maxSoundParts = 8'192;
};

/// What an instance does about the reports of another one.
struct PromptReportReplies
{
    /// Parts that are quarantined because of the reports; other instances may not know them.
    std::vector<PromptReport> relayed;
    /// What the sender has to know: parts that servers responded to, contrary to its reports, and
    /// further evidence against parts that it suspects.
    std::vector<PromptReport> answered;
};

/// Finds the shared prompt parts that crash each server that responds to them, from what all
/// instances report.
///
/// Requests with such a part share their other parts with requests that are served. Parts that
/// were at the same crashes cannot be told apart; until a response or a further crash does, only
/// requests that contain all of them are rejected.
class PromptQuarantine
{
public:
    explicit PromptQuarantine(const PromptQuarantinePolicy &policy = {});

    /// Records that a server crashed before it responded to requests with these parts. Returns the
    /// reports for all other instances.
    std::vector<PromptReport> onServerCrashed(const Base::ServerName &server,
        std::span<const std::uint64_t> parts, Base::Milliseconds now);

    /// Records that a server responded to a request with these parts. Returns the reports for all
    /// other instances.
    std::vector<PromptReport> onResponded(
        std::span<const std::uint64_t> parts, Base::Milliseconds now);

    /// Handles another instance's reports.
    PromptReportReplies onReports(std::span<const PromptReport> reports, Base::Milliseconds now);

    /// Returns true if a request with these shared parts must not be sent to a server.
    bool isRejected(std::span<const std::uint64_t> parts, Base::Milliseconds now);
    /// Returns those of the parts for which each request that contains all of them is rejected.
    std::vector<std::uint64_t> rejectingParts(
        std::span<const std::uint64_t> parts, Base::Milliseconds now);

    /// Returns true if the part was at crashes that no common cause explains, since they are apart
    /// in time.
    bool hasSeparateCrashes(std::uint64_t part) const;

    /// Returns the reports from which another instance learns to reject the same requests: that a
    /// part is quarantined, or the crashes that it is blamed for.
    std::vector<PromptReport> evidenceOf(std::uint64_t part, Base::Milliseconds now) const;
    /// Returns the evidence of all parts, at most `maxReports`.
    std::vector<PromptReport> allEvidence(std::size_t maxReports, Base::Milliseconds now) const;

private:
    struct Crash
    {
        Base::ServerName server;
        Base::Milliseconds at;
    };
    struct Suspect
    {
        std::vector<Crash> crashes;
        /// When the part was quarantined or a request with it was last rejected.
        std::optional<Base::Milliseconds> quarantinedAt;
    };

    bool isSound(std::uint64_t part, Base::Milliseconds now) const;
    bool isQuarantined(const Suspect &suspect, Base::Milliseconds now) const;
    bool isBlamed(const Suspect &suspect, Base::Milliseconds now) const;
    bool isSameCrash(const Crash &left, const Crash &right) const;
    bool wasAt(const Suspect &suspect, const Crash &crash) const;
    bool explains(const Suspect &cause, const Suspect &other) const;
    /// Returns false if the crash is known or explained by a quarantined part.
    bool recordCrash(std::uint64_t part, const Crash &crash);
    void forgetExplainedCrashes(std::uint64_t quarantinedPart);
    std::vector<PromptReport> quarantineUnambiguousParts(Base::Milliseconds now);
    void markSound(std::uint64_t part, Base::Milliseconds now);
    Suspect &suspectOf(std::uint64_t part);

    const PromptQuarantinePolicy m_policy;
    std::unordered_map<std::uint64_t, Suspect> m_suspects;
    /// When a server last responded to a request with a part.
    std::unordered_map<std::uint64_t, Base::Milliseconds> m_respondedAt;
};

} // namespace Carawaykeel::Forwarding
