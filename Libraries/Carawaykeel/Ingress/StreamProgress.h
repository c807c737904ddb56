#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <algorithm>

namespace Carawaykeel::Ingress {

/// Timing of a response, measured from the arrival of the request.
struct StreamProgress
{
    /// Wait for tokens and a server before the first attempt.
    Base::Milliseconds timeToFirstAttempt;
    Base::Milliseconds timeToFirstEvent;
    Base::Milliseconds timeToLastEvent;
    Base::Milliseconds longestEventGap;

    void onEvents(Base::Milliseconds sinceArrival)
    {
        if (timeToFirstEvent == Base::Milliseconds()) {
            timeToFirstEvent = sinceArrival;
        } else {
            longestEventGap = std::max(longestEventGap, sinceArrival - timeToLastEvent);
        }
        timeToLastEvent = sinceArrival;
    }
};

} // namespace Carawaykeel::Ingress
