#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Carawaykeel::Platform {

/// The version that a row has while it does not exist.
inline constexpr std::uint64_t AbsentVersion = 0;

/// One conditional write. It takes effect only if the row has the expected version. Without a value
/// the row is deleted.
struct RowWrite
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t expectedVersion = AbsentVersion;
};

/// Writes that take effect all together or not at all.
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
    /// A row had another version, so nothing was done.
    Conflict,
    /// The service turned the call away before it looked at the rows; nothing was done.
    Refused,
    /// The answer was lost, so it may have taken effect, may still, or may never.
    Unknown,
};

/// The word for an outcome in logs.
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

/// The answer to a commit. When committed, all written rows have this version.
struct CommitReply
{
    CommitOutcome outcome = CommitOutcome::Unknown;
    std::uint64_t version = AbsentVersion;
};

} // namespace Carawaykeel::Platform
