#include <Carawaykeel/Ingress/PromptTrials.h>

#include <algorithm>
#include <random>

namespace Carawaykeel::Ingress {

namespace {

/// No further claim is made for as long as one may be without a reply.
constexpr Base::Milliseconds MaxReplyTime{3'000};
/// Beyond this number of parts the times are forgotten; the table service knows them.
constexpr std::size_t MaxParts = 4'096;
constexpr std::int64_t JitterDivisor = 4;

} // namespace

PromptTrials::PromptTrials(
    QuarantineStore &store, Base::Scheduler &scheduler, Base::RandomEngine &random)
    : m_store(store)
    , m_scheduler(scheduler)
    , m_random(random)
{
}

void PromptTrials::claim(const std::vector<std::uint64_t> &parts, const Callback &callback)
{
    const auto remaining = timeUntilTrial(parts);
    if (remaining > Base::Milliseconds())
        return callback({false, true, remaining});
    postpone(parts, MaxReplyTime);
    m_store.claimTrial(parts.front(), [this, parts, callback](const TrialClaim &claim) {
        // Most instances ask only after one of them has been granted the next trial.
        std::uniform_int_distribution<std::int64_t> jitter(
            0, claim.retryIn.count() / JitterDivisor);
        postpone(parts, claim.retryIn + Base::Milliseconds(jitter(m_random)));
        callback(claim);
    });
}

Base::Milliseconds PromptTrials::timeUntilTrial(std::span<const std::uint64_t> parts) const
{
    Base::Milliseconds longest;
    for (const auto part : parts) {
        const auto it = m_nextClaimAt.find(part);
        if (it != m_nextClaimAt.end())
            longest = std::max(longest, it->second - m_scheduler.now());
    }
    return longest;
}

void PromptTrials::forget(std::span<const std::uint64_t> parts)
{
    for (const auto part : parts)
        m_nextClaimAt.erase(part);
}

void PromptTrials::postpone(std::span<const std::uint64_t> parts, Base::Milliseconds delay)
{
    if (m_nextClaimAt.size() >= MaxParts)
        m_nextClaimAt.clear();
    for (const auto part : parts)
        m_nextClaimAt[part] = m_scheduler.now() + delay;
}

} // namespace Carawaykeel::Ingress
