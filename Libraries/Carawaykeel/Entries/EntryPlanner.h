#pragma once

#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Entries/DemandEstimate.h>
#include <Carawaykeel/Entries/EntrySelection.h>

#include <map>
#include <span>
#include <string>
#include <vector>

namespace Carawaykeel::Entries {

/// Parameters of the entry plan. Utilisations are requests per second over capacity.
struct EntryPolicy
{
    /// The VMs of a data centre are used up to this utilisation before its callers are sent to
    /// others. The difference to `remoteUtilisation` is the cost of another data centre.
    double localUtilisation = 0.7;
    /// VMs get callers of other data centres up to this utilisation, as long as the whole fleet is
    /// below it.
    double remoteUtilisation = 0.6;
    /// Callers get the usual answers again once they use less than this part of their data centre.
    double returnUtilisation = 0.6;
    /// Callers spread evenly over the addresses of a usual answer. Answers are drawn when this
    /// loads the smallest VM among them more than up to this part of its capacity, and no longer
    /// when it loads it less than `returnSmallestUtilisation`.
    double maxSmallestUtilisation = 1;
    double returnSmallestUtilisation = 0.7;
    /// Least part of a small VM's capacity that a plan uses. It uses the square of the fleet's
    /// utilisation: two busy callers are too many for a small VM and hardly matter to a large one,
    /// so small ones are filled only as far as the others leave no room.
    double minSmallVmFactor = 0.3;
    /// Callers follow an answer after about this many times its cache time: some keep it three
    /// times as long, and each asks again at its own time.
    double answerLagFactor = 1.5;
    /// Time in which the share of callers that are sent elsewhere falls to 1/e when the demand
    /// falls. It rises at once: an overloaded data centre loses requests, one that sends callers
    /// elsewhere for too long only costs them time.
    Base::Milliseconds returnTime{3'000};
};

/// Where the callers of one data centre are sent.
struct DataCentrePlan
{
    /// Requests per second that all VMs can carry.
    double capacity = 0;
    /// Capacities that the plan gives the large VMs and the others when callers are sent elsewhere.
    double largeCapacity = 0;
    double smallCapacity = 0;
    /// Requests per second that the VMs receive, and that the data centre's callers send.
    double load = 0;
    double demand = 0;
    /// The VMs have no room for the callers in the usual way, so that answers are drawn.
    bool isOverflowing = false;
    /// Requests per second of the smallest VM that usual answers name, over its capacity.
    double smallestUtilisation = 0;
    /// Shares of the callers that are sent to the large and to the other VMs of other data centres.
    DataCentreFigures largeShares;
    DataCentreFigures smallShares;
    /// Share of the callers that are sent to the VMs of their own data centre.
    double localShare = 1;

    double plannedCapacity() const { return largeCapacity + smallCapacity; }
};

/// Decides which addresses callers are given, by the capacity and load of the whole fleet. Each
/// instance decides by itself from the loads that it knows. Answers for a data centre whose VMs
/// have room are those of selectEntryAddresses(). Otherwise each answer draws a few VMs at random,
/// so that the answers of all instances together have the planned shares.
class EntryPlanner
{
public:
    EntryPlanner(const EntryPolicy &policy, Base::RandomEngine &random);

    /// Plans again with the loads that are known now. Call about twice a second with all VMs that
    /// callers may be sent to. `cacheTime` is how long callers may keep an answer.
    void update(std::span<const EntryCandidate> candidates, Base::Milliseconds cacheTime,
        Base::Milliseconds now);

    /// Returns the addresses for a caller; empty when there are no candidates.
    std::vector<std::string> selectAddresses(
        const Base::DataCentre &dataCentre, std::span<const EntryCandidate> candidates);

    const std::map<Base::DataCentre, DataCentrePlan> &plans() const { return m_plans; }

private:
    void readCandidates(std::span<const EntryCandidate> candidates);
    void measureUsualAnswers(std::span<const EntryCandidate> candidates);
    bool isDrawingNeeded(const DataCentrePlan &plan) const;
    void planOverflow(double fleetUtilisation, double slowReturn);
    static double shareOf(const Base::DataCentre &from, const DataCentrePlan &plan,
        const Base::DataCentre &to, bool isLarge);
    std::vector<std::string> drawAddresses(const Base::DataCentre &dataCentre,
        const DataCentrePlan &plan, std::span<const EntryCandidate> candidates);

    const EntryPolicy m_policy;
    Base::RandomEngine &m_random;
    DemandEstimate m_demand;
    std::map<Base::DataCentre, DataCentrePlan> m_plans;
    std::uint32_t m_largestCapacity = 0;
    /// Callers of some data centre are sent to others.
    bool m_hasOverflow = false;
    Base::Milliseconds m_updatedAt;
};

} // namespace Carawaykeel::Entries
