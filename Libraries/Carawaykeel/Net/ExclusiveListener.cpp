#include <Carawaykeel/Net/ExclusiveListener.h>

namespace Carawaykeel::Net {

Poco::Net::ServerSocket makeExclusiveListener(const Poco::Net::SocketAddress &address, int backlog)
{
    constexpr bool ReusesAddress = true;
    constexpr bool ReusesPort = false;
    Poco::Net::ServerSocket socket;
    socket.bind(address, ReusesAddress, ReusesPort);
    socket.listen(backlog);
    return socket;
}

} // namespace Carawaykeel::Net
