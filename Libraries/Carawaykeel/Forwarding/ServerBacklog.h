#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Tokens.h>

namespace Carawaykeel::Forwarding {

/// The unprocessed prompt tokens of one instance's requests at a server.
struct ServerBacklog
{
    Base::ServerName server;
    Base::Tokens unread;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(server, unread);
    }
};

} // namespace Carawaykeel::Forwarding
