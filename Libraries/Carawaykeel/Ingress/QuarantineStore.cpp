#include <Carawaykeel/Ingress/QuarantineStore.h>

#include <Carawaykeel/Platform/RowCodec.h>

#include <fmt/core.h>
#include <random>
#include <utility>

namespace Carawaykeel::Ingress {

namespace {

constexpr std::string_view KeyPrefix = "quarantine/";
constexpr Base::Milliseconds MinRetryDelay{200};
constexpr Base::Milliseconds MaxRetryDelay{2'000};

/// The evidence against one prompt part.
struct QuarantineRow
{
    QuarantineStore::Evidence evidence;
    /// By the table's clock; zero if the table does not report it.
    std::int64_t writtenAt = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(evidence, writtenAt);
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
                auto outcome = Base::toOutcome<QuarantineRow>(
                    [&] { return Platform::tryDecodeRow<QuarantineRow>(row.value); });
                // A row of another version of this program is left out; the part is found again.
                const auto *decoded = std::get_if<QuarantineRow>(&outcome);
                if (!decoded || decoded->evidence.empty())
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

void QuarantineStore::save(std::uint64_t part, Evidence evidence)
{
    const auto generation = ++m_lastGeneration;
    m_pendingWrites[part] = {std::move(evidence), generation};
    write(part, generation);
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
            transaction.put(rowKey(part),
                Platform::encodeRow(
                    QuarantineRow{pending->second.evidence, toCount(reply.serviceNow)}),
                version);
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
