#pragma once

#include <Carawaykeel/Base/Scheduler.h>
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
/// buffers when they exceed a limit: first responses of the server whose responses occupy most.
class BufferAccount
{
public:
    /// Smaller buffers are not given up, since that would free little.
    static constexpr std::size_t MinReclaimedBytes = 65'536;

    BufferAccount(std::size_t limit, Base::Scheduler &scheduler, const Logging::Logger &log);

    BufferAccount(const BufferAccount &) = delete;
    BufferAccount &operator=(const BufferAccount &) = delete;

    std::size_t limit() const { return m_limit; }
    std::size_t usedBytes() const { return m_usedBytes; }
    /// The largest number of bytes since the start.
    std::size_t peakBytes() const { return m_peakBytes; }
    std::uint64_t reclaimedCount(BufferKind kind) const;

    /// True if little should be buffered for slow callers.
    bool isTight() const { return m_usedBytes >= m_limit / 2; }
    /// True if new requests must be rejected.
    bool isFull() const { return m_usedBytes >= m_limit - m_limit / 4; }
    bool isExceeded() const { return m_usedBytes > m_limit; }

private:
    friend class HeldBuffer;

    void onChanged(std::size_t before, std::size_t after);
    void reclaim();
    HeldBuffer *selectVictim() const;
    HeldBuffer *selectLargestResponse() const;

    const std::size_t m_limit;
    Base::Scheduler &m_scheduler;
    const Logging::Logger &m_log;
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

    /// Sets the server that the bytes came from.
    void setSource(std::string source) { m_source = std::move(source); }

    std::size_t bytes() const { return m_bytes; }
    BufferKind kind() const { return m_kind; }
    const std::string &source() const { return m_source; }

private:
    friend class BufferAccount;

    BufferAccount &m_account;
    /// Connections may outlive the account by tasks of the reactor.
    const std::weak_ptr<char> m_accountLifetime;
    const BufferKind m_kind;
    BufferOwner *const m_owner;
    std::string m_source;
    std::size_t m_bytes = 0;
};

} // namespace Carawaykeel::Ingress
