#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <cstddef>
#include <cstdint>

namespace Carawaykeel::Ingress {

/// Accounts for how far this instance's processor and link are behind. On a small VM, requests wait
/// for both: unread while the reactor is busy, and in the socket's buffers after they were sent.
class DelayAccount
{
public:
    /// Time between two calls of onTick().
    static constexpr Base::Milliseconds TickInterval{100};
    /// A shorter delay of the processor counts as none: timers are that late on idle VMs too.
    static constexpr Base::Milliseconds MinProcessorDelay{20};

    /// No request is sent on while bytes wait longer than this for the link. They arrive even when
    /// their caller has gone meanwhile, and servers would work for callers that left long ago.
    static constexpr Base::Milliseconds MaxLinkDelay{400};

    /// Sets the bandwidth of the link in Mbit/s; 0 if it is unknown, so that it is never behind.
    void setLinkRate(double megabitsPerSecond);

    /// Call by a timer every TickInterval. How late it is called shows how long the events of the
    /// reactor wait.
    void onTick(Base::Milliseconds now);
    /// Records bytes that are written to a socket.
    void onBytesSent(std::size_t count, Base::Milliseconds now);
    /// Records a request that was rejected because of the delays or the end of its caller's time.
    void onRejected() { ++m_rejected; }

    /// Returns how long events wait for the processor.
    Base::Milliseconds processorDelay(Base::Milliseconds now) const;
    /// Returns how long bytes that are written now wait for the link.
    Base::Milliseconds linkDelay(Base::Milliseconds now) const;
    /// Returns how much of a caller's time passes unseen before its request is sent on.
    Base::Milliseconds delay(Base::Milliseconds now) const
    {
        return processorDelay(now) + linkDelay(now);
    }
    /// Returns true if a request that is sent on now reaches its server in its caller's remaining
    /// time, and soon enough that a caller that leaves can still be followed.
    bool canSend(Base::Milliseconds remainingTime, Base::Milliseconds now) const
    {
        return linkDelay(now) <= MaxLinkDelay && remainingTime > delay(now);
    }
    std::uint64_t rejectedCount() const { return m_rejected; }

private:
    /// 0 if unknown.
    double m_bytesPerMillisecond = 0;
    double m_queuedBytes = 0;
    Base::Milliseconds m_queuedAt;
    Base::Milliseconds m_lastLateness;
    /// When the next tick is due; zero before the first one.
    Base::Milliseconds m_nextTick;
    std::uint64_t m_rejected = 0;
};

} // namespace Carawaykeel::Ingress
