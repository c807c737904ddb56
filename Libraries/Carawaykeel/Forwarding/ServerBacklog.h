#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Tokens.h>

namespace Carawaykeel::Forwarding {

/// The prompt tokens that a server has yet to read of one instance's requests.
struct ServerBacklog
{
    Base::ServerName server;
    Base::Tokens unprocessedTokens;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, unprocessedTokens);
    }
};

} // namespace Carawaykeel::Forwarding
