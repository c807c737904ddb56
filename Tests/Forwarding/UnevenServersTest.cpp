#include <Carawaykeel/Forwarding/ServerPool.h>
#include <Support/VirtualWorld.h>

#include <algorithm>
#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <fmt/core.h>
#include <functional>
#include <memory>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

const Base::ServiceName Service("service");
constexpr std::size_t Servers = 6;
constexpr std::size_t Instances = 8;
constexpr int Slots = 4;
constexpr double WorkTime = 50;
constexpr Base::Milliseconds NetworkDelay{2};

Forwarding::ServerEntry makeEntry(std::size_t n)
{
    Forwarding::ServerEntry entry;
    entry.name = Base::ServerName(fmt::format("server-{}", n));
    entry.service = Service;
    entry.dataCentre = Base::DataCentre("dc");
    entry.slots = Slots;
    return entry;
}

/// Instances that send plain requests to servers whose speed differs and changes.
class UnevenWorkload
{
public:
    /// How long work takes on a server at a time, in percent.
    using WorkTimes = std::function<int(std::size_t server, Base::Milliseconds now)>;

    UnevenWorkload(std::uint64_t seed, bool reportsWorkTime, WorkTimes workTimes)
        : m_world(seed)
        , m_random(seed)
        , m_reportsWorkTime(reportsWorkTime)
        , m_workTimes(std::move(workTimes))
    {
        for (std::size_t n = 0; n < Instances; ++n) {
            m_pools.push_back(std::make_unique<Forwarding::ServerPool>(
                Base::DataCentre("dc"), Forwarding::ServerSelectionPolicy(), m_random));
            for (std::size_t server = 0; server < Servers; ++server)
                m_pools.back()->addOrUpdate(makeEntry(server));
        }
    }

    /// Sends requests until the given time. Counts begin anew.
    void playUntil(Base::Milliseconds end, double requestsPerSecond)
    {
        m_sent = {};
        m_durations = m_served = 0;
        std::exponential_distribution<double> gap(requestsPerSecond / 1'000);
        for (double at = static_cast<double>(m_world.now().count());;) {
            at += gap(m_random);
            if (at >= static_cast<double>(end.count()))
                break;
            m_world.schedule(Base::Milliseconds(static_cast<std::int64_t>(at)) - m_world.now(),
                [this] { send(); });
        }
        m_world.run(end - m_world.now());
    }

    double share(std::size_t server) const
    {
        double sum = 0;
        for (const auto count : m_sent)
            sum += count;
        return m_sent.at(server) / sum;
    }
    double meanDuration() const { return m_durations / m_served; }

private:
    struct Request
    {
        std::size_t instance = 0;
        Base::Milliseconds sentAt;
        double requestsAhead = 0;
    };
    struct Server
    {
        int running = 0;
        std::deque<Request> queue;
    };

    void send()
    {
        const auto instance = m_random() % Instances;
        auto &pool = *m_pools.at(instance);
        const auto now = m_world.now();
        const auto *selected = pool.selectServer({Service, {}, {}}, now);
        const auto server = static_cast<std::size_t>(selected->entry.name.text().back() - '0');
        const Request request{instance, now, pool.estimatedRequestsAt(*selected, now)};
        pool.onRequestSent(selected->entry.name, {}, now);
        ++m_sent.at(server);
        m_world.schedule(NetworkDelay, [this, server, request] {
            m_servers.at(server).queue.push_back(request);
            startNext(server);
        });
    }

    void startNext(std::size_t n)
    {
        auto &server = m_servers.at(n);
        while (server.running < Slots && !server.queue.empty()) {
            const auto request = server.queue.front();
            server.queue.pop_front();
            ++server.running;
            work(n, request, WorkTime);
        }
    }

    /// Works off the remaining milliseconds in steps, since the speed changes meanwhile.
    void work(std::size_t n, const Request &request, double remaining)
    {
        constexpr Base::Milliseconds Step{5};
        if (remaining > 0) {
            remaining -= static_cast<double>(Step.count()) * 100 / m_workTimes(n, m_world.now());
            m_world.schedule(Step, [this, n, request, remaining] { work(n, request, remaining); });
            return;
        }
        auto &server = m_servers.at(n);
        --server.running;
        startNext(n);
        Forwarding::ReportedLoad load{server.running, static_cast<int>(server.queue.size()), Slots};
        if (m_reportsWorkTime)
            load.workTimePercent = m_workTimes(n, m_world.now());
        m_world.schedule(NetworkDelay, [this, n, request, load] {
            const auto now = m_world.now();
            auto &pool = *m_pools.at(request.instance);
            const auto name = makeEntry(n).name;
            pool.onLoadReport(name, load, now);
            pool.onServed(
                name, {now - request.sentAt, now - request.sentAt, request.requestsAhead});
            pool.onAttemptEnded(name, false, now);
            m_durations += static_cast<double>((now - request.sentAt).count());
            ++m_served;
        });
    }

    VirtualWorld m_world;
    Base::RandomEngine m_random;
    const bool m_reportsWorkTime;
    const WorkTimes m_workTimes;
    std::array<Server, Servers> m_servers;
    std::vector<std::unique_ptr<Forwarding::ServerPool>> m_pools;
    std::array<double, Servers> m_sent{};
    double m_durations = 0;
    double m_served = 0;
};

} // namespace

