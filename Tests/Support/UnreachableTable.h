#pragma once

#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Platform/TableService.h>

#include <functional>
#include <string>
#include <vector>

namespace Carawaykeel::Tests {

/// A table service that cannot be reached.
class UnreachableTable : public Platform::TableService
{
public:
    explicit UnreachableTable(Base::Scheduler &scheduler)
        : m_scheduler(scheduler)
    {
    }

    void readRows(
        std::vector<std::string>, std::function<void(Platform::RowsReply)> callback) override
    {
        m_scheduler.schedule(Base::Milliseconds(), [callback] { callback({}); });
    }
    void readRange(std::string, std::function<void(Platform::RangeReply)> callback) override
    {
        m_scheduler.schedule(Base::Milliseconds(), [callback] { callback({}); });
    }
    void commit(Platform::Transaction, std::function<void(Platform::CommitReply)> callback) override
    {
        m_scheduler.schedule(Base::Milliseconds(), [callback] { callback({}); });
    }

private:
    Base::Scheduler &m_scheduler;
};

} // namespace Carawaykeel::Tests
