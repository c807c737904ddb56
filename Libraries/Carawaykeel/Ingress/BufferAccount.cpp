#include <Carawaykeel/Ingress/BufferAccount.h>

#include <algorithm>
#include <map>
#include <utility>

namespace Carawaykeel::Ingress {

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
    , m_lifetime(std::make_shared<char>())
{
}

std::uint64_t BufferAccount::reclaimedCount(BufferKind kind) const
{
    return m_reclaimedCounts.at(static_cast<std::size_t>(kind));
}

void BufferAccount::onChanged(std::size_t before, std::size_t after)
{
    m_usedBytes = m_usedBytes - before + after;
    m_peakBytes = std::max(m_peakBytes, m_usedBytes);
    if (!isExceeded() || m_isReclaimScheduled)
        return;
    // The owner of the buffer that grew is on the call stack.
    m_isReclaimScheduled = true;
    m_scheduler.schedule(Base::Milliseconds(), [this, weak = std::weak_ptr(m_lifetime)] {
        if (!weak.expired())
            reclaim();
    });
}

void BufferAccount::reclaim()
{
    m_isReclaimScheduled = false;
    while (isExceeded()) {
        auto *victim = selectVictim();
        if (!victim)
            return;
        ++m_reclaimedCounts.at(static_cast<std::size_t>(victim->kind()));
        m_log.warn(Logging::LogEvent::BufferReclaimed,
            Logging::LogFields()
                .add("kind", nameOf(victim->kind()))
                .add("source", victim->source())
                .add("bytes", victim->bytes())
                .add("used", m_usedBytes)
                .add("limit", m_limit));
        auto &owner = *victim->m_owner;
        const auto kind = victim->kind();
        victim->set(0);
        owner.onBufferReclaimed(kind);
    }
}

HeldBuffer *BufferAccount::selectVictim() const
{
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
    const bool isReclaimable = m_owner && bytes >= BufferAccount::MinReclaimedBytes;
    if (isReclaimable) {
        m_account.m_reclaimable.insert(this);
    } else if (before >= BufferAccount::MinReclaimedBytes) {
        m_account.m_reclaimable.erase(this);
    }
    m_account.onChanged(before, bytes);
}

} // namespace Carawaykeel::Ingress
