#include "WireCall.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>

namespace Carawaykeel::Tests {

namespace {

/// Longer than the timeout of any route, so that its response is received.
const Poco::Timespan Patience(8, 0);
constexpr std::size_t VersionLength = 9;
constexpr std::size_t StatusLength = 3;

} // namespace

std::string ReceivedBytes::status() const
{
    return bytes.starts_with("HTTP/1.1 ") ? bytes.substr(VersionLength, StatusLength) : "";
}

ReceivedBytes callOnWire(const std::string &address, const std::string &bytes)
{
    ReceivedBytes received;
    try {
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
        socket.setReceiveTimeout(Patience);
        for (std::size_t sent = 0; sent < bytes.size();) {
            sent += static_cast<std::size_t>(
                socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
        }
        std::array<char, 16'384> buf{};
        while (true) {
            const int n = socket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
            if (n <= 0)
                break;
            received.bytes.append(buf.data(), static_cast<std::size_t>(n));
        }
    } catch (const Poco::TimeoutException &) {
        received.isOpen = true;
    } catch (const Poco::Exception &) {
        received.isReset = true;
    }
    return received;
}

} // namespace Carawaykeel::Tests
