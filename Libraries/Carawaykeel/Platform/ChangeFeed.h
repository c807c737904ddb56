#pragma once

#include <Carawaykeel/Platform/Row.h>

#include <optional>
#include <string>
#include <vector>

namespace Carawaykeel::Platform {

/// A changed row; a row without a value was deleted.
struct RowChange
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t version = 0;
};

/// Receives the changes of one table's rows. Called from the feed's own thread, one call at a time.
class ChangeListener
{
public:
    virtual ~ChangeListener() = default;

    /// All rows as of a version of the table; rows that are not listed did not exist then. A row
    /// may be of a later version.
    virtual void onSnapshot(const std::vector<Row> &rows, std::uint64_t version) = 0;
    /// Changes in the order in which they were committed.
    virtual void onChanges(const std::vector<RowChange> &changes) = 0;
    /// The table service has become unreachable, or reachable again.
    virtual void onReachabilityChanged(bool isReachable) = 0;
};

} // namespace Carawaykeel::Platform
