#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Tokens.h>

namespace Carawaykeel::Forwarding {

/// The unprocessed prompt tokens of one instance's requests at a server.
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
