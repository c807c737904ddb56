#pragma once

#include <Carawaykeel/Platform/Row.h>

#include <optional>
#include <string>
#include <vector>

namespace Carawaykeel::Platform {

/// A row that changed; without a value it was removed.
struct RowChange
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t version = 0;
};

/// Follows the rows of one table. Calls come from the feed's own thread, one after another.
class ChangeListener
{
public:
    virtual ~ChangeListener() = default;

    /// All rows as of one moment; what is missing does not exist.
    virtual void onSnapshot(const std::vector<Row> &rows) = 0;
    /// Changes in their order.
    virtual void onChanges(const std::vector<RowChange> &changes) = 0;
    /// The service is reached no longer, or again.
    virtual void onReachabilityChanged(bool isReached) = 0;
};

} // namespace Carawaykeel::Platform
