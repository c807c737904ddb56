#pragma once

#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Forwarding/PromptReport.h>
#include <Carawaykeel/Platform/TableService.h>

#include <functional>
#include <map>
#include <vector>

namespace Carawaykeel::Ingress {

/// What is stored of a prompt part beside the reports.
struct QuarantineGrounds
{
    /// No common cause of the crashes is likely, see PromptQuarantine::hasSeparateCrashes().
    bool hasSeparateCrashes = false;
    /// Trial requests that were lost with their connection.
    int failedTrials = 0;
};

/// The reply to an instance that wants to send a trial request.
struct TrialClaim
{
    bool isGranted = false;
    /// False if the table service has no evidence against the part.
    bool isPartStored = false;
    /// When to ask again, if it was not granted.
    Base::Milliseconds retryIn;
};

/// Keeps the evidence against prompt parts in the table service, so that it outlasts the loss of
/// all processes, and lets one instance at a time try a quarantined part. Calls that fail are
/// repeated until they succeed, except claims.
class QuarantineStore
{
public:
    using Evidence = std::vector<Forwarding::PromptReport>;

    /// Rows that were written longer ago than this, by the table's clock, are not loaded.
    static constexpr Base::Milliseconds Lifetime{600'000};

    QuarantineStore(
        Platform::TableService &table, Base::Scheduler &scheduler, Base::RandomEngine &random);

    /// Reads all evidence, once the table service is reachable.
    void load(std::function<void(const Evidence &)> callback);

    /// Replaces the evidence against a part and adds to the grounds. Without evidence, the row is
    /// removed.
    void save(std::uint64_t part, Evidence evidence, const QuarantineGrounds &grounds = {});

    /// Returns the time between the quarantine or the last trial and the next trial.
    static Base::Milliseconds trialDelay(const QuarantineGrounds &grounds);

    /// Asks for permission to send one request with a quarantined part. Among all instances, one
    /// gets it, once the delay has passed by the table's clock. Without the table service, none
    /// does.
    void claimTrial(std::uint64_t part, std::function<void(const TrialClaim &)> callback);

private:
    struct PendingWrite
    {
        Evidence evidence;
        QuarantineGrounds addedGrounds;
        /// Evidence that was saved later supersedes a write that is still being repeated.
        std::uint64_t generation = 0;
    };

    void write(std::uint64_t part, std::uint64_t generation);
    void writeLater(std::uint64_t part, std::uint64_t generation);

    Platform::TableService &m_table;
    Base::Scheduler &m_scheduler;
    Base::RandomEngine &m_random;
    Base::ExponentialBackoff m_loadBackoff;
    std::map<std::uint64_t, PendingWrite> m_pendingWrites;
    std::uint64_t m_lastGeneration = 0;
};

} // namespace Carawaykeel::Ingress
