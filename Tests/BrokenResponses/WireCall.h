#pragma once

#include <string>

namespace Carawaykeel::Tests {

/// What a caller received on its connection, byte by byte.
struct ReceivedBytes
{
    std::string bytes;
    /// The connection ended with a reset.
    bool isReset = false;
    /// The connection was still open when the caller gave up.
    bool isOpen = false;

    /// Returns the three characters of the status, or nothing if there is no status line.
    std::string status() const;
    bool contains(const std::string &text) const { return bytes.find(text) != std::string::npos; }
};

/// Sends bytes to an address, as IP number and port, and receives until the connection ends. The
/// bytes should ask for that end. A caller gives up after some seconds.
ReceivedBytes callOnWire(const std::string &address, const std::string &bytes);

} // namespace Carawaykeel::Tests
