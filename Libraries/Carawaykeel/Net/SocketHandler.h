#pragma once

namespace Carawaykeel::Net {

/// Events that are pending on a socket.
struct Readiness
{
    bool canRead = false;
    bool canWrite = false;
    bool hasError = false;
};

/// Called by the reactor when its socket is ready.
class SocketHandler
{
public:
    virtual ~SocketHandler() = default;

    virtual void onReady(Readiness readiness) = 0;
};

} // namespace Carawaykeel::Net
