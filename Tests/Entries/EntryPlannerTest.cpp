#include <Carawaykeel/Entries/EntryPlanner.h>

#include <algorithm>
#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <fmt/core.h>
#include <functional>
#include <iterator>
#include <memory>

namespace Carawaykeel::Tests {

namespace {

using Entries::EntryCandidate;

constexpr std::array<const char *, 4> DataCentres{"dc-a", "dc-b", "dc-c", "dc-d"};
constexpr std::uint32_t LargeCapacity = 200;
constexpr std::uint32_t SmallCapacity = 25;
constexpr Base::Milliseconds CacheTime(3'000);
constexpr Base::Milliseconds Step(100);
/// Number of callers that send requests at a time. Each data centre has as many.
constexpr int ActiveCallers = 400;

Base::DataCentre nameOf(std::size_t dataCentre)
{
    return Base::DataCentre(DataCentres.at(dataCentre));
}

struct Caller
{
    std::size_t dataCentre = 0;
    /// Number of the caller in its data centre; only the first ones send requests.
    int number = 0;
    double weight = 1;
    std::size_t vm = 0;
    Base::Milliseconds asksAt;
    Base::Milliseconds keepTime;
};

/// Callers of four data centres with three large and twelve small VMs each. Every caller keeps to
/// one address of its answer for one to three times the cache time; a VM serves what it can carry.
/// Callers that send nothing ask again too, so that a jump of the demand meets old answers.
class EntryFleet
{
public:
    explicit EntryFleet(std::uint64_t seed, bool plans)
        : m_random(seed)
        , m_plans(plans)
    {
        for (std::size_t dc = 0; dc < DataCentres.size(); ++dc) {
            for (int n = 0; n < 15; ++n) {
                m_vms.push_back({fmt::format("{}-{}", DataCentres.at(dc), n),
                    n < 3 ? LargeCapacity : SmallCapacity, 0, nameOf(dc)});
            }
            std::uniform_real_distribution<double> weight(0.5, 1.5);
            for (int n = 0; n < ActiveCallers; ++n)
                m_callers.push_back({dc, n, weight(m_random)});
        }
        m_averages.resize(m_vms.size());
        for (int n = 0; n < 5; ++n) {
            m_planners.push_back(
                std::make_unique<Entries::EntryPlanner>(Entries::EntryPolicy(), m_random));
        }
    }

    /// Plays some time with a total demand, of which `hotShare` comes from one data centre.
    void play(double demand, std::size_t hot, double hotShare, Base::Milliseconds duration)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += Step) {
            std::vector<std::array<double, 4>> requests(m_vms.size());
            for (auto &caller : m_callers) {
                ask(caller);
                const auto share = caller.dataCentre == hot ? hotShare : (1 - hotShare) / 3;
                if (caller.number < share * ActiveCallers) {
                    requests.at(caller.vm).at(caller.dataCentre) +=
                        demand / ActiveCallers * caller.weight;
                }
            }
            for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
                double load = 0;
                for (const auto rate : requests[vm])
                    load += rate;
                const auto part = load > m_vms[vm].capacity ? m_vms[vm].capacity / load : 1;
                for (std::size_t dc = 0; dc < 4; ++dc) {
                    m_sent.at(dc) += requests[vm].at(dc);
                    m_served.at(dc) += requests[vm].at(dc) * part;
                    m_remote += m_vms[vm].dataCentre == nameOf(dc) ? 0 : requests[vm].at(dc);
                }
                // The measurement of Router::measureLoad().
                if (m_now.count() % 500 == 0)
                    m_averages[vm] += 0.3 * (load - m_averages[vm]);
            }
            if (m_now.count() % 500 == 0)
                report();
        }
    }

    /// Returns the difference between the data centres' shares served of all requests so far.
    double spread() const
    {
        std::array<double, 4> shares{};
        std::ranges::transform(m_served, m_sent, shares.begin(), std::divides<>());
        const auto [low, high] = std::ranges::minmax(shares);
        return high - low;
    }

    /// Requests that were sent to another data centre than the caller's.
    double remote() const { return m_remote; }
    /// Returns an answer of one of the instances, or the usual one for the same loads.
    std::vector<std::string> answer(std::size_t dataCentre, bool isPlanned)
    {
        if (isPlanned) {
            return m_planners.at(m_random() % m_planners.size())
                ->selectAddresses(nameOf(dataCentre), m_seenVms);
        }
        std::vector<EntryCandidate> local;
        std::ranges::copy_if(m_seenVms, std::back_inserter(local),
            [&](const auto &vm) { return vm.dataCentre == nameOf(dataCentre); });
        return Entries::selectEntryAddresses(local);
    }

private:
    /// All instances plan with loads that are two seconds old, each at its own time.
    void report()
    {
        constexpr std::size_t ReportDelay = 4;
        auto vms = m_vms;
        for (std::size_t n = 0; n < vms.size(); ++n)
            vms[n].load = static_cast<std::uint32_t>(m_averages[n] + 0.5);
        m_reports.push_back(std::move(vms));
        if (m_reports.size() > ReportDelay)
            m_reports.pop_front();
        m_seenVms = m_reports.front();
        for (const auto &planner : m_planners)
            planner->update(m_seenVms, CacheTime, m_now);
    }

    void ask(Caller &caller)
    {
        if (m_seenVms.empty())
            report();
        if (caller.asksAt > m_now)
            return;
        if (caller.keepTime == Base::Milliseconds()) {
            caller.keepTime = CacheTime * (1 + static_cast<int>(m_random() % 3));
            // The callers start at any moment of their time.
            caller.asksAt = m_now
                + Base::Milliseconds(
                    static_cast<std::int64_t>(m_random()) % caller.keepTime.count());
        } else {
            caller.asksAt = m_now + caller.keepTime;
        }
        const auto addresses = answer(caller.dataCentre, m_plans);
        const auto &address = addresses.at(m_random() % addresses.size());
        const auto it = std::ranges::find(m_vms, address, &EntryCandidate::address);
        caller.vm = static_cast<std::size_t>(it - m_vms.begin());
    }

