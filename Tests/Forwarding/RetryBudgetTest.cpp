#include <Carawaykeel/Forwarding/RetryBudget.h>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <random>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

const Base::ServiceName Service("service");
constexpr Forwarding::RetryBudgetPolicy Policy{0.2, 56, Base::Milliseconds(10'000)};

/// Start time of an incarnation that is older than any window.
constexpr Base::Milliseconds BeforeAnyWindow(-60'000);

/// Fails when a window has more retries than the budget allows.
void checkBudget(
    const std::vector<std::int64_t> &requests, const std::vector<std::int64_t> &retries)
{
    const auto countUntil = [](const std::vector<std::int64_t> &times, std::int64_t last) {
        return std::upper_bound(times.begin(), times.end(), last)
            - std::upper_bound(times.begin(), times.end(), last - Policy.window.count());
    };
    for (const auto end : retries) {
        const auto retryCount = countUntil(retries, end);
        // The bound uses the highest request count of three windows: this one, the one half a
        // window earlier and the one a whole window earlier.
        const auto requestCount = std::max({countUntil(requests, end),
            countUntil(requests, end - 5'000), countUntil(requests, end - 10'000)});
        CPPUNIT_ASSERT_MESSAGE(
            fmt::format("{} retries for {} requests at {}", retryCount, requestCount, end),
            static_cast<double>(retryCount)
                <= Policy.ratio * static_cast<double>(requestCount) + Policy.slack);
    }
}

} // namespace

/// Checks that the instances' retries together never exceed the fleet's retry budget.
class RetryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryBudgetTest);
    CPPUNIT_TEST(slackIsSharedAmongInstances);
    CPPUNIT_TEST(requestsEarnRetries);
    CPPUNIT_TEST(oldRetriesExpire);
    CPPUNIT_TEST(fleetStaysWithinBudgetInEveryWindow);
    CPPUNIT_TEST(restartedFleetStaysWithinBudget);
    CPPUNIT_TEST_SUITE_END();

public:
    void slackIsSharedAmongInstances()
    {
        Forwarding::RetryBudget budget(Policy, BeforeAnyWindow);
        budget.setInstanceCount(8);
        int taken = 0;
        while (budget.tryTake(Service, Base::Milliseconds(0)))
            ++taken;
        CPPUNIT_ASSERT_EQUAL(7, taken);
    }

    void requestsEarnRetries()
    {
        Forwarding::RetryBudget budget(Policy, BeforeAnyWindow);
        budget.setInstanceCount(56);
        for (int n = 0; n < 10; ++n)
            budget.onRequest(Service, Base::Milliseconds(n));
        CPPUNIT_ASSERT_EQUAL(3, budget.remainingRetries(Service, Base::Milliseconds(10)));
        CPPUNIT_ASSERT_EQUAL(
            1, budget.remainingRetries(Base::ServiceName("other"), Base::Milliseconds(10)));
    }

    void oldRetriesExpire()
    {
        Forwarding::RetryBudget budget(Policy, BeforeAnyWindow);
        budget.setInstanceCount(56);
        CPPUNIT_ASSERT(budget.tryTake(Service, Base::Milliseconds(0)));
        CPPUNIT_ASSERT(!budget.tryTake(Service, Base::Milliseconds(9'999)));
        CPPUNIT_ASSERT(budget.tryTake(Service, Base::Milliseconds(10'000)));
    }

    /// Every request fails at every instance, and requests arrive in bursts.
    void fleetStaysWithinBudgetInEveryWindow()
    {
        constexpr int Instances = 8;
        constexpr std::int64_t End = 40'000;
        std::mt19937_64 random(5);
        std::vector<Forwarding::RetryBudget> fleet(
            Instances, Forwarding::RetryBudget(Policy, BeforeAnyWindow));
        for (auto &budget : fleet)
            budget.setInstanceCount(Instances);
        std::vector<std::int64_t> requests;
        std::vector<std::int64_t> retries;
        for (std::int64_t now = 0; now < End; ++now) {
            const auto perSecond = (now / 5'000) % 2 == 0 ? 20 : 200;
            if (random() % 1'000 >= static_cast<std::uint64_t>(perSecond))
                continue;
            auto &budget = fleet[random() % Instances];
            budget.onRequest(Service, Base::Milliseconds(now));
            requests.push_back(now);
            if (budget.tryTake(Service, Base::Milliseconds(now)))
                retries.push_back(now);
        }
        checkBudget(requests, retries);
    }

    /// Guards against exceeding the fleet's retry budget after restarts: a new incarnation must
    /// neither use its share again nor use the shares of instances that it does not know yet.
    void restartedFleetStaysWithinBudget()
    {
        constexpr int Instances = 71;
        constexpr std::int64_t End = 60'000;
        // All instances restart together at this interval.
        constexpr std::int64_t RestartInterval = 12'000;
        // A new incarnation discovers one more instance at this interval.
        constexpr std::int64_t DiscoveryInterval = 100;
        std::mt19937_64 random(7);
        std::vector<Forwarding::RetryBudget> fleet;
        std::vector<std::int64_t> requests;
        std::vector<std::int64_t> retries;
        for (std::int64_t now = 0; now < End; ++now) {
            if (now % RestartInterval == 0)
                fleet.assign(Instances, Forwarding::RetryBudget(Policy, Base::Milliseconds(now)));
            const auto knownInstances =
                std::min<std::int64_t>(Instances, 1 + now % RestartInterval / DiscoveryInterval);
            for (int n = 0; n < 2; ++n) {
                auto &budget = fleet[random() % Instances];
                budget.setInstanceCount(static_cast<int>(knownInstances));
                budget.onRequest(Service, Base::Milliseconds(now));
                requests.push_back(now);
                if (budget.tryTake(Service, Base::Milliseconds(now)))
                    retries.push_back(now);
            }
        }
        checkBudget(requests, retries);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

} // namespace Carawaykeel::Tests
