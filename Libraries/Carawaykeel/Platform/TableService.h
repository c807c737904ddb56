#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Platform/Row.h>
#include <Carawaykeel/Platform/Transaction.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Carawaykeel::Platform {

/// The answer to a read of named rows: in the order asked, absent ones empty. When the service was
/// not reached, rows is empty.
struct RowsReply
{
    bool isReachable = false;
    std::vector<std::optional<Row>> rows;
    /// The service's steady clock at the read, where it tells it.
    std::optional<Base::Milliseconds> serviceNow;
};

/// The answer to a read of all rows whose keys begin with a prefix, in the order of their keys.
struct RangeReply
{
    bool isReachable = false;
    std::vector<Row> rows;
    /// The service's steady clock at the read, where it tells it.
    std::optional<Base::Milliseconds> serviceNow;
};

/// The platform's transactional table service. Each call answers exactly once, on the scheduler's
/// thread, after a bounded time.
class TableService
{
public:
    virtual ~TableService() = default;

    /// Reads rows as of one moment.
    virtual void readRows(std::vector<std::string> keys, std::function<void(RowsReply)> answer) = 0;

    /// Reads the rows under a prefix as of one moment.
    virtual void readRange(std::string prefix, std::function<void(RangeReply)> answer) = 0;

    /// Commits a conditional transaction.
    virtual void commit(Transaction transaction, std::function<void(CommitReply)> answer) = 0;
};

} // namespace Carawaykeel::Platform
