#include <Carawaykeel/Forwarding/ServerPool.h>
#include <Support/SeedRange.h>
#include <Support/VirtualWorld.h>

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <fmt/core.h>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

const Base::ServiceName Service("service");
constexpr int Instances = 8;
constexpr int Servers = 9;
/// Speed of Lisovna Hub's engines, and the rate and sizes of its season reports.
constexpr double TokensPerMillisecond = 92.1;
constexpr double MillisecondsPerMillionPairs = 0.35;
constexpr double ReportsPerSecond = 14.2;
constexpr Base::Milliseconds Objective{800};
constexpr std::int64_t SharedTokens = 4'870;
constexpr std::uint64_t SharedParts = 53;
constexpr double MedianOwnTokens = 2'500;
constexpr double OwnTokensSpread = 1.4;
constexpr std::int64_t MaxOwnTokens = 54'600;
constexpr Base::Milliseconds MessageDelay{2};
constexpr double MessageLoss = 0.03;

/// An engine that processes prompts one after another and caches all parts.
struct Engine
{
    Base::Milliseconds freeAt;
    std::set<std::uint64_t> cachedParts;

    Base::Milliseconds process(
        std::span<const Forwarding::PromptPart> prompt, Base::Milliseconds now)
    {
        double uncachedTokens = 0;
        double promptTokens = 0;
        for (const auto &part : prompt) {
            const auto count = static_cast<double>(part.tokens.count());
            if (cachedParts.insert(part.id).second)
                uncachedTokens += count;
            promptTokens += count;
        }
        const auto time = uncachedTokens / TokensPerMillisecond
            + uncachedTokens * promptTokens / 1e6 * MillisecondsPerMillionPairs;
        freeAt = std::max(freeAt, now) + Base::Milliseconds(static_cast<std::int64_t>(time));
        return freeAt;
    }
};

/// Simulates instances that send prompts of very different lengths to shared engines.
class PromptWorkload
{
public:
    PromptWorkload(int seed, bool sharesBacklogs)
        : m_world(static_cast<std::uint64_t>(seed))
        , m_random(static_cast<std::uint64_t>(seed))
        , m_sharesBacklogs(sharesBacklogs)
        , m_engines(Servers)
    {
        for (int n = 0; n < Instances; ++n) {
            m_pools.push_back(std::make_unique<Forwarding::ServerPool>(
                Base::DataCentre("dc"), Forwarding::ServerSelectionPolicy(), m_random));
            for (int server = 0; server < Servers; ++server)
                m_pools.back()->addOrUpdate(makeEntry(server));
        }
    }

