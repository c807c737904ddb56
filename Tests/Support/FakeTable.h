#pragma once

#include <Carawaykeel/Platform/TableService.h>
#include <Support/Mutation.h>
#include <Support/VirtualWorld.h>

#include <map>
#include <set>
#include <string>

namespace Carawaykeel::Tests {

/// The platform's table, with its faults. Instances reach it through FakeTableClient.
class FakeTable
{
public:
    explicit FakeTable(VirtualWorld &world)
        : m_world(world)
    {
    }

    /// Applies a transaction now.
    Platform::CommitReply apply(const Platform::Transaction &transaction);

    std::optional<Platform::Row> find(const std::string &key) const;
    std::vector<Platform::Row> range(const std::string &prefix) const;

    /// The table's own steady clock, which is ahead of every instance's.
    Base::Milliseconds clock() const
    {
        const Base::Milliseconds start(1'000'000);
        return mutation == Mutation::StoppedClock ? start : start + m_world.now();
    }

    bool reaches(const std::string &client) const
    {
        return !isDown && !disconnectedClients.contains(client);
    }

    bool isDown = false;
    /// Names of instances that are cut off.
    std::set<std::string> disconnectedClients;
    /// How likely the answer to a commit is lost after its effect.
    double replyLoss = 0;
    /// How likely a commit takes effect long after its answer was given up.
    double lateCommit = 0;
    /// How likely a commit is turned away before it is looked at.
    double refusal = 0;
    Base::Milliseconds extraDelay;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    Mutation mutation = Mutation::None;

private:
    bool ignoresVersion(const std::string &key) const;

    VirtualWorld &m_world;
    std::map<std::string, Platform::Row> m_rows;
    std::uint64_t m_version = 0;
};

/// One instance's way to the table. Answers are given to the deliver function, which runs them on
/// the instance's own schedule.
class FakeTableClient : public Platform::TableService
{
public:
    FakeTableClient(VirtualWorld &world, FakeTable &table, std::string client,
        std::function<void(std::function<void()>)> deliver);

    void readRows(
        std::vector<std::string> keys, std::function<void(Platform::RowsReply)> answer) override;
    void readRange(std::string prefix, std::function<void(Platform::RangeReply)> answer) override;
    void commit(Platform::Transaction transaction,
        std::function<void(Platform::CommitReply)> answer) override;

private:
    template <typename Reply>
    void call(std::function<Reply()> effect, std::function<void(Reply)> answer, bool isWrite);
    Base::Milliseconds drawDelay();

    VirtualWorld &m_world;
    FakeTable &m_table;
    const std::string m_client;
    std::function<void(std::function<void()>)> m_deliver;
};

} // namespace Carawaykeel::Tests
