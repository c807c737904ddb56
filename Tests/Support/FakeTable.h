#pragma once

#include <Carawaykeel/Platform/TableService.h>
#include <Support/Mutation.h>
#include <Support/VirtualWorld.h>

#include <map>
#include <set>
#include <string>

namespace Carawaykeel::Tests {

/// The platform's table service with injected faults. Instances use it through FakeTableClient.
class FakeTable
{
public:
    explicit FakeTable(VirtualWorld &world)
        : m_world(world)
    {
    }

    /// Applies a transaction immediately and returns its outcome.
    Platform::CommitReply apply(const Platform::Transaction &transaction);

    std::optional<Platform::Row> find(const std::string &key) const;
    std::vector<Platform::Row> range(const std::string &prefix) const;

    /// Returns the table's own steady clock, which is ahead of the clocks of all instances.
    Base::Milliseconds clock() const
    {
        const Base::Milliseconds start(1'000'000);
        return mutation == Mutation::StoppedClock ? start : start + m_world.now();
    }

    bool isReachableFrom(const std::string &client) const
    {
        return !isDown && !disconnectedClients.contains(client);
    }

    bool isDown = false;
    /// Names of the instances that cannot reach the table.
    std::set<std::string> disconnectedClients;
    /// Probability that the reply to a commit is lost after the commit has taken effect.
    double replyLoss = 0;
    /// Probability that a commit takes effect only after its client has timed out.
    double lateCommit = 0;
    /// Probability that a commit is refused before its expected versions are compared.
    double refusal = 0;
    /// Added to the delay of every call and of its reply.
    Base::Milliseconds extraDelay;
    /// What one commit may contain. Calls with more are refused and counted.
    Platform::TransactionLimits limits;
    std::uint64_t oversizedCalls = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    Mutation mutation = Mutation::None;

private:
    bool ignoresVersion(const std::string &key) const;

    VirtualWorld &m_world;
    std::map<std::string, Platform::Row> m_rows;
    std::uint64_t m_version = 0;
};

/// The table service as one instance uses it. Replies are passed to `deliver`, which runs them with
/// the instance's own scheduler.
class FakeTableClient : public Platform::TableService
{
public:
    FakeTableClient(VirtualWorld &world, FakeTable &table, std::string client,
        std::function<void(std::function<void()>)> deliver);

    void readRows(
        std::vector<std::string> keys, std::function<void(Platform::RowsReply)> callback) override;
    void readRange(std::string prefix, std::function<void(Platform::RangeReply)> callback) override;
    Platform::TransactionLimits transactionLimits() const override { return m_table.limits; }
    void commit(Platform::Transaction transaction,
        std::function<void(Platform::CommitReply)> callback) override;

private:
    template <typename Reply>
    void call(std::function<Reply()> effect, std::function<void(Reply)> callback, bool isWrite);
    Base::Milliseconds drawDelay();

    VirtualWorld &m_world;
    FakeTable &m_table;
    const std::string m_client;
    std::function<void(std::function<void()>)> m_deliver;
};

} // namespace Carawaykeel::Tests
