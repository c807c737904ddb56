#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>
#include <Carawaykeel/Forwarding/RequestMetadata.h>

#include <cstdint>
#include <span>
#include <unordered_map>

namespace Carawaykeel::Forwarding {

/// Estimates which prompt parts are in a server's cache from the prompts that were sent to it
/// recently. The estimate is inexact because servers evict parts when they need the space and other
/// instances send prompts to the same server.
class PromptCacheEstimate
{
public:
    /// A part that was not used for this long counts as evicted.
    static constexpr Base::Milliseconds CacheLifetime{8'000};

    void onPromptSent(std::span<const PromptPart> prompt, Base::Milliseconds now);

    /// Returns the tokens that the server has to process: those of the first uncached part and of
    /// all parts after it.
    Base::Tokens countUncachedTokens(
        std::span<const PromptPart> prompt, Base::Milliseconds now) const;

private:
    /// Minimum number of parts at which expired ones are removed.
    static constexpr std::size_t MinCleanUpSize = 256;

    bool isCached(std::uint64_t part, Base::Milliseconds now) const;
    void removeExpired(Base::Milliseconds now);

    std::unordered_map<std::uint64_t, Base::Milliseconds> m_lastUse;
    /// Number of parts at which expired ones are removed next.
    std::size_t m_cleanUpSize = MinCleanUpSize;
};

} // namespace Carawaykeel::Forwarding
