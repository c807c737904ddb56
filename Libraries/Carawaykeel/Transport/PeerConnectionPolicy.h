#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <cstddef>

namespace Carawaykeel::Transport {

/// Limits on the connections between instances. An instance opens connections to the peers that it
/// has something to say to, and bounds what slow or dead peers can cost it.
struct PeerConnectionPolicy
{
    /// Maximum connections that an instance keeps open to others; the least recently used one is
    /// closed for a new one.
    std::size_t maxOutgoing = 256;
    /// Maximum closed connections beyond that which still send what was queued for them.
    std::size_t maxFinishing = 64;
    /// Maximum connections that an instance accepts from others.
    std::size_t maxIncoming = 512;
    /// An outgoing connection without messages is closed after this long.
    Base::Milliseconds idleTimeout{15'000};
    /// An incoming connection without messages is closed after this long. Longer than the sender's
    /// idle timeout, so that only connections of dead peers are closed here.
    Base::Milliseconds incomingIdleTimeout{60'000};
    /// Maximum time from the first to the last byte of a message.
    Base::Milliseconds frameTimeout{10'000};
    Base::Milliseconds connectTimeout{300};
    /// A connection whose queued bytes make no progress for this long counts as lost.
    Base::Milliseconds stallTimeout{1'000};
    /// Minimum time between a failure and the next connection attempt.
    Base::Milliseconds reconnectDelay{50};
    /// Maximum bytes that are queued for one peer; further messages to it are dropped.
    std::size_t maxQueuedBytes = 4 * 1'024 * 1'024;
    /// Interval of the checks for timeouts.
    Base::Milliseconds checkInterval{250};
};

} // namespace Carawaykeel::Transport
