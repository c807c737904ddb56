#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Tokens.h>
#include <Carawaykeel/Forwarding/RequestMetadata.h>

#include <cstdint>
#include <span>
#include <unordered_map>

namespace Carawaykeel::Forwarding {

/// The parts of prompts that one server was sent lately and so probably keeps. A guess: servers
/// drop what they need the room of, and other instances send there too.
class PromptCacheEstimate
{
public:
    /// What was not used for so long counts as dropped.
    static constexpr Base::Milliseconds CacheLifetime{8'000};

    void onPromptSent(std::span<const PromptPart> prompt, Base::Milliseconds now);

    /// Tokens that the server has to read: all from the first part on that it does not keep.
    Base::Tokens countUncachedTokens(
        std::span<const PromptPart> prompt, Base::Milliseconds now) const;

private:
    /// With fewer parts than this the old ones are not looked for.
    static constexpr std::size_t FewestToTidy = 256;

    bool keeps(std::uint64_t part, Base::Milliseconds now) const;
    void forgetOld(Base::Milliseconds now);

    std::unordered_map<std::uint64_t, Base::Milliseconds> m_lastUse;
    /// Number of parts at which the old ones are looked for next.
    std::size_t m_tidyAt = FewestToTidy;
};

} // namespace Carawaykeel::Forwarding
