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

/// The start of a life that is older than any window.
constexpr Base::Milliseconds LongAgo(-60'000);

/// Fails when some window has more repeats than it may have.
void checkBudget(
    const std::vector<std::int64_t> &requests, const std::vector<std::int64_t> &repeats)
{
    const auto countUntil = [](const std::vector<std::int64_t> &all, std::int64_t last) {
        return std::upper_bound(all.begin(), all.end(), last)
            - std::upper_bound(all.begin(), all.end(), last - Policy.window.count());
    };
    for (const auto end : repeats) {
        const auto made = countUntil(repeats, end);
        // The bound takes the fullest of the window, the one half a window before it, and the one
        // before it.
        const auto asked = std::max({countUntil(requests, end), countUntil(requests, end - 5'000),
            countUntil(requests, end - 10'000)});
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} repeats of {} requests at {}", made, asked, end),
            static_cast<double>(made) <= Policy.ratio * static_cast<double>(asked) + Policy.slack);
    }
}

} // namespace

/// The instances' shares of the fleet's repeats never add up to more than the whole.
class RetryWindowTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryWindowTest);
    CPPUNIT_TEST(slackIsSharedAmongInstances);
    CPPUNIT_TEST(requestsEarnRepeats);
    CPPUNIT_TEST(oldUseIsForgotten);
    CPPUNIT_TEST(fleetKeepsTheBudgetInEveryWindow);
    CPPUNIT_TEST(restartedFleetKeepsTheBudget);
    CPPUNIT_TEST_SUITE_END();

public:
    void slackIsSharedAmongInstances()
    {
        Forwarding::RetryBudget window(Policy, LongAgo);
        window.setInstanceCount(8);
        int taken = 0;
        while (window.tryTake(Service, Base::Milliseconds(0)))
            ++taken;
        CPPUNIT_ASSERT_EQUAL(7, taken);
    }

    void requestsEarnRepeats()
    {
        Forwarding::RetryBudget window(Policy, LongAgo);
        window.setInstanceCount(56);
        for (int n = 0; n < 10; ++n)
            window.onRequest(Service, Base::Milliseconds(n));
        CPPUNIT_ASSERT_EQUAL(3, window.remainingRetries(Service, Base::Milliseconds(10)));
        CPPUNIT_ASSERT_EQUAL(
            1, window.remainingRetries(Base::ServiceName("other"), Base::Milliseconds(10)));
    }

    void oldUseIsForgotten()
    {
        Forwarding::RetryBudget window(Policy, LongAgo);
        window.setInstanceCount(56);
        CPPUNIT_ASSERT(window.tryTake(Service, Base::Milliseconds(0)));
        CPPUNIT_ASSERT(!window.tryTake(Service, Base::Milliseconds(9'999)));
        CPPUNIT_ASSERT(window.tryTake(Service, Base::Milliseconds(10'000)));
    }

    /// Pattern: every request fails at every instance, with bursts.
    void fleetKeepsTheBudgetInEveryWindow()
    {
        constexpr int Instances = 8;
        constexpr std::int64_t End = 40'000;
        std::mt19937_64 random(5);
        std::vector<Forwarding::RetryBudget> fleet(
            Instances, Forwarding::RetryBudget(Policy, LongAgo));
        for (auto &window : fleet)
            window.setInstanceCount(Instances);
        std::vector<std::int64_t> requests;
        std::vector<std::int64_t> repeats;
        for (std::int64_t now = 0; now < End; ++now) {
            const auto perSecond = (now / 5'000) % 2 == 0 ? 20 : 200;
            if (random() % 1'000 >= static_cast<std::uint64_t>(perSecond))
                continue;
            auto &window = fleet[random() % Instances];
            window.onRequest(Service, Base::Milliseconds(now));
            requests.push_back(now);
            if (window.tryTake(Service, Base::Milliseconds(now)))
                repeats.push_back(now);
        }
        checkBudget(requests, repeats);
    }

    /// Guards against repeats beyond the fleet's bound after restarts: a new life must neither take
    /// its share again nor take the share of instances that it has not met yet.
    void restartedFleetKeepsTheBudget()
    {
        constexpr int Instances = 71;
        constexpr std::int64_t End = 60'000;
        /// All lives end at once, again and again.
        constexpr std::int64_t LifeTime = 12'000;
        /// A new life meets another instance this often.
        constexpr std::int64_t MeetingTime = 100;
        std::mt19937_64 random(7);
        std::vector<Forwarding::RetryBudget> fleet;
        std::vector<std::int64_t> requests;
        std::vector<std::int64_t> repeats;
        for (std::int64_t now = 0; now < End; ++now) {
            if (now % LifeTime == 0)
                fleet.assign(Instances, Forwarding::RetryBudget(Policy, Base::Milliseconds(now)));
            const auto met = std::min<std::int64_t>(Instances, 1 + now % LifeTime / MeetingTime);
            for (int n = 0; n < 2; ++n) {
                auto &window = fleet[random() % Instances];
                window.setInstanceCount(static_cast<int>(met));
                window.onRequest(Service, Base::Milliseconds(now));
                requests.push_back(now);
                if (window.tryTake(Service, Base::Milliseconds(now)))
                    repeats.push_back(now);
            }
        }
        checkBudget(requests, repeats);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryWindowTest);

} // namespace Carawaykeel::Tests
