#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Milliseconds.h>

#include <map>

namespace Carawaykeel::Entries {

/// A figure for each data centre.
using DataCentreFigures = std::map<Base::DataCentre, double>;

/// Estimates how many requests the callers of each data centre send, from the requests that the VMs
/// of each data centre receive and from where the callers were sent. What VMs receive alone does
/// not show it: once callers are sent elsewhere, their own data centre looks as if it had room.
class DemandEstimate
{
public:
    /// Weight of the past after this time is 1/e. The load reports are averages over about a second
    /// and arrive some seconds late, so a shorter time follows their noise.
    static constexpr Base::Milliseconds SmoothingTime{1'500};

    /// Sets the shares of each data centre's callers that are sent to each data centre from now on.
    /// Each row adds up to 1; a data centre without a row sends all to itself. The shares take
    /// effect over time as callers ask again: after `answerLag` 1 - 1/e of the change has.
    void setShares(std::map<Base::DataCentre, DataCentreFigures> shares);

    /// Updates the estimate. `loads` are the requests per second that the VMs of each data centre
    /// receive, and its keys all data centres.
    void update(
        const DataCentreFigures &loads, Base::Milliseconds answerLag, Base::Milliseconds now);

    /// Returns the requests per second of the callers of each data centre.
    const DataCentreFigures &demands() const { return m_demands; }

private:
    void updateEffectiveShares(const DataCentreFigures &loads, double weight);
    DataCentreFigures solve(const DataCentreFigures &loads) const;

    std::map<Base::DataCentre, DataCentreFigures> m_shares;
    /// The shares that the callers follow at this moment.
    std::map<Base::DataCentre, DataCentreFigures> m_effectiveShares;
    DataCentreFigures m_demands;
    Base::Milliseconds m_updatedAt;
    bool m_hasEstimate = false;
};

} // namespace Carawaykeel::Entries
