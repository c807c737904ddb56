#include <Carawaykeel/Forwarding/PromptCacheEstimate.h>

#include <algorithm>

namespace Carawaykeel::Forwarding {

void PromptCacheEstimate::onPromptSent(std::span<const PromptPart> prompt, Base::Milliseconds now)
{
    for (const auto &part : prompt)
        m_lastUse[part.id] = now;
    if (m_lastUse.size() >= m_cleanUpSize)
        removeExpired(now);
}

Base::Tokens PromptCacheEstimate::countUncachedTokens(
    std::span<const PromptPart> prompt, Base::Milliseconds now) const
{
    const auto firstUncached = std::ranges::find_if_not(
        prompt, [&](const PromptPart &part) { return isCached(part.id, now); });
    Base::Tokens tokens;
    for (auto it = firstUncached; it != prompt.end(); ++it)
        tokens += it->tokens;
    return tokens;
}

bool PromptCacheEstimate::isCached(std::uint64_t part, Base::Milliseconds now) const
{
    const auto it = m_lastUse.find(part);
    return it != m_lastUse.end() && now - it->second <= CacheLifetime;
}

void PromptCacheEstimate::removeExpired(Base::Milliseconds now)
{
    std::erase_if(m_lastUse, [&](const auto &item) { return now - item.second > CacheLifetime; });
    // A threshold of twice the remaining size keeps the amortised cost per added part constant.
    m_cleanUpSize = std::max(MinCleanUpSize, m_lastUse.size() * 2);
}

} // namespace Carawaykeel::Forwarding
