#pragma once

#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Platform/TableService.h>

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Carawaykeel::Tests {

/// A table service in the memory of the test, which replies at once.
class MemoryTable : public Platform::TableService
{
public:
    explicit MemoryTable(Base::Scheduler &scheduler)
        : m_scheduler(scheduler)
    {
    }

    void readRows(
        std::vector<std::string> keys, std::function<void(Platform::RowsReply)> callback) override
    {
        Platform::RowsReply reply{true, {}, clock()};
        for (const auto &key : keys) {
            const auto it = m_rows.find(key);
            reply.rows.push_back(it == m_rows.end() ? std::nullopt : std::optional(it->second));
        }
        replyLater(std::move(callback), std::move(reply));
    }

    void readRange(std::string prefix, std::function<void(Platform::RangeReply)> callback) override
    {
        Platform::RangeReply reply{true, {}, clock()};
        for (const auto &[key, row] : m_rows) {
            if (key.starts_with(prefix))
                reply.rows.push_back(row);
        }
        replyLater(std::move(callback), std::move(reply));
    }

    void commit(Platform::Transaction transaction,
        std::function<void(Platform::CommitReply)> callback) override
    {
        for (const auto &write : transaction.writes) {
            const auto it = m_rows.find(write.key);
            const auto version = it == m_rows.end() ? Platform::AbsentVersion : it->second.version;
            if (version != write.expectedVersion) {
                return replyLater(std::move(callback),
                    Platform::CommitReply{Platform::CommitOutcome::Conflict, 0});
            }
        }
        ++m_version;
        for (const auto &write : transaction.writes) {
            if (write.value) {
                m_rows[write.key] = {write.key, *write.value, m_version};
            } else {
                m_rows.erase(write.key);
            }
        }
        replyLater(std::move(callback),
            Platform::CommitReply{Platform::CommitOutcome::Committed, m_version});
    }

private:
    Base::Milliseconds clock() const { return m_scheduler.now() + Base::Milliseconds(1'000'000); }

    template <typename Reply>
    void replyLater(std::function<void(Reply)> callback, Reply reply)
    {
        m_scheduler.schedule(Base::Milliseconds(),
            [callback = std::move(callback), reply = std::move(reply)] { callback(reply); });
    }

    Base::Scheduler &m_scheduler;
    std::map<std::string, Platform::Row> m_rows;
    std::uint64_t m_version = 0;
};

} // namespace Carawaykeel::Tests
