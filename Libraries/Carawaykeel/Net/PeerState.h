#pragma once

#include <Poco/Net/StreamSocket.h>

namespace Carawaykeel::Net {

/// Returns true if the peer has acknowledged all bytes that the system took, and has not reset the
/// connection. Clears the socket's pending error.
bool hasReceivedAll(const Poco::Net::StreamSocket &socket);

} // namespace Carawaykeel::Net