/// Selection among servers whose speed differs.
class UnevenServersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnevenServersTest);
    CPPUNIT_TEST(requestsFollowSpeed);
    CPPUNIT_TEST(shortSlowdownIsAvoidedForItsTime);
    CPPUNIT_TEST(promptsGoWhereTheyCompleteFirst);
    CPPUNIT_TEST(promptsAreNotSentToFullMemory);
    CPPUNIT_TEST(instancesWithTheSameReportSpread);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against slow servers that get as many requests as the others.
    void requestsFollowSpeed()
    {
        const auto workTimes = [](std::size_t n, Base::Milliseconds) { return n < 2 ? 270 : 100; };
        for (const double rate : {100.0, 200.0, 300.0}) {
            std::array<double, 2> means{};
            for (const bool reports : {false, true}) {
                UnevenWorkload workload(1, reports, workTimes);
                workload.playUntil(Base::Milliseconds(5'000), rate);
                workload.playUntil(Base::Milliseconds(20'000), rate);
                means.at(reports ? 1 : 0) = workload.meanDuration();
                CPPUNIT_ASSERT(!reports || workload.share(0) + workload.share(1) < 0.1);
            }
            // At 300 a second the four fast servers have no room left.
            const auto figures =
                fmt::format("{} a second: {:.1f} ms instead of {:.1f}", rate, means[1], means[0]);
            CPPUNIT_ASSERT_MESSAGE(figures, means[1] < (rate < 300 ? 0.85 : 1.05) * means[0]);
        }
    }

    /// Guards against avoiding a server for longer than it is slow, and against not seeing it.
    void shortSlowdownIsAvoidedForItsTime()
    {
        const auto workTimes = [](std::size_t n, Base::Milliseconds now) {
            const auto at = now.count();
            return n == 0 && at >= 10'000 && at < 10'500 ? 250 : 100;
        };
        constexpr int Seeds = 20;
        double during = 0;
        double after = 0;
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            UnevenWorkload workload(seed, true, workTimes);
            constexpr double Rate = 250;
            workload.playUntil(Base::Milliseconds(10'100), Rate);
            workload.playUntil(Base::Milliseconds(10'500), Rate);
            during += workload.share(0) / Seeds;
            workload.playUntil(Base::Milliseconds(10'800), Rate);
            workload.playUntil(Base::Milliseconds(11'300), Rate);
            after += workload.share(0) / Seeds;
        }
        const auto figures = fmt::format("during {:.3f}, after {:.3f}", during, after);
        CPPUNIT_ASSERT_MESSAGE(figures, during < 0.5 / Servers);
        CPPUNIT_ASSERT_MESSAGE(figures, after > 0.75 / Servers);
    }

    /// The caller's estimate decides between a server that is fast with prompts and one that is
    /// fast with responses; a new incarnation starts from the middle of the others.
    void promptsGoWhereTheyCompleteFirst()
    {
        Base::RandomEngine random(3);
        Forwarding::ServerPool pool(Base::DataCentre("dc"), {}, random);
        for (std::size_t n = 0; n < 3; ++n) {
            pool.addOrUpdate(makeEntry(n));
            pool.onLoadReport(makeEntry(n).name, {0, 0, Slots, 100}, Base::Milliseconds());
            // 0.1 ms for each prompt token and 30 ms for each token of the response, or 0.5 and 10.
            const Base::Milliseconds toFirst(n == 0 ? 110 : 550);
            pool.onServed(makeEntry(n).name,
                {toFirst, toFirst + Base::Milliseconds(n == 0 ? 3'000 : 1'000), 0, 1'000, 100});
        }
        const std::vector<Forwarding::PromptPart> prompt{{1, Base::Tokens(2'000)}};
        const auto select = [&](std::int64_t tokens) {
            return pool
                .selectServer({Service, prompt, {}, Base::Tokens(tokens)}, Base::Milliseconds(50))
                ->entry.name;
        };
        CPPUNIT_ASSERT(select(5) == makeEntry(0).name);
        // The rest of a response counts little beside the time until its first event.
        CPPUNIT_ASSERT(select(500) == makeEntry(0).name);
        CPPUNIT_ASSERT(select(3'000) != makeEntry(0).name);
        auto restarted = makeEntry(0);
        ++restarted.startedAt;
        pool.addOrUpdate(restarted);
        const auto expected = [&](std::size_t n) {
            const auto servers = pool.servers();
            const auto server = std::ranges::find(
                servers, makeEntry(n).name, [](const auto &item) { return item.entry.name; });
            return pool.expectedTime(
                *server, {Service, prompt, {}, Base::Tokens(5)}, Base::Milliseconds(50));
        };
        CPPUNIT_ASSERT_DOUBLES_EQUAL(expected(1).value(), expected(0).value(), 1);
    }

    /// Guards against a prompt that crashes a server because its memory is full.
    void promptsAreNotSentToFullMemory()
    {
        Base::RandomEngine random(3);
        Forwarding::ServerPool pool(Base::DataCentre("dc"), {}, random);
        pool.setMemoryCapacity(Service, Base::Tokens(10'000));
        const auto name = makeEntry(0).name;
        pool.addOrUpdate(makeEntry(0));
        const std::vector<Forwarding::PromptPart> prompt{{1, Base::Tokens(100)}};
        const auto canSend = [&](std::int64_t tokens) {
            const auto *server = pool.selectServer(
                {Service, prompt, {}, {}, Base::Tokens(tokens)}, Base::Milliseconds(10));
            return server != nullptr;
        };
        // Without the fourth figure, the rule does not apply.
        CPPUNIT_ASSERT(canSend(20'000));
        pool.onLoadReport(name, {0, 0, Slots, 100}, Base::Milliseconds(10));
        CPPUNIT_ASSERT(!canSend(20'000));
        CPPUNIT_ASSERT(canSend(9'000));
        pool.onRequestSent(name, prompt, Base::Milliseconds(10));
        pool.onMemoryUsed(name, Base::Tokens(4'000));
        CPPUNIT_ASSERT(canSend(5'000));
        CPPUNIT_ASSERT(!canSend(5'001));
        // Another instance's request at the server counts as large as this instance's.
        pool.onLoadReport(name, {2, 0, Slots, 100}, Base::Milliseconds(10));
        CPPUNIT_ASSERT(canSend(1'000));
        CPPUNIT_ASSERT(!canSend(1'001));
        pool.onMemoryFreed(name, Base::Tokens(4'000));
        CPPUNIT_ASSERT(canSend(5'000));
    }

    /// Guards against all instances choosing the server that the last report praises.
    void instancesWithTheSameReportSpread()
    {
        Base::RandomEngine random(3);
        std::array<int, Servers> selected{};
        for (int instance = 0; instance < 300; ++instance) {
            Forwarding::ServerPool pool(Base::DataCentre("dc"), {}, random);
            for (std::size_t n = 0; n < Servers; ++n) {
                pool.addOrUpdate(makeEntry(n));
                pool.onLoadReport(makeEntry(n).name, {1, 0, Slots, 100}, Base::Milliseconds(900));
                pool.onLoadReport(
                    makeEntry(n).name, {1, 0, Slots, n == 0 ? 90 : 100}, Base::Milliseconds(1'000));
            }
            const auto *server = pool.selectServer({Service, {}, {}}, Base::Milliseconds(1'000));
            ++selected.at(static_cast<std::size_t>(server->entry.name.text().back() - '0'));
        }
        // Three samples out of six servers name the best one in 42 of 100 cases.
        CPPUNIT_ASSERT(std::ranges::max(selected) < 170);
        CPPUNIT_ASSERT(selected[0] > 50);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnevenServersTest);

} // namespace Carawaykeel::Tests
