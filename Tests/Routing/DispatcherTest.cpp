#include <Carawaykeel/Routing/Dispatcher.h>
#include <Support/VirtualWorld.h>
#include <Support/WorldScheduler.h>

#include <cppunit/extensions/HelperMacros.h>
#include <map>

namespace Carawaykeel::Tests {

namespace {

const Base::ServiceName Service("service");

} // namespace

/// Choice of servers, priorities, the minute's ceiling, ejection and retries.
class DispatcherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatcherTest);
    CPPUNIT_TEST(highPriorityGoesFirst);
    CPPUNIT_TEST(fullQueueShedsTheLowest);
    CPPUNIT_TEST(waitingEndsAtTheDeadline);
    CPPUNIT_TEST(noMinutePassesTheCeiling);
    CPPUNIT_TEST(failingServersAreEjectedDownToTheFloor);
    CPPUNIT_TEST(retriesStayWithinTheirShare);
    CPPUNIT_TEST(samePrefixGoesToTheSameServer);
    CPPUNIT_TEST_SUITE_END();

public:
    VirtualWorld world{3};
    WorldScheduler scheduler{world};
    Routing::RoutingPolicy policy;

    Routing::Dispatcher make(int servers, int capacity, Base::Tokens ceiling = Base::Tokens())
    {
        Routing::Dispatcher dispatcher(scheduler, world.random(), policy);
        std::vector<Routing::ServerDefinition> definitions;
        for (int n = 0; n < servers; ++n) {
            definitions.push_back({Base::ServerName("server-" + std::to_string(n)), "127.0.0.1:1",
                Base::DataCentre("dc"), capacity});
        }
        dispatcher.setService(Service, definitions, ceiling);
        return dispatcher;
    }

    Routing::SlotRequest request(Routing::Priority priority, std::int64_t tokens = 0)
    {
        return {
            Service, priority, Base::Tokens(tokens), world.now() + Base::Milliseconds(10'000), {}};
    }

    void highPriorityGoesFirst()
    {
        auto dispatcher = make(1, 1);
        std::vector<std::string> order;
        Routing::Slot first;
        dispatcher.acquire(request(Routing::Priority::Urgent),
            [&](const auto &outcome) { first = std::get<Routing::Slot>(outcome); });
        dispatcher.acquire(
            request(Routing::Priority::Low), [&](const auto &) { order.emplace_back("low"); });
        dispatcher.acquire(request(Routing::Priority::Urgent), [&](const auto &outcome) {
            order.emplace_back("urgent");
            dispatcher.release(
                std::get<Routing::Slot>(outcome), Routing::SlotResult::Succeeded, {});
        });
        dispatcher.release(first, Routing::SlotResult::Succeeded, {});
        CPPUNIT_ASSERT_EQUAL(std::string("urgent"), order.at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("low"), order.at(1));
    }

    void fullQueueShedsTheLowest()
    {
        policy.queueLimit = 1;
        auto dispatcher = make(1, 1);
        dispatcher.acquire(request(Routing::Priority::Urgent), [](const auto &) {});
        Base::ErrorKind kind = Base::ErrorKind::Internal;
        dispatcher.acquire(request(Routing::Priority::Low),
            [&](const auto &outcome) { kind = std::get<Base::Failure>(outcome).kind; });
        bool isAnswered = false;
        dispatcher.acquire(
            request(Routing::Priority::High), [&](const auto &) { isAnswered = true; });
        CPPUNIT_ASSERT(kind == Base::ErrorKind::QueueFull);
        CPPUNIT_ASSERT(!isAnswered);
    }

    void waitingEndsAtTheDeadline()
    {
        auto dispatcher = make(1, 1);
        dispatcher.acquire(request(Routing::Priority::Normal), [](const auto &) {});
        Base::ErrorKind kind = Base::ErrorKind::Internal;
        dispatcher.acquire(request(Routing::Priority::Normal),
            [&](const auto &outcome) { kind = std::get<Base::Failure>(outcome).kind; });
        world.run(Base::Milliseconds(10'000));
        CPPUNIT_ASSERT(kind == Base::ErrorKind::QueueTimeout);
    }

    void noMinutePassesTheCeiling()
    {
        constexpr std::int64_t Ceiling = 60'000;
        constexpr std::int64_t Each = 500;
        auto dispatcher = make(4, 1'000, Base::Tokens(Ceiling));
        std::map<std::int64_t, std::int64_t> taken;
        std::int64_t urgent = 0;
        // Twice the ceiling's load, every tenth request urgent.
        for (int n = 0; n < 1'200; ++n) {
            const auto priority = n % 10 == 0 ? Routing::Priority::Urgent : Routing::Priority::Low;
            dispatcher.acquire(request(priority, Each), [&, priority](const auto &outcome) {
                if (!std::holds_alternative<Routing::Slot>(outcome))
                    return;
                taken[world.now().count()] += Each;
                urgent += priority == Routing::Priority::Urgent ? 1 : 0;
                dispatcher.release(
                    std::get<Routing::Slot>(outcome), Routing::SlotResult::Succeeded, {});
            });
            world.run(Base::Milliseconds(250));
        }
        world.run(Base::Milliseconds(60'000));
        for (const auto &[start, tokens] : taken) {
            std::int64_t inMinute = 0;
            for (auto it = taken.lower_bound(start);
                 it != taken.end() && it->first < start + 60'000; ++it)
                inMinute += it->second;
            CPPUNIT_ASSERT(inMinute <= Ceiling);
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t(120), urgent);
    }

    void failingServersAreEjectedDownToTheFloor()
    {
        auto dispatcher = make(4, 100);
        for (int n = 0; n < 200; ++n) {
            dispatcher.acquire(request(Routing::Priority::Normal), [&](const auto &outcome) {
                const auto slot = std::get<Routing::Slot>(outcome);
                const bool isGood = slot.server.text() == "server-3";
                dispatcher.release(slot,
                    isGood ? Routing::SlotResult::Succeeded : Routing::SlotResult::Failed, {});
            });
        }
        int ejected = 0;
        for (const auto &server : dispatcher.servers())
            ejected += server.ejectedUntil > world.now() ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(3, ejected);
        // Half of the servers are kept all the same, so requests still find one.
        bool isServed = false;
        dispatcher.acquire(request(Routing::Priority::Normal),
            [&](const auto &outcome) { isServed = outcome.index() == 0; });
        CPPUNIT_ASSERT(isServed);
    }

    void retriesStayWithinTheirShare()
    {
        auto dispatcher = make(1, 10'000);
        int retries = 0;
        for (int n = 0; n < 1'000; ++n) {
            dispatcher.acquire(request(Routing::Priority::Normal), [](const auto &) {});
            retries += dispatcher.tryTakeRetry(Service) ? 1 : 0;
        }
        CPPUNIT_ASSERT(retries <= 1'000 * policy.retryRatio + policy.retryBurst);
    }

    void samePrefixGoesToTheSameServer()
    {
        auto dispatcher = make(8, 100);
        std::map<std::string, int> servers;
        for (int n = 0; n < 50; ++n) {
            auto wanted = request(Routing::Priority::Normal);
            wanted.preference.prefixHash = 77;
            dispatcher.acquire(wanted, [&](const auto &outcome) {
                const auto slot = std::get<Routing::Slot>(outcome);
                ++servers[slot.server.text()];
                dispatcher.release(slot, Routing::SlotResult::Succeeded, {});
            });
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), servers.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

} // namespace Carawaykeel::Tests
