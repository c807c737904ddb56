#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Platform/Row.h>
#include <Carawaykeel/Platform/Transaction.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Carawaykeel::Platform {

/// The reply to a read of rows by key: one element for each key, in the order of the keys, empty
/// for absent rows. When the service was unreachable, `rows` is empty.
struct RowsReply
{
    bool isReachable = false;
    std::vector<std::optional<Row>> rows;
    /// The service's steady clock at the time of the read, if the service reports it.
    std::optional<Base::Milliseconds> serviceNow;
};

/// The reply to a read of all rows whose keys start with a prefix, in the order of their keys.
struct RangeReply
{
    bool isReachable = false;
    std::vector<Row> rows;
    /// The service's steady clock at the time of the read, if the service reports it.
    std::optional<Base::Milliseconds> serviceNow;
};

/// The platform's transactional table service. Each call invokes its callback exactly once, on the
/// scheduler's thread, after a bounded time.
class TableService
{
public:
    virtual ~TableService() = default;

    /// Reads rows by key, all at one point in time.
    virtual void readRows(
        std::vector<std::string> keys, std::function<void(RowsReply)> callback) = 0;

    /// Reads all rows whose keys start with a prefix, all at one point in time.
    virtual void readRange(std::string prefix, std::function<void(RangeReply)> callback) = 0;

    /// Returns what one commit may contain.
    virtual TransactionLimits transactionLimits() const { return {}; }

    /// Commits a transaction within the limits if all its rows have the expected versions.
    virtual void commit(Transaction transaction, std::function<void(CommitReply)> callback) = 0;
};

} // namespace Carawaykeel::Platform
