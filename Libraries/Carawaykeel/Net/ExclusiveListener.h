#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

namespace Carawaykeel::Net {

/// Creates a listening socket without SO_REUSEPORT. Poco's own constructor sets it, and a second
/// process on the same address would then silently receive half of the connections. Throws
/// Poco::Net::NetException if the address is in use.
Poco::Net::ServerSocket makeExclusiveListener(
    const Poco::Net::SocketAddress &address, int backlog = 64);

} // namespace Carawaykeel::Net
