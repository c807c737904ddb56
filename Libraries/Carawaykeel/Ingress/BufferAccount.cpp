#include <Carawaykeel/Ingress/BufferAccount.h>

#include <algorithm>
#include <map>
#include <utility>

namespace Carawaykeel::Ingress {

namespace {

/// Memory is measured after this time at the latest while buffers change...
constexpr Base::Milliseconds MeasureInterval{50};
/// ...and whenever buffers grew by this part of the limit.
constexpr std::size_t MeasureDivisor = 16;
/// Time between two requests to the allocator to return free memory, which stops the reactor for
/// some milliseconds.
constexpr Base::Milliseconds ReleaseInterval{100};
/// The limit is never lowered below this part, so that small requests are served in any case.
constexpr std::size_t MinLimitDivisor = 8;
/// A request is admitted whatever its size while no more than this part of the limit is held.
constexpr std::size_t CalmDivisor = 16;

} // namespace

std::string_view nameOf(BufferKind kind)
{
    switch (kind) {
    case BufferKind::Response:
        return "response";
    case BufferKind::Request:
        return "request";
    case BufferKind::UnsentResponse:
        return "unsent_response";
    case BufferKind::Other:
        break;
    }
    return "other";
}

BufferAccount::BufferAccount(
    std::size_t limit, Base::Scheduler &scheduler, const Logging::Logger &log)
    : m_limit(limit)
    , m_scheduler(scheduler)
    , m_log(log)
    , m_currentLimit(limit)
    , m_lifetime(std::make_shared<char>())
{
}

std::uint64_t BufferAccount::reclaimedCount(BufferKind kind) const
{
    return m_reclaimedCounts.at(static_cast<std::size_t>(kind));
}

void BufferAccount::setResidentMemory(ResidentMemory &memory, std::size_t maxBytes)
{
    m_memory = &memory;
    m_maxResidentBytes = maxBytes;
    measure();
}

void BufferAccount::measure()
{
    if (!m_memory)
        return;
    const auto now = m_scheduler.now();
    m_measuredAt = now;
    m_grownBytes = 0;
    m_residentBytes = m_memory->bytes();
    if (m_residentBytes > m_maxResidentBytes && now - m_releasedAt >= ReleaseInterval) {
        m_releasedAt = now;
        m_memory->releaseFree();
        m_residentBytes = m_memory->bytes();
    }
    m_currentLimit = m_limit;
    if (m_residentBytes > m_maxResidentBytes) {
        const auto excess = std::min(m_residentBytes - m_maxResidentBytes, m_usedBytes);
        m_currentLimit = std::clamp(m_usedBytes - excess, m_limit / MinLimitDivisor, m_limit);
    }
    scheduleReclaim();
}

void BufferAccount::onChanged(std::size_t before, std::size_t after)
{
    m_usedBytes = m_usedBytes - before + after;
    m_peakBytes = std::max(m_peakBytes, m_usedBytes);
    if (after > before)
        m_grownBytes += after - before;
    if (m_memory
        && (m_grownBytes > m_limit / MeasureDivisor
            || m_scheduler.now() - m_measuredAt >= MeasureInterval))
        return measure();
    scheduleReclaim();
}

void BufferAccount::scheduleReclaim()
{
    if (!isExceeded() || m_isReclaimScheduled)
        return;
    // The owner of the buffer that grew is on the call stack.
    m_isReclaimScheduled = true;
    m_scheduler.schedule(Base::Milliseconds(), [this, weak = std::weak_ptr(m_lifetime)] {
        if (!weak.expired())
            reclaim();
    });
}

bool BufferAccount::tryAdmit(std::size_t bytes, HeldBuffer &buffer)
{
    // The buffer's owner is on the call stack, so it must not be among the stalled ones.
    buffer.noteProgress();
    const auto isCalm = [&] { return m_usedBytes - buffer.bytes() <= m_limit / CalmDivisor; };
    while (m_usedBytes + bytes > admissionLimit() && !isCalm()) {
        auto *stalled = selectStalled({});
        if (!stalled)
            return false;
        giveUp(*stalled);
    }
    while (isTight() && bytes >= MinReclaimedBytes && !isCalm()
        && bytesOfPeer(buffer.source()) + bytes > m_currentLimit / 2) {
        auto *stalled = selectStalled(buffer.source());
        if (!stalled)
            return false;
        giveUp(*stalled);
    }
    return true;
}

bool BufferAccount::tryMakeRoom()
{
    while (isFull()) {
        auto *stalled = selectStalled({});
        if (!stalled)
            return false;
        giveUp(*stalled);
    }
    return true;
}

std::size_t BufferAccount::bytesOfPeer(const std::string &peer) const
{
    std::size_t bytes = 0;
    for (const auto *buffer : m_reclaimable) {
        if (buffer->kind() == BufferKind::Request && buffer->source() == peer)
            bytes += buffer->bytes();
    }
    return bytes;
}

void BufferAccount::giveUp(HeldBuffer &victim)
{
    ++m_reclaimedCounts.at(static_cast<std::size_t>(victim.kind()));
    m_log.warn(Logging::LogEvent::BufferReclaimed,
        Logging::LogFields()
            .add("kind", nameOf(victim.kind()))
            .add("source", victim.source())
            .add("bytes", victim.bytes())
            .add("used", m_usedBytes)
            .add("limit", m_currentLimit));
    auto &owner = *victim.m_owner;
    const auto kind = victim.kind();
    victim.set(0);
    owner.onBufferReclaimed(kind);
}

void BufferAccount::reclaim()
{
    m_isReclaimScheduled = false;
    while (isExceeded()) {
        auto *victim = selectVictim();
        if (!victim)
            return;
        // A single request is served also while the process occupies much memory at rest.
        if (m_usedBytes <= m_limit && m_usedBytes - victim->bytes() <= m_limit / CalmDivisor)
            return;
        giveUp(*victim);
    }
}

HeldBuffer *BufferAccount::selectStalled(std::string_view peer) const
{
    const auto now = m_scheduler.now();
    HeldBuffer *worst = nullptr;
    std::int64_t worstScore = 0;
    for (auto *buffer : m_reclaimable) {
        const auto stalledFor = now - buffer->m_progressAt;
        const bool isOfPeer = peer.empty() || buffer->source() == peer;
        if (!buffer->isOfCaller() || !isOfPeer || stalledFor < StallTime)
            continue;
        const auto score = static_cast<std::int64_t>(buffer->bytes()) * stalledFor.count();
        if (score > worstScore) {
            worst = buffer;
            worstScore = score;
        }
    }
    return worst;
}

HeldBuffer *BufferAccount::selectVictim() const
{
    if (auto *stalled = selectStalled({}))
        return stalled;
    if (auto *response = selectLargestResponse())
        return response;
    const auto rank = [](const HeldBuffer *buffer) {
        return std::pair(-static_cast<int>(buffer->kind()), buffer->bytes());
    };
    const auto it = std::ranges::max_element(m_reclaimable, {}, rank);
    return it == m_reclaimable.end() ? nullptr : *it;
}

HeldBuffer *BufferAccount::selectLargestResponse() const
{
    std::map<std::string_view, std::size_t> bytesBySource;
    for (const auto *buffer : m_reclaimable) {
        if (buffer->kind() == BufferKind::Response)
            bytesBySource[buffer->source()] += buffer->bytes();
    }
    HeldBuffer *largest = nullptr;
    std::pair<std::size_t, std::size_t> largestRank;
    for (auto *buffer : m_reclaimable) {
        if (buffer->kind() != BufferKind::Response)
            continue;
        const std::pair rank(bytesBySource[buffer->source()], buffer->bytes());
        if (rank >= largestRank) {
            largestRank = rank;
            largest = buffer;
        }
    }
    return largest;
}

HeldBuffer::HeldBuffer(BufferAccount &account, BufferKind kind, BufferOwner *owner)
    : m_account(account)
    , m_accountLifetime(account.m_lifetime)
    , m_kind(kind)
    , m_owner(owner)
{
}

HeldBuffer::~HeldBuffer()
{
    if (!m_accountLifetime.expired())
        set(0);
}

void HeldBuffer::set(std::size_t bytes)
{
    const auto before = std::exchange(m_bytes, bytes);
    if (before == bytes)
        return;
    // A buffer that was empty has nothing to show yet.
    if (before == 0)
        noteProgress();
    if (isReclaimable(bytes)) {
        m_account.m_reclaimable.insert(this);
    } else if (isReclaimable(before)) {
        m_account.m_reclaimable.erase(this);
    }
    m_account.onChanged(before, bytes);
}

bool HeldBuffer::isReclaimable(std::size_t bytes) const
{
    const auto minBytes =
        isOfCaller() ? BufferAccount::MinReclaimedCallerBytes : BufferAccount::MinReclaimedBytes;
    return m_owner && bytes >= minBytes;
}

void HeldBuffer::noteProgress()
{
    m_progressAt = m_account.m_scheduler.now();
}

} // namespace Carawaykeel::Ingress