    Base::RandomEngine m_random;
    const bool m_plans;
    Base::Milliseconds m_now;
    std::vector<EntryCandidate> m_vms;
    std::vector<EntryCandidate> m_seenVms;
    std::vector<double> m_averages;
    std::deque<std::vector<EntryCandidate>> m_reports;
    std::vector<Caller> m_callers;
    std::vector<std::unique_ptr<Entries::EntryPlanner>> m_planners;
    std::array<double, 4> m_sent{};
    std::array<double, 4> m_served{};
    double m_remote = 0;
};

/// Fails unless callers of all data centres are served equally often, within 5 in 100, when 60 in
/// 100 of the requests come from one data centre and then from another.
void checkSpread(double demand)
{
    constexpr Base::Milliseconds Phase(60'000);
    constexpr double HotShare = 0.6;
    constexpr double MaxSpread = 0.05;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        std::array<double, 2> spreads{};
        for (const bool plans : {false, true}) {
            EntryFleet fleet(seed, plans);
            fleet.play(demand, 0, HotShare, Phase);
            fleet.play(demand, 1, HotShare, Phase);
            spreads.at(plans ? 1 : 0) = fleet.spread();
        }
        const auto figures = fmt::format(
            "demand {} seed {}: {:.3f} instead of {:.3f}", demand, seed, spreads[1], spreads[0]);
        CPPUNIT_ASSERT_MESSAGE(figures, spreads[1] <= MaxSpread);
        CPPUNIT_ASSERT_MESSAGE(figures, spreads[0] > 0.1);
    }
}

} // namespace

/// Where callers are sent when one data centre's VMs do not suffice.
class EntryPlannerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryPlannerTest);
    CPPUNIT_TEST(unevenDemandIsServedEvenly);
    CPPUNIT_TEST(unevenDemandOfTheWholeCapacityIsServedEvenly);
    CPPUNIT_TEST(answersStayWhileThereIsRoom);
    CPPUNIT_TEST(steadyDemandNearTheLimitChangesNothing);
    CPPUNIT_TEST(wholeFleetFullKeepsCallersAtHome);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against callers that are served 0.4 because they all share one data centre, while the
    /// VMs of the others idle.
    void unevenDemandIsServedEvenly()
    {
        // A third, a half and two thirds of what the fleet can carry.
        for (const double demand : {1'200.0, 1'800.0, 2'400.0})
            checkSpread(demand);
    }

    /// Guards against the same at the fleet's full capacity, where each VM that chance gives too
    /// much shows.
    void unevenDemandOfTheWholeCapacityIsServedEvenly() { checkSpread(3'600); }

    /// Guards against sending callers elsewhere without need.
    void answersStayWhileThereIsRoom()
    {
        EntryFleet fleet(3, true);
        for (int round = 0; round < 20; ++round) {
            fleet.play(1'200, 0, 0.25, Base::Milliseconds(1'000));
            for (std::size_t dc = 0; dc < DataCentres.size(); ++dc)
                CPPUNIT_ASSERT(fleet.answer(dc, true) == fleet.answer(dc, false));
        }
        CPPUNIT_ASSERT_EQUAL(0.0, fleet.remote());
    }

    /// Guards against a plan that switches between all callers at home and many elsewhere.
    void steadyDemandNearTheLimitChangesNothing()
    {
        Base::RandomEngine random(4);
        Entries::EntryPlanner planner({}, random);
        int changes = 0;
        bool wasOverflowing = false;
        for (int n = 0; n < 600; ++n) {
            const auto noise = static_cast<std::uint32_t>(random() % 60);
            const std::vector<EntryCandidate> vms{{"a-1", 400, 250 + noise, nameOf(0)},
                {"a-2", 400, 250 + noise, nameOf(0)}, {"b-1", 400, 50, nameOf(1)},
                {"b-2", 400, 50, nameOf(1)}};
            planner.update(vms, CacheTime, Base::Milliseconds(500 * n));
            const bool isOverflowing = planner.plans().at(nameOf(0)).isOverflowing;
            changes += isOverflowing != wasOverflowing ? 1 : 0;
            wasOverflowing = isOverflowing;
        }
        CPPUNIT_ASSERT(changes <= 1);
    }

    /// Guards against sending callers to data centres that are as full, and against a division by
    /// an unknown capacity.
    void wholeFleetFullKeepsCallersAtHome()
    {
        for (const std::uint32_t capacity : {0, 100}) {
            Base::RandomEngine random(5);
            Entries::EntryPlanner planner({}, random);
            const std::vector<EntryCandidate> vms{{"a-1", capacity, 200, nameOf(0)},
                {"a-2", capacity, 200, nameOf(0)}, {"b-1", capacity, 200, nameOf(1)},
                {"b-2", capacity, 200, nameOf(1)}};
            for (int n = 0; n < 20; ++n)
                planner.update(vms, CacheTime, Base::Milliseconds(500 * n));
            CPPUNIT_ASSERT(planner.plans().at(nameOf(0)).localShare > 0.99);
            const auto addresses = planner.selectAddresses(nameOf(0), vms);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), addresses.size());
            CPPUNIT_ASSERT(addresses[0].starts_with("a-") && addresses[1].starts_with("a-"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryPlannerTest);

} // namespace Carawaykeel::Tests