    /// Returns the share of requests that missed the objective because of other requests' prompts.
    double lateShare(Base::Milliseconds duration)
    {
        const auto end = m_world.now() + duration;
        while (m_world.now() < end) {
            m_world.run(Base::Milliseconds(
                m_world.draw(1, static_cast<std::int64_t>(2'000 / ReportsPerSecond))));
            sendOne();
        }
        return static_cast<double>(m_lateCount) / m_sentCount;
    }

private:
    static Forwarding::ServerEntry makeEntry(int n)
    {
        Forwarding::ServerEntry entry;
        entry.name = Base::ServerName("server-" + std::to_string(n));
        entry.service = Service;
        entry.dataCentre = Base::DataCentre("dc");
        entry.slots = 64;
        return entry;
    }

    void sendOne()
    {
        std::lognormal_distribution<double> ownTokensDistribution(
            std::log(MedianOwnTokens), OwnTokensSpread);
        const auto ownTokens =
            std::min(static_cast<std::int64_t>(ownTokensDistribution(m_random)), MaxOwnTokens);
        const std::vector<Forwarding::PromptPart> prompt{
            {static_cast<std::uint64_t>(m_world.draw(1, SharedParts)), Base::Tokens(SharedTokens)},
            {++m_lastPart, Base::Tokens(ownTokens)}};
        const auto instance = static_cast<std::size_t>(m_world.draw(0, Instances - 1));
        auto &pool = *m_pools.at(instance);
        const auto now = m_world.now();
        const auto name = pool.selectServer({Service, prompt, {}}, now)->entry.name;
        const auto unprocessed = pool.onRequestSent(name, prompt, now);
        sendBacklog(instance, name);
        auto &engine = m_engines.at(static_cast<std::size_t>(name.text().back() - '0'));
        const auto queueTime = std::max(engine.freeAt - now, Base::Milliseconds());
        const auto processedAt = engine.process(prompt, now);
        ++m_sentCount;
        // A prompt that takes longer than the objective by itself is late at any server.
        const bool isLateByItself = processedAt - now - queueTime > Objective;
        if (processedAt - now > Objective && !isLateByItself)
            ++m_lateCount;
        m_world.schedule(processedAt - now, [this, instance, name, unprocessed] {
            m_pools.at(instance)->onPromptProcessed(name, unprocessed);
            sendBacklog(instance, name);
        });
    }

    void sendBacklog(std::size_t from, const Base::ServerName &server)
    {
        if (!m_sharesBacklogs)
            return;
        for (std::size_t to = 0; to < Instances; ++to) {
            if (to == from || m_world.happens(MessageLoss))
                continue;
            m_world.schedule(MessageDelay,
                [this, from, to,
                    backlogs = std::vector<Forwarding::ServerBacklog>{
                        {server, m_pools.at(from)->unprocessedTokensAt(server)}}] {
                    m_pools.at(to)->onPeerBacklogs(
                        Base::InstanceName("entry-" + std::to_string(from)), backlogs,
                        m_world.now());
                });
        }
    }

    VirtualWorld m_world;
    Base::RandomEngine m_random;
    const bool m_sharesBacklogs;
    std::vector<Engine> m_engines;
    std::vector<std::unique_ptr<Forwarding::ServerPool>> m_pools;
    std::uint64_t m_lastPart = 1'000;
    int m_sentCount = 0;
    int m_lateCount = 0;
};

void checkLateShare(int seed, bool sharesBacklogs)
{
    // At most one request in twenty may be late because of other callers' prompts.
    const auto share = PromptWorkload(seed, sharesBacklogs).lateShare(Base::Milliseconds(60'000));
    CPPUNIT_ASSERT_MESSAGE(fmt::format("late {:.3f}", share), share <= 0.05);
}

} // namespace

/// Checks that server selection keeps requests from waiting behind other requests' long prompts.
class PromptPlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PromptPlacementTest);
    CPPUNIT_TEST(shortPromptsDoNotWaitBehindLongOnes);
    CPPUNIT_TEST(missingBacklogReportsAreDetected);
    CPPUNIT_TEST(peerBacklogExpires);
    CPPUNIT_TEST(cachedPartsAreNotProcessedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Prompts of very different lengths arrive at all instances. A single one can occupy a server
    /// for longer than the latency objective of the others.
    void shortPromptsDoNotWaitBehindLongOnes()
    {
        forEachSeed(10, [](int seed) { checkLateShare(seed, true); });
    }

    void missingBacklogReportsAreDetected()
    {
        expectSomeSeedFails(10, [](int seed) { checkLateShare(seed, false); });
    }

    /// The message that clears a backlog may be lost. The earlier report must then expire, so that
    /// the server is selected again.
    void peerBacklogExpires()
    {
        Base::RandomEngine random(1);
        Forwarding::ServerPool pool(Base::DataCentre("dc"), {}, random);
        for (const auto *name : {"a", "b"}) {
            Forwarding::ServerEntry entry;
            entry.name = Base::ServerName(name);
            entry.service = Service;
            entry.slots = 64;
            pool.addOrUpdate(entry);
        }
        const std::vector<Forwarding::PromptPart> prompt{
            {1, Base::Tokens(100)}, {2, Base::Tokens(1'000)}};
        const auto preferred = pool.selectServer({Service, prompt, {}}, {})->entry.name;
        const std::vector<Forwarding::ServerBacklog> backlogs{{preferred, Base::Tokens(50'000)}};
        pool.onPeerBacklogs(Base::InstanceName("other"), backlogs, {});
        CPPUNIT_ASSERT(pool.selectServer({Service, prompt, {}}, {})->entry.name != preferred);
        CPPUNIT_ASSERT(
            pool.selectServer({Service, prompt, {}}, Base::Milliseconds(1'100))->entry.name
            == preferred);
    }

    void cachedPartsAreNotProcessedAgain()
    {
        Forwarding::PromptCacheEstimate promptCache;
        const std::vector<Forwarding::PromptPart> first{
            {1, Base::Tokens(100)}, {2, Base::Tokens(1'000)}, {3, Base::Tokens(10)}};
        const std::vector<Forwarding::PromptPart> second{
            {1, Base::Tokens(100)}, {4, Base::Tokens(1'000)}, {3, Base::Tokens(10)}};
        promptCache.onPromptSent(first, {});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), promptCache.countUncachedTokens(first, {}).count());
        // A cached part after an uncached one has to be processed again.
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t(1'010), promptCache.countUncachedTokens(second, {}).count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1'110),
            promptCache.countUncachedTokens(first, Base::Milliseconds(8'001)).count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptPlacementTest);

} // namespace Carawaykeel::Tests
