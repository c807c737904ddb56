#pragma once

#include <cstdint>
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

    void put(std::string key, std::string value, std::uint64_t expectedVersion)
    {
        writes.push_back(RowWrite{std::move(key), std::move(value), expectedVersion});
    }
    void remove(std::string key, std::uint64_t expectedVersion)
    {
        writes.push_back(RowWrite{std::move(key), std::nullopt, expectedVersion});
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
