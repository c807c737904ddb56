#pragma once

#include <Carawaykeel/Base/InstanceId.h>
#include <Carawaykeel/Forwarding/ServerPool.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Carawaykeel::Forwarding {

/// The row that names the only instance that may send requests to an incarnation of a server while
/// it is cold.
struct ColdPermitRow
{
    Base::InstanceId holder;
    std::int64_t serverStartedAt = 0;
    /// The holder sends nothing under the permit after this time, by the table's clock.
    std::int64_t expiresAt = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(holder, serverStartedAt, expiresAt);
    }
};

/// A row as it was read. Without a value, the row is absent.
struct ColdPermitRead
{
    std::optional<ColdPermitRow> row;
    /// The row exists but was written by another version of this program.
    bool isUnreadable = false;
    /// The table's clock; empty if the table does not report it.
    std::optional<Base::Milliseconds> tableNow;
    /// When the read was sent, by this instance's clock.
    Base::Milliseconds sentAt;
};

/// A row to read, and to write or remove afterwards.
struct ColdPermitTask
{
    ServerIncarnation server;
    /// False to remove the row because the server is warm.
    bool isClaim = false;
};

/// What to do after a row was read.
struct ColdPermitStep
{
    enum class Action { None, Write, Remove };

    Action action = Action::None;
    ColdPermitRow row;
    /// The permit that the write gives ends then, by this instance's clock.
    Base::Milliseconds validUntil;
    /// Another instance holds the permit.
    std::optional<Base::InstanceId> otherHolder;
    /// No earlier claim for the server was refused because of this holder.
    bool isNewRefusal = false;
};

/// Decides for which cold servers this instance asks for the permit, whether a row gives it, and
/// when rows are removed. One instance selected by hash asks for each server. A permit ends at a
/// time that its row states, and no row of another holder is replaced before that time, so there
/// are never two permits for a server at once.
class ColdPermits
{
public:
    /// A permit is valid for so much longer than its server's cold time as known at the claim.
    /// Later entries state ends that differ by their time on the way, at most 500 ms.
    static constexpr Base::Milliseconds ValidityMargin{1'000};
    /// A permit is claimed again when it is valid for less than this and its server is cold for
    /// longer: more than a read and a write take.
    static constexpr Base::Milliseconds RenewalLead{800};
    /// A call that failed or was denied is repeated after this time.
    static constexpr Base::Milliseconds RetryDelay{500};
    /// Attempts to remove a row. One that stays is replaced or removed when its server is cold
    /// again.
    static constexpr int MaxRemovals = 20;

    explicit ColdPermits(Base::InstanceId self)
        : m_self(std::move(self))
    {
    }

    /// Returns true while update() would return nothing.
    bool isIdle(const ServerPool &serverPool, Base::Milliseconds now) const
    {
        return m_permits.empty() && serverPool.neededColdServers(now).empty();
    }

    /// Returns the calls to make now. `liveMembers` are the instances that may hold permits, this
    /// one included; nothing is claimed while it is empty. Call periodically.
    std::vector<ColdPermitTask> update(ServerPool &serverPool,
        std::span<const Base::InstanceId> liveMembers, Base::Milliseconds now);

    /// Decides what to do with the row of a task.
    ColdPermitStep onRead(
        const ColdPermitTask &task, const ColdPermitRead &read, Base::Milliseconds now);
    /// Records that a task has ended. `isDone` is true if the write of the claim was committed, or
    /// the row to remove is gone.
    void onTaskEnded(const ColdPermitTask &task, const ColdPermitStep &step, bool isDone,
        Base::Milliseconds now);

    /// Returns the number of permits that this instance holds.
    std::size_t heldCount(Base::Milliseconds now) const;

private:
    struct Permit
    {
        ServerIncarnation server;
        /// This instance holds the permit until then.
        Base::Milliseconds validUntil;
        Base::Milliseconds remainingColdTime;
        Base::Milliseconds nextCallAt;
        std::optional<Base::InstanceId> refusedBy;
        int removals = 0;
        /// A row of this instance may exist.
        bool mayHaveRow = false;
        bool isCallPending = false;
    };

    bool isSelected(
        const Base::ServerName &server, std::span<const Base::InstanceId> liveMembers) const;
    static bool isRenewalDue(const Permit &permit, Base::Milliseconds now);
    ColdPermitStep decideClaim(
        const Permit &permit, const ColdPermitRead &read, Base::Milliseconds now) const;

    const Base::InstanceId m_self;
    /// The cold servers that were needed, by name, until their rows are gone.
    std::map<Base::ServerName, Permit> m_permits;
};

} // namespace Carawaykeel::Forwarding
