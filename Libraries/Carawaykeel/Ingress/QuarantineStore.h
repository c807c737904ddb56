#pragma once

#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Forwarding/PromptReport.h>
#include <Carawaykeel/Platform/TableService.h>

#include <functional>
#include <map>
#include <vector>

namespace Carawaykeel::Ingress {

/// Keeps the evidence against prompt parts in the table service, so that it outlasts the loss of
/// all processes. Calls that fail are repeated until they succeed.
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

    /// Replaces the evidence against a part. Without evidence, the row is removed.
    void save(std::uint64_t part, Evidence evidence);

private:
    struct PendingWrite
    {
        Evidence evidence;
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
