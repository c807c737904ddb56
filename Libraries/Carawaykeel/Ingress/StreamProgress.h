#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <algorithm>

namespace Carawaykeel::Ingress {

/// Timing of a response, measured from the arrival of the request.
struct StreamProgress
{
    /// Wait for tokens and a server before the first attempt.
    Base::Milliseconds timeToFirstAttempt;
    Base::Milliseconds firstEvent;
    Base::Milliseconds lastEvent;
    Base::Milliseconds longestEventGap;

    void onEvents(Base::Milliseconds sinceArrival)
    {
        if (firstEvent == Base::Milliseconds()) {
            firstEvent = sinceArrival;
        } else {
            longestEventGap = std::max(longestEventGap, sinceArrival - lastEvent);
        }
        lastEvent = sinceArrival;
    }
};

} // namespace Carawaykeel::Ingress
