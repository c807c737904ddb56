#pragma once

#include <Carawaykeel/Forwarding/PromptQuarantine.h>
#include <Carawaykeel/Forwarding/ServerEntry.h>
#include <Carawaykeel/Ingress/PromptReportTransport.h>
#include <Carawaykeel/Ingress/PromptTrials.h>
#include <Carawaykeel/Ingress/QuarantineStore.h>
#include <Carawaykeel/Ingress/ServerCrashDetector.h>
#include <Carawaykeel/Logging/Logger.h>

#include <functional>
#include <map>
#include <span>
#include <vector>

namespace Carawaykeel::Ingress {

/// Whether a request may be sent to a server.
struct PromptAdmission
{
    bool isAdmitted = true;
    /// The prompt is quarantined; the request shows whether it still crashes servers.
    bool isTrial = false;
    /// When another trial is possible, if the request is not admitted.
    Base::Milliseconds retryAfter;
};

/// Keeps requests with prompt parts that crash servers from the servers, on all instances.
class PromptGuard
{
public:
    /// Time between announcements of the quarantined parts while requests with them are rejected.
    /// An instance that sees responses to such a part contradicts.
    static constexpr Base::Milliseconds AnnouncementInterval{2'000};

    PromptGuard(Net::Reactor &reactor, PromptReportTransport &transport, QuarantineStore &store,
        Base::RandomEngine &random, const Logging::Logger &log);

    /// Loads what earlier processes found. Call once.
    void start();

    /// Finds out whether a new request may be sent. For prompts without quarantined parts, the
    /// callback is called before the function returns.
    void admit(std::span<const Forwarding::PromptPart> prompt,
        const std::function<void(const PromptAdmission &)> &callback);

    /// Returns true if a request with this prompt that is no trial must not be sent to a server.
    bool isQuarantined(std::span<const Forwarding::PromptPart> prompt);

    /// Returns the Retry-After of a rejected request.
    Base::Milliseconds retryAfter(std::span<const Forwarding::PromptPart> prompt);

    /// Call when the server's connection was lost before it responded to a trial request.
    void onTrialFailed(std::span<const Forwarding::PromptPart> prompt);

    /// Call when a server has begun to respond to a request with this prompt.
    void onResponded(std::span<const Forwarding::PromptPart> prompt);

    /// Call when a server's connection was lost before it responded to such a request.
    void onConnectionLost(
        const Forwarding::ServerEntry &server, std::span<const Forwarding::PromptPart> prompt);

    /// Handles the reports of another instance.
    void onReports(
        const Base::InstanceName &from, std::span<const Forwarding::PromptReport> reports);

    /// Returns what an instance that has just started has to know.
    std::vector<Forwarding::PromptReport> knownReports() const;

private:
    void onServerCrashed(const Base::ServerName &server, std::span<const std::uint64_t> parts);
    std::vector<std::uint64_t> rejectingParts(std::span<const Forwarding::PromptPart> prompt);
    void announce();
    /// Returns false if there is no evidence.
    bool saveEvidence(std::uint64_t part, int failedTrials);
    void save(const std::vector<Forwarding::PromptReport> &reports);
    void renewStoredEvidence();
    void publish(const std::vector<Forwarding::PromptReport> &reports);
    void logTrial(std::span<const std::uint64_t> parts, std::string_view result);
    void logVerdict(const Forwarding::PromptReport &report, std::string_view source);

    Net::Reactor &m_reactor;
    PromptReportTransport &m_transport;
    QuarantineStore &m_store;
    const Logging::Logger &m_log;
    Forwarding::PromptQuarantine m_quarantine;
    ServerCrashDetector m_crashDetector;
    PromptTrials m_trials;
    /// When other instances were last told which parts are quarantined here.
    Base::Milliseconds m_announcedAt;
    /// Parts that the store has evidence against, as far as this instance knows, and when it was
    /// stored.
    std::map<std::uint64_t, Base::Milliseconds> m_storedParts;
};

} // namespace Carawaykeel::Ingress
