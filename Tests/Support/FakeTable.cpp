#include <Support/FakeTable.h>

namespace Carawaykeel::Tests {

namespace {

/// A client reports a call without a reply as unreachable after this time.
constexpr Base::Milliseconds ReplyTimeout{1'000};
/// Time until a client that cannot reach the table reports this.
constexpr Base::Milliseconds UnreachableDelay{50};

} // namespace

bool FakeTable::ignoresVersion(const std::string &key) const
{
    switch (mutation) {
    case Mutation::UnconditionalLedger:
        return key.starts_with("grant/") || key.starts_with("budget/")
            || key.starts_with("allotment/");
    case Mutation::UnconditionalClaims:
        return key.starts_with("claim/");
    case Mutation::UnconditionalConfiguration:
        return key.starts_with("configuration/");
    default:
        return false;
    }
}

Platform::CommitReply FakeTable::apply(const Platform::Transaction &transaction)
{
    for (const auto &write : transaction.writes) {
        const auto it = m_rows.find(write.key);
        if ((it == m_rows.end() ? Platform::AbsentVersion : it->second.version)
                != write.expectedVersion
            && !ignoresVersion(write.key))
            return {Platform::CommitOutcome::Conflict, 0};
    }
    ++m_version;
    for (const auto &write : transaction.writes) {
        const bool isDuplicateBill =
            mutation == Mutation::DuplicateBills && write.key.starts_with("bill/");
        const auto key = isDuplicateBill ? write.key + "#" + std::to_string(m_version) : write.key;
        if (write.value) {
            m_rows[key] = {key, *write.value, m_version};
        } else {
            m_rows.erase(write.key);
        }
    }
    return {Platform::CommitOutcome::Committed, m_version};
}

std::optional<Platform::Row> FakeTable::find(const std::string &key) const
{
    const auto it = m_rows.find(key);
    return it == m_rows.end() ? std::nullopt : std::optional(it->second);
}

std::vector<Platform::Row> FakeTable::range(const std::string &prefix) const
{
    std::vector<Platform::Row> rows;
    for (auto it = m_rows.lower_bound(prefix); it != m_rows.end() && it->first.starts_with(prefix);
         ++it)
        rows.push_back(it->second);
    return rows;
}

FakeTableClient::FakeTableClient(VirtualWorld &world, FakeTable &table, std::string client,
    std::function<void(std::function<void()>)> deliver)
    : m_world(world)
    , m_table(table)
    , m_client(std::move(client))
    , m_deliver(std::move(deliver))
{
}

Base::Milliseconds FakeTableClient::drawDelay()
{
    return Base::Milliseconds(m_world.draw(1, 4)) + m_table.extraDelay;
}

template <typename Reply>
void FakeTableClient::call(
    std::function<Reply()> effect, std::function<void(Reply)> callback, bool isWrite)
{
    // The client may be destroyed, with its instance, before the reply arrives, so the tasks hold
    // no reference to it.
    const auto sendReply = [deliver = m_deliver, callback](Reply reply) {
        deliver([callback, reply = std::move(reply)] { callback(reply); });
    };
    if (!m_table.isReachableFrom(m_client))
        return m_world.schedule(UnreachableDelay, [sendReply] { sendReply(Reply()); });
    const bool isCommitLate = isWrite && m_world.happens(m_table.lateCommit);
    const bool isReplyLost = isWrite && m_world.happens(m_table.replyLoss);
    if (isCommitLate) {
        m_world.schedule(
            ReplyTimeout + Base::Milliseconds(m_world.draw(0, 5'000)), [effect] { effect(); });
        return m_world.schedule(ReplyTimeout, [sendReply] { sendReply(Reply()); });
    }
    const auto wait = isReplyLost ? ReplyTimeout : drawDelay();
    m_world.schedule(drawDelay(),
        [&world = m_world, &table = m_table, client = m_client, effect, sendReply, isReplyLost,
            wait] {
            auto reply = effect();
            if (isReplyLost || !table.isReachableFrom(client))
                reply = Reply();
            world.schedule(wait, [sendReply, reply = std::move(reply)] { sendReply(reply); });
        });
}

void FakeTableClient::readRows(
    std::vector<std::string> keys, std::function<void(Platform::RowsReply)> callback)
{
    call<Platform::RowsReply>(
        [&table = m_table, keys = std::move(keys)] {
            ++table.reads;
            Platform::RowsReply reply{true, {}, table.clock()};
            for (const auto &key : keys)
                reply.rows.push_back(table.find(key));
            return reply;
        },
        std::move(callback), false);
}

void FakeTableClient::readRange(
    std::string prefix, std::function<void(Platform::RangeReply)> callback)
{
    call<Platform::RangeReply>(
        [&table = m_table, prefix = std::move(prefix)] {
            ++table.reads;
            return Platform::RangeReply{true, table.range(prefix), table.clock()};
        },
        std::move(callback), false);
}

void FakeTableClient::commit(
    Platform::Transaction transaction, std::function<void(Platform::CommitReply)> callback)
{
    if (m_table.isReachableFrom(m_client) && m_table.refusal > 0
        && m_world.happens(m_table.refusal)) {
        return call<Platform::CommitReply>(
            [] {
                return Platform::CommitReply{Platform::CommitOutcome::Refused, 0};
            },
            std::move(callback), false);
    }
    call<Platform::CommitReply>(
        [&table = m_table, transaction = std::move(transaction)] {
            ++table.writes;
            if (table.limits.isExceededBy(transaction)) {
                // Like the platform, whose response tells no more than that the call was bad.
                ++table.oversizedCalls;
                return Platform::CommitReply();
            }
            return table.apply(transaction);
        },
        std::move(callback), true);
}

} // namespace Carawaykeel::Tests
