#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <optional>

namespace Carawaykeel::Budget {

/// A lower bound of the table service's clock: its last reported time plus the time since that
/// reply arrived. Network delay or a paused process only lowers the bound.
class ServiceClock
{
public:
    void onReply(Base::Milliseconds serviceNow, Base::Milliseconds localNow);

    /// Returns the lower bound, or nothing before the first reply.
    std::optional<Base::Milliseconds> earliestNow(Base::Milliseconds localNow) const;

private:
    bool m_isKnown = false;
    /// The service's clock minus the local clock.
    Base::Milliseconds m_offset;
};

} // namespace Carawaykeel::Budget
