#include <Carawaykeel/Net/PeerState.h>

#include <Poco/Exception.h>
#include <linux/sockios.h>

namespace Carawaykeel::Net {

bool hasReceivedAll(const Poco::Net::StreamSocket &socket)
{
    try {
        int unacknowledgedBytes = 0;
        socket.impl()->ioctl(SIOCOUTQ, unacknowledgedBytes);
        return unacknowledgedBytes == 0 && socket.impl()->socketError() == 0;
    } catch (const Poco::Exception &) {
        // The descriptor is closed.
        return false;
    }
}

} // namespace Carawaykeel::Net
