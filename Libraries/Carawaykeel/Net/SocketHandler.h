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

    /// Called after onReady() threw an exception. Ends the connection, if the socket is one, with
    /// the exchange in progress.
    virtual void onFailure() = 0;
};

} // namespace Carawaykeel::Net
