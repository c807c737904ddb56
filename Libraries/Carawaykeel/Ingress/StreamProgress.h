#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <algorithm>

namespace Carawaykeel::Ingress {

/// When the parts of an answer came, counted from the request's arrival.
struct StreamProgress
{
    /// Waited for tokens and a server before the first attempt.
    Base::Milliseconds timeToFirstAttempt;
    Base::Milliseconds firstEvent;
    Base::Milliseconds latestEvent;
    Base::Milliseconds longestPause;

    void onEvents(Base::Milliseconds sinceArrival)
    {
        if (firstEvent == Base::Milliseconds()) {
            firstEvent = sinceArrival;
        } else {
            longestPause = std::max(longestPause, sinceArrival - latestEvent);
        }
        latestEvent = sinceArrival;
    }
};

} // namespace Carawaykeel::Ingress
