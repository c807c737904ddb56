#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Carawaykeel::Platform {

/// The version of a row that does not exist.
inline constexpr std::uint64_t AbsentVersion = 0;

/// One conditional write, applied only if the row has the expected version. A write without a value
/// deletes the row.
struct RowWrite
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t expectedVersion = AbsentVersion;
};

/// Writes that are applied atomically.
struct Transaction
{
    std::vector<RowWrite> writes;

    /// Returns the number of bytes of all keys and values.
    std::size_t byteCount() const
    {
        std::size_t n = 0;
        for (const auto &write : writes)
            n += write.key.size() + (write.value ? write.value->size() : 0);
        return n;
    }

    void put(std::string key, std::string value, std::uint64_t expectedVersion)
    {
        writes.push_back(RowWrite{std::move(key), std::move(value), expectedVersion});
    }
    void remove(std::string key, std::uint64_t expectedVersion)
    {
        writes.push_back(RowWrite{std::move(key), std::nullopt, expectedVersion});
    }
};

/// What the table service takes in one call. Without limits by default.
struct TransactionLimits
{
    std::size_t maxWrites = std::numeric_limits<std::size_t>::max();
    /// Maximum number of bytes of all keys and values.
    std::size_t maxBytes = std::numeric_limits<std::size_t>::max();
    /// Maximum number of bytes of one key and value.
    std::size_t maxRowBytes = 0;

    bool isExceededBy(const Transaction &transaction) const
    {
        return transaction.writes.size() > maxWrites || transaction.byteCount() > maxBytes;
    }

    /// Returns true if the transaction can take another row of any size.
    bool hasRoomIn(const Transaction &transaction) const
    {
        return transaction.writes.size() < maxWrites
            && transaction.byteCount() + maxRowBytes <= maxBytes;
    }
};

/// How a transaction ended.
enum class CommitOutcome {
    Committed,
    /// A row did not have the expected version; nothing was written.
    Conflict,
    /// The service rejected the call before it checked any row; nothing was written.
    Refused,
    /// No reply was received; the writes may have been applied, may be applied later, or never.
    Unknown,
};

/// Returns the name of an outcome for logs.
inline std::string_view commitOutcomeName(CommitOutcome outcome)
{
    switch (outcome) {
    case CommitOutcome::Committed:
        return "committed";
    case CommitOutcome::Conflict:
        return "conflict";
    case CommitOutcome::Refused:
        return "refused";
    case CommitOutcome::Unknown:
        break;
    }
    return "unknown";
}

/// The reply to a commit. When committed, all written rows have this version.
struct CommitReply
{
    CommitOutcome outcome = CommitOutcome::Unknown;
    std::uint64_t version = AbsentVersion;
};

} // namespace Carawaykeel::Platform
