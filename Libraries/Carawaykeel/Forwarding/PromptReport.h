#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Milliseconds.h>

#include <cstdint>

namespace Carawaykeel::Forwarding {

/// What an instance knows of a shared prompt part.
enum class PromptVerdict : std::uint8_t {
    /// A server crashed before it responded to a request with the part.
    Suspected,
    /// A server responded to a request with the part.
    Sound,
    /// Requests with the part are kept from servers.
    Quarantined,
};

/// Tells other instances about a prompt part.
struct PromptReport
{
    std::uint64_t part = 0;
    PromptVerdict verdict = PromptVerdict::Suspected;
    /// The server that crashed; set with Suspected only.
    Base::ServerName server;
    /// Time since that crash.
    Base::Milliseconds age;

    bool operator==(const PromptReport &) const = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(part, verdict, server, age);
    }
};

} // namespace Carawaykeel::Forwarding
