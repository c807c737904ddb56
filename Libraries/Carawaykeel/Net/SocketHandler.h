#pragma once

namespace Carawaykeel::Net {

/// What a socket is ready for.
struct Readiness
{
    bool canRead = false;
    bool canWrite = false;
    bool hasError = false;
};

/// Is told by the reactor when its socket is ready.
class SocketHandler
{
public:
    virtual ~SocketHandler() = default;

    virtual void onReady(Readiness readiness) = 0;
};

} // namespace Carawaykeel::Net
