#include <Carawaykeel/Ingress/QuarantineStore.h>

#include <Carawaykeel/Platform/RowCodec.h>

#include <algorithm>
#include <fmt/core.h>
#include <optional>
#include <random>
#include <utility>

namespace Carawaykeel::Ingress {

namespace {

constexpr std::string_view KeyPrefix = "quarantine/";
constexpr Base::Milliseconds MinRetryDelay{200};
constexpr Base::Milliseconds MaxRetryDelay{2'000};
constexpr Base::Milliseconds MinTrialDelay{2'000};
constexpr Base::Milliseconds MaxTrialDelay{600'000};
/// A failed trial crashes a server, so that the delay grows fast.
constexpr std::int64_t TrialDelayFactor = 15;

/// The evidence against one prompt part.
struct QuarantineRow
{
    QuarantineStore::Evidence evidence;
    /// By the table's clock; zero if the table does not report it.
    std::int64_t writtenAt = 0;
    /// When the part was quarantined or last tried, by the table's clock.
    std::int64_t triedAt = 0;
    bool hasSeparateCrashes = false;
    std::int32_t failedTrials = 0;

    QuarantineGrounds grounds() const { return {hasSeparateCrashes, failedTrials}; }

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(evidence, writtenAt, triedAt, hasSeparateCrashes, failedTrials);
    }
};

std::string rowKey(std::uint64_t part)
{
    return fmt::format("{}{:016x}", KeyPrefix, part);
}

/// Rows without a time do not expire.
bool isExpired(const QuarantineRow &row, const std::optional<Base::Milliseconds> &tableNow)
{
    return row.writtenAt > 0 && tableNow
        && tableNow->count() - row.writtenAt > QuarantineStore::Lifetime.count();
}

/// Returns nothing for a row of another version of this program; the part is found again.
std::optional<QuarantineRow> tryDecode(const Platform::Row &row)
{
    auto outcome = Base::toOutcome<QuarantineRow>(
        [&] { return Platform::tryDecodeRow<QuarantineRow>(row.value); });
    auto *decoded = std::get_if<QuarantineRow>(&outcome);
    if (!decoded || decoded->evidence.empty())
        return std::nullopt;
    return std::move(*decoded);
}

std::int64_t toCount(const std::optional<Base::Milliseconds> &time)
{
    return time.value_or(Base::Milliseconds()).count();
}

} // namespace

QuarantineStore::QuarantineStore(
    Platform::TableService &table, Base::Scheduler &scheduler, Base::RandomEngine &random)
    : m_table(table)
    , m_scheduler(scheduler)
    , m_random(random)
    , m_loadBackoff(MinRetryDelay, MaxRetryDelay)
{
}

void QuarantineStore::load(std::function<void(const Evidence &)> callback)
{
    m_table.readRange(std::string(KeyPrefix),
        [this, callback = std::move(callback)](const Platform::RangeReply &reply) {
            if (!reply.isReachable) {
                m_scheduler.schedule(
                    m_loadBackoff.nextDelay(m_random), [this, callback] { load(callback); });
                return;
            }
            Evidence evidence;
            for (const auto &row : reply.rows) {
                const auto decoded = tryDecode(row);
                if (!decoded)
                    continue;
                if (isExpired(*decoded, reply.serviceNow)) {
                    save(decoded->evidence.front().part, {});
                    continue;
                }
                evidence.insert(evidence.end(), decoded->evidence.begin(), decoded->evidence.end());
            }
            callback(evidence);
        });
}

void QuarantineStore::save(std::uint64_t part, Evidence evidence, const QuarantineGrounds &grounds)
{
    const auto generation = ++m_lastGeneration;
    auto &pending = m_pendingWrites[part];
    pending.evidence = std::move(evidence);
    pending.generation = generation;
    // A write that is superseded before it was made still counts.
    pending.addedGrounds.hasSeparateCrashes |= grounds.hasSeparateCrashes;
    pending.addedGrounds.failedTrials += grounds.failedTrials;
    write(part, generation);
}

Base::Milliseconds QuarantineStore::trialDelay(const QuarantineGrounds &grounds)
{
    auto delay = MinTrialDelay;
    const int steps = std::max(grounds.failedTrials, grounds.hasSeparateCrashes ? 1 : 0);
    for (int n = 0; n < steps && delay < MaxTrialDelay; ++n)
        delay = Base::Milliseconds(delay.count() * TrialDelayFactor);
    return std::min(delay, MaxTrialDelay);
}

void QuarantineStore::claimTrial(
    std::uint64_t part, std::function<void(const TrialClaim &)> callback)
{
    m_table.readRows({rowKey(part)},
        [this, part, callback = std::move(callback)](const Platform::RowsReply &reply) {
            const bool hasRow = reply.isReachable && reply.serviceNow && reply.rows.front();
            auto decoded = hasRow ? tryDecode(*reply.rows.front()) : std::nullopt;
            if (!decoded)
                return callback({false, !reply.isReachable, MinTrialDelay});
            const Base::Milliseconds elapsed(reply.serviceNow->count() - decoded->triedAt);
            const auto delay = trialDelay(decoded->grounds());
            if (elapsed < delay)
                return callback({false, true, delay - elapsed});
            decoded->triedAt = reply.serviceNow->count();
            Platform::Transaction transaction;
            transaction.put(
                rowKey(part), Platform::encodeRow(*decoded), reply.rows.front()->version);
            m_table.commit(
                std::move(transaction), [callback, delay](const Platform::CommitReply &commit) {
                    const bool isGranted = commit.outcome == Platform::CommitOutcome::Committed;
                    callback({isGranted, true, delay});
                });
        });
}

void QuarantineStore::write(std::uint64_t part, std::uint64_t generation)
{
    const auto it = m_pendingWrites.find(part);
    if (it == m_pendingWrites.end() || it->second.generation != generation)
        return;
    // The read returns the row's version and the table's clock.
    m_table.readRows({rowKey(part)}, [this, part, generation](const Platform::RowsReply &reply) {
        const auto pending = m_pendingWrites.find(part);
        if (pending == m_pendingWrites.end() || pending->second.generation != generation)
            return;
        if (!reply.isReachable)
            return writeLater(part, generation);
        const auto &row = reply.rows.front();
        const auto version = row ? row->version : Platform::AbsentVersion;
        Platform::Transaction transaction;
        if (!pending->second.evidence.empty()) {
            const auto &added = pending->second.addedGrounds;
            const auto now = toCount(reply.serviceNow);
            auto next = row ? tryDecode(*row).value_or(QuarantineRow()) : QuarantineRow();
            next.evidence = pending->second.evidence;
            next.writtenAt = now;
            if (next.triedAt == 0 || added.failedTrials > 0)
                next.triedAt = now;
            next.hasSeparateCrashes |= added.hasSeparateCrashes;
            next.failedTrials += added.failedTrials;
            transaction.put(rowKey(part), Platform::encodeRow(next), version);
        } else if (row) {
            transaction.remove(rowKey(part), version);
        } else {
            m_pendingWrites.erase(pending);
            return;
        }
        m_table.commit(
            std::move(transaction), [this, part, generation](const Platform::CommitReply &commit) {
                const auto written = m_pendingWrites.find(part);
                if (written == m_pendingWrites.end() || written->second.generation != generation)
                    return;
                if (commit.outcome != Platform::CommitOutcome::Committed)
                    return writeLater(part, generation);
                m_pendingWrites.erase(written);
            });
    });
}

void QuarantineStore::writeLater(std::uint64_t part, std::uint64_t generation)
{
    std::uniform_int_distribution<std::int64_t> delay(MinRetryDelay.count(), MaxRetryDelay.count());
    m_scheduler.schedule(
        Base::Milliseconds(delay(m_random)), [this, part, generation] { write(part, generation); });
}

} // namespace Carawaykeel::Ingress
