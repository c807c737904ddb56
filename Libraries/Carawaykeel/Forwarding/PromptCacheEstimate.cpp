#include <Carawaykeel/Forwarding/PromptCacheEstimate.h>

#include <algorithm>

namespace Carawaykeel::Forwarding {

void PromptCacheEstimate::onPromptSent(std::span<const PromptPart> prompt, Base::Milliseconds now)
{
    for (const auto &part : prompt)
        m_lastUse[part.id] = now;
    if (m_lastUse.size() >= m_tidyAt)
        forgetOld(now);
}

Base::Tokens PromptCacheEstimate::countUncachedTokens(
    std::span<const PromptPart> prompt, Base::Milliseconds now) const
{
    const auto firstUnread = std::ranges::find_if_not(
        prompt, [&](const PromptPart &part) { return keeps(part.id, now); });
    Base::Tokens tokens;
    for (auto it = firstUnread; it != prompt.end(); ++it)
        tokens += it->tokens;
    return tokens;
}

bool PromptCacheEstimate::keeps(std::uint64_t part, Base::Milliseconds now) const
{
    const auto it = m_lastUse.find(part);
    return it != m_lastUse.end() && now - it->second <= CacheLifetime;
}

void PromptCacheEstimate::forgetOld(Base::Milliseconds now)
{
    std::erase_if(m_lastUse, [&](const auto &item) { return now - item.second > CacheLifetime; });
    // The next look costs as much as the parts that came since this one.
    m_tidyAt = std::max(FewestToTidy, m_lastUse.size() * 2);
}

} // namespace Carawaykeel::Forwarding
