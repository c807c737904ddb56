#pragma once

#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Ingress/ResidentMemory.h>
#include <Carawaykeel/Logging/Logger.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace Carawaykeel::Ingress {

/// What a buffer holds. When memory is short, buffers are given up in the order of the kinds; those
/// of the last kind are kept.
enum class BufferKind : std::uint8_t {
    /// A server's response that is not complete, or an event of it.
    Response,
    /// A caller's request that is not complete.
    Request,
    /// A response that a slow caller has not taken.
    UnsentResponse,
    /// Bytes without which a request in progress or another instance would fail.
    Other,
};

/// Returns the name of a kind for logs and metrics.
std::string_view nameOf(BufferKind kind);

/// Owns a buffer that can be given up.
class BufferOwner
{
public:
    virtual ~BufferOwner() = default;

    /// Gives the buffer up with the exchange or connection that it belongs to.
    virtual void onBufferReclaimed(BufferKind kind) = 0;
};

class HeldBuffer;

/// Counts the bytes that an instance holds for callers, servers and other instances, and gives up
/// buffers when they exceed a limit: first those of callers that held most for longest without
/// progress, then responses of the server whose responses occupy most. The limit is lowered while
/// the process occupies more memory than it may.
class BufferAccount
{
public:
    /// Smaller buffers are not given up, since that would free little.
    static constexpr std::size_t MinReclaimedBytes = 65'536;
    /// The same for callers' buffers, of which there may be thousands.
    static constexpr std::size_t MinReclaimedCallerBytes = 2'048;
    /// A caller whose connection made no progress for this long counts as stalled. Ordinary callers
    /// send a request in one go; several times the round trip between data centres.
    static constexpr Base::Milliseconds StallTime{250};

    BufferAccount(std::size_t limit, Base::Scheduler &scheduler, const Logging::Logger &log);

    BufferAccount(const BufferAccount &) = delete;
    BufferAccount &operator=(const BufferAccount &) = delete;

    /// Steers the limit by the memory of the process: while it occupies more than `maxBytes`, the
    /// limit is lowered by the excess. The memory must outlive the account.
    void setResidentMemory(ResidentMemory &memory, std::size_t maxBytes);

    /// Measures the memory of the process. The account does so by itself while it changes.
    void measure();

    /// Returns true if bytes may be reserved for a buffer of a request that is being read. Gives up
    /// the buffers of stalled callers for it. While memory is short, one peer address gets only
    /// half of the account. A request that arrives while little else is held is always admitted.
    bool tryAdmit(std::size_t bytes, HeldBuffer &buffer);

    /// Returns true if a request without a body may be handled. Gives up the buffers of stalled
    /// callers for it.
    bool tryMakeRoom();

    std::size_t limit() const { return m_limit; }
    /// The limit in force; lower than limit() while the process occupies too much memory.
    std::size_t currentLimit() const { return m_currentLimit; }
    /// Resident bytes of the process when they were last measured; 0 if unknown.
    std::size_t residentBytes() const { return m_residentBytes; }
    std::size_t usedBytes() const { return m_usedBytes; }
    /// The largest number of bytes since the start.
    std::size_t peakBytes() const { return m_peakBytes; }
    std::uint64_t reclaimedCount(BufferKind kind) const;

    /// True if little should be buffered for slow callers.
    bool isTight() const { return m_usedBytes >= m_currentLimit / 2; }
    /// True if new requests must be rejected.
    bool isFull() const { return m_usedBytes >= admissionLimit(); }
    bool isExceeded() const { return m_usedBytes > m_currentLimit; }

private:
    friend class HeldBuffer;

    std::size_t admissionLimit() const { return m_currentLimit - m_currentLimit / 4; }
    std::size_t bytesOfPeer(const std::string &peer) const;
    void onChanged(std::size_t before, std::size_t after);
    void scheduleReclaim();
    void reclaim();
    void giveUp(HeldBuffer &victim);
    HeldBuffer *selectVictim() const;
    /// Returns the buffer that a stalled caller held most of for longest: of one peer address, or
    /// of any if `peer` is empty.
    HeldBuffer *selectStalled(std::string_view peer) const;
    HeldBuffer *selectLargestResponse() const;

    const std::size_t m_limit;
    Base::Scheduler &m_scheduler;
    const Logging::Logger &m_log;
    std::size_t m_currentLimit;
    ResidentMemory *m_memory = nullptr;
    std::size_t m_maxResidentBytes = 0;
    std::size_t m_residentBytes = 0;
    Base::Milliseconds m_measuredAt;
    Base::Milliseconds m_releasedAt;
    /// Bytes by which buffers grew since the last measurement.
    std::size_t m_grownBytes = 0;
    std::size_t m_usedBytes = 0;
    std::size_t m_peakBytes = 0;
    bool m_isReclaimScheduled = false;
    /// Ends with the account.
    const std::shared_ptr<char> m_lifetime;
    /// Buffers that can be given up and are large enough.
    std::unordered_set<HeldBuffer *> m_reclaimable;
    std::array<std::uint64_t, 4> m_reclaimedCounts{};
};

/// One buffer's part of an account.
class HeldBuffer
{
public:
    /// The owner must outlive the buffer. Set no bytes after the account has been destroyed.
    HeldBuffer(BufferAccount &account, BufferKind kind, BufferOwner *owner = nullptr);
    ~HeldBuffer();

    HeldBuffer(const HeldBuffer &) = delete;
    HeldBuffer &operator=(const HeldBuffer &) = delete;

    /// Sets the number of bytes that the buffer occupies.
    void set(std::size_t bytes);

    /// Notes that the caller sent or took a fair part of what it is expected to.
    void noteProgress();

    /// Sets the server or the peer address that the bytes came from.
    void setSource(std::string source) { m_source = std::move(source); }

    std::size_t bytes() const { return m_bytes; }
    BufferKind kind() const { return m_kind; }
    const std::string &source() const { return m_source; }

private:
    friend class BufferAccount;

    bool isOfCaller() const
    {
        return m_kind == BufferKind::Request || m_kind == BufferKind::UnsentResponse;
    }
    bool isReclaimable(std::size_t bytes) const;

    BufferAccount &m_account;
    /// Connections may outlive the account by tasks of the reactor.
    const std::weak_ptr<char> m_accountLifetime;
    const BufferKind m_kind;
    BufferOwner *const m_owner;
    std::string m_source;
    std::size_t m_bytes = 0;
    Base::Milliseconds m_progressAt;
};

} // namespace Carawaykeel::Ingress
