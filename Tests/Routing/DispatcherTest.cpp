#include <Carawaykeel/Routing/Dispatcher.h>
#include <Support/VirtualWorld.h>
#include <Support/WorldScheduler.h>

#include <cppunit/extensions/HelperMacros.h>
#include <map>

namespace Carawaykeel::Tests {

namespace {

const Base::ServiceName Service("service");

} // namespace

/// Checks server selection, priorities, the token rate limit, ejection and retries.
class DispatcherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatcherTest);
    CPPUNIT_TEST(higherPriorityIsDispatchedFirst);
    CPPUNIT_TEST(fullQueueShedsLowestPriority);
    CPPUNIT_TEST(queuedRequestFailsAtDeadline);
    CPPUNIT_TEST(tokenRateStaysWithinLimit);
    CPPUNIT_TEST(ejectionKeepsMinimumShareOfServers);
    CPPUNIT_TEST(retriesStayWithinBudget);
    CPPUNIT_TEST(samePrefixIsSentToSameServer);
    CPPUNIT_TEST_SUITE_END();

public:
    VirtualWorld world{3};
    WorldScheduler scheduler{world};
    Routing::RoutingPolicy policy;

    Routing::Dispatcher makeDispatcher(
        int servers, int capacity, Base::Tokens tokensPerMinuteLimit = Base::Tokens())
    {
        Routing::Dispatcher dispatcher(scheduler, world.random(), policy);
        std::vector<Routing::ServerDefinition> definitions;
        for (int n = 0; n < servers; ++n) {
            definitions.push_back({Base::ServerName("server-" + std::to_string(n)), "127.0.0.1:1",
                Base::DataCentre("dc"), capacity});
        }
        dispatcher.setService(Service, definitions, tokensPerMinuteLimit);
        return dispatcher;
    }

    Routing::SlotRequest makeRequest(Routing::Priority priority, std::int64_t tokens = 0)
    {
        return {
            Service, priority, Base::Tokens(tokens), world.now() + Base::Milliseconds(10'000), {}};
    }

    void higherPriorityIsDispatchedFirst()
    {
        auto dispatcher = makeDispatcher(1, 1);
        std::vector<std::string> order;
        Routing::Slot first;
        dispatcher.acquire(makeRequest(Routing::Priority::Urgent),
            [&](const auto &outcome) { first = std::get<Routing::Slot>(outcome); });
        dispatcher.acquire(
            makeRequest(Routing::Priority::Low), [&](const auto &) { order.emplace_back("low"); });
        dispatcher.acquire(makeRequest(Routing::Priority::Urgent), [&](const auto &outcome) {
            order.emplace_back("urgent");
            dispatcher.release(
                std::get<Routing::Slot>(outcome), Routing::SlotResult::Succeeded, {});
        });
        dispatcher.release(first, Routing::SlotResult::Succeeded, {});
        CPPUNIT_ASSERT_EQUAL(std::string("urgent"), order.at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("low"), order.at(1));
    }

    void fullQueueShedsLowestPriority()
    {
        policy.queueLimit = 1;
        auto dispatcher = makeDispatcher(1, 1);
        dispatcher.acquire(makeRequest(Routing::Priority::Urgent), [](const auto &) {});
        Base::ErrorKind kind = Base::ErrorKind::Internal;
        dispatcher.acquire(makeRequest(Routing::Priority::Low),
            [&](const auto &outcome) { kind = std::get<Base::Failure>(outcome).kind; });
        bool isCallbackCalled = false;
        dispatcher.acquire(
            makeRequest(Routing::Priority::High), [&](const auto &) { isCallbackCalled = true; });
        CPPUNIT_ASSERT(kind == Base::ErrorKind::QueueFull);
        CPPUNIT_ASSERT(!isCallbackCalled);
    }

    void queuedRequestFailsAtDeadline()
    {
        auto dispatcher = makeDispatcher(1, 1);
        dispatcher.acquire(makeRequest(Routing::Priority::Normal), [](const auto &) {});
        Base::ErrorKind kind = Base::ErrorKind::Internal;
        dispatcher.acquire(makeRequest(Routing::Priority::Normal),
            [&](const auto &outcome) { kind = std::get<Base::Failure>(outcome).kind; });
        world.run(Base::Milliseconds(10'000));
        CPPUNIT_ASSERT(kind == Base::ErrorKind::QueueTimeout);
    }

    void tokenRateStaysWithinLimit()
    {
        constexpr std::int64_t TokensPerMinute = 60'000;
        constexpr std::int64_t TokensPerRequest = 500;
        auto dispatcher = makeDispatcher(4, 1'000, Base::Tokens(TokensPerMinute));
        std::map<std::int64_t, std::int64_t> dispatchedTokens;
        std::int64_t urgentCount = 0;
        // The load is twice the limit; every tenth request is urgent.
        for (int n = 0; n < 1'200; ++n) {
            const auto priority = n % 10 == 0 ? Routing::Priority::Urgent : Routing::Priority::Low;
            dispatcher.acquire(
                makeRequest(priority, TokensPerRequest), [&, priority](const auto &outcome) {
                    if (!std::holds_alternative<Routing::Slot>(outcome))
                        return;
                    dispatchedTokens[world.now().count()] += TokensPerRequest;
                    urgentCount += priority == Routing::Priority::Urgent ? 1 : 0;
                    dispatcher.release(
                        std::get<Routing::Slot>(outcome), Routing::SlotResult::Succeeded, {});
                });
            world.run(Base::Milliseconds(250));
        }
        world.run(Base::Milliseconds(60'000));
        for (const auto &[start, tokens] : dispatchedTokens) {
            std::int64_t inMinute = 0;
            for (auto it = dispatchedTokens.lower_bound(start);
                 it != dispatchedTokens.end() && it->first < start + 60'000; ++it)
                inMinute += it->second;
            CPPUNIT_ASSERT(inMinute <= TokensPerMinute);
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t(120), urgentCount);
    }

    void ejectionKeepsMinimumShareOfServers()
    {
        auto dispatcher = makeDispatcher(4, 100);
        for (int n = 0; n < 200; ++n) {
            dispatcher.acquire(makeRequest(Routing::Priority::Normal), [&](const auto &outcome) {
                const auto slot = std::get<Routing::Slot>(outcome);
                const bool isHealthy = slot.server.text() == "server-3";
                dispatcher.release(slot,
                    isHealthy ? Routing::SlotResult::Succeeded : Routing::SlotResult::Failed, {});
            });
        }
        int ejected = 0;
        for (const auto &server : dispatcher.servers())
            ejected += server.ejectedUntil > world.now() ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(3, ejected);
        // Half of the servers stay eligible despite their ejection, so requests still get one.
        bool isServed = false;
        dispatcher.acquire(makeRequest(Routing::Priority::Normal),
            [&](const auto &outcome) { isServed = outcome.index() == 0; });
        CPPUNIT_ASSERT(isServed);
    }

    void retriesStayWithinBudget()
    {
        auto dispatcher = makeDispatcher(1, 10'000);
        int retries = 0;
        for (int n = 0; n < 1'000; ++n) {
            dispatcher.acquire(makeRequest(Routing::Priority::Normal), [](const auto &) {});
            retries += dispatcher.tryTakeRetry(Service) ? 1 : 0;
        }
        CPPUNIT_ASSERT(retries <= 1'000 * policy.retryRatio + policy.retryBurst);
    }

    void samePrefixIsSentToSameServer()
    {
        auto dispatcher = makeDispatcher(8, 100);
        std::map<std::string, int> servers;
        for (int n = 0; n < 50; ++n) {
            auto slotRequest = makeRequest(Routing::Priority::Normal);
            slotRequest.preference.prefixHash = 77;
            dispatcher.acquire(slotRequest, [&](const auto &outcome) {
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
