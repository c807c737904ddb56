#include <Support/FaultSchedule.h>
#include <Support/SeedRange.h>

#include <Carawaykeel/Configuration/ConfigurationRow.h>
#include <Carawaykeel/Platform/RowCodec.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <map>
#include <stdexcept>

namespace Carawaykeel::Tests {

namespace {

constexpr int Seeds = 20;
constexpr std::int64_t Span = 60'000;
/// From the letter: an accepted change is in force everywhere within this time.
constexpr std::int64_t ForceBound = 3'000;

/// A document that can be told from all others.
std::string documentNamed(const VirtualFleet &fleet, const std::string &name)
{
    auto document = fleet.declaration;
    const std::string anchor = "\"teams\":[";
    document.replace(document.find(anchor), anchor.size(),
        anchor + fmt::format(R"({{"id":"{}","budget":"budget"}},)", name));
    return document;
}

/// Operators who race each other, and what they were told.
class Operators
{
public:
    explicit Operators(VirtualFleet &fleet)
        : m_fleet(fleet)
    {
    }

    void offer(int n, const std::string &operation)
    {
        auto &configuration = m_fleet.at(n).instance().configuration();
        m_documents[operation] = documentNamed(m_fleet, operation);
        configuration.apply(m_documents[operation], configuration.version(),
            Base::OperationId(operation),
            [this, operation](const Base::Outcome<Configuration::ApplyResult> &outcome) {
                if (const auto *applied = std::get_if<Configuration::ApplyResult>(&outcome))
                    accept(applied->version, operation);
            });
    }

    /// What is in force anywhere is what was accepted under its version, and no version goes back.
    void check()
    {
        for (int n = 0; n < m_fleet.count(); ++n) {
            if (!m_fleet.isUp(n))
                continue;
            const auto &configuration = m_fleet.at(n).instance().configuration();
            const auto life = m_fleet.at(n).instance().id();
            auto &seen = m_seen[life];
            if (configuration.version() < seen)
                throw std::runtime_error(life.name.text() + " went back");
            seen = configuration.version();
            const auto it = m_accepted.find(seen);
            if (it != m_accepted.end() && configuration.document() != m_documents.at(it->second)) {
                throw std::runtime_error(
                    fmt::format("{} has another version {}", life.name.text(), seen));
            }
        }
    }

    std::uint64_t newest() const { return m_accepted.empty() ? 1 : m_accepted.rbegin()->first; }
    std::size_t accepted() const { return m_accepted.size(); }

private:
    void accept(std::uint64_t version, const std::string &operation)
    {
        const auto [it, isNew] = m_accepted.emplace(version, operation);
        if (!isNew && it->second != operation) {
            throw std::runtime_error(
                fmt::format("version {} was promised to two operators", version));
        }
    }

    VirtualFleet &m_fleet;
    std::map<std::string, std::string> m_documents;
    std::map<std::uint64_t, std::string> m_accepted;
    std::map<Base::InstanceId, std::uint64_t> m_seen;
};

void proveRaces(int seed, Mutation mutation)
{
    VirtualFleet fleet(static_cast<std::uint64_t>(seed), 6);
    fleet.mutation = mutation;
    fleet.start(Base::Tokens(1'000'000));
    Operators operators(fleet);
    FaultSchedule faults(fleet, {});
    int offers = 0;
    faults.run(Span, [&](int n) {
        if (fleet.world.happens(0.05))
            operators.offer(n, fmt::format("change-{}", ++offers));
        const auto other = static_cast<int>(fleet.world.draw(0, fleet.count() - 1));
        if (fleet.world.happens(0.03) && fleet.isUp(other) && !fleet.at(other).isPaused())
            operators.offer(other, fmt::format("change-{}", ++offers));
        operators.check();
    });
    fleet.settleAndReturnAll();
    operators.check();
    for (int n = 0; n < fleet.count(); ++n) {
        if (fleet.at(n).instance().configuration().version() < operators.newest())
            throw std::runtime_error(VirtualFleet::nameOf(n) + " lacks an accepted version");
    }
}

} // namespace

/// An accepted configuration is in force everywhere within seconds and never reverts.
class ConfigurationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationTest);
    CPPUNIT_TEST(racingOperatorsUnderAllFaults);
    CPPUNIT_TEST(noticesUnconditionalConfiguration);
    CPPUNIT_TEST(isInForceEverywhereInTime);
    CPPUNIT_TEST(isInForceInTimeWhenMostAreCutFromThePlatform);
    CPPUNIT_TEST(lostAnswerIsSettledByTheOperationsId);
    CPPUNIT_TEST(restartInAnOutageTakesThePeersVersion);
    CPPUNIT_TEST(badDocumentChangesNothing);
    CPPUNIT_TEST_SUITE_END();

    static void requireVersion(VirtualFleet &fleet, std::uint64_t version)
    {
        for (int n = 0; n < fleet.count(); ++n) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                VirtualFleet::nameOf(n), version, fleet.at(n).instance().configuration().version());
        }
    }

public:
    void racingOperatorsUnderAllFaults()
    {
        forEachSeed(Seeds, [](int seed) { proveRaces(seed, Mutation::None); });
    }

    void noticesUnconditionalConfiguration()
    {
        expectSomeSeedFails(
            Seeds, [](int seed) { proveRaces(seed, Mutation::UnconditionalConfiguration); });
    }

    void isInForceEverywhereInTime()
    {
        VirtualFleet fleet(1, 8);
        fleet.network.loss = 0.2;
        fleet.start(Base::Tokens(1'000));
        Operators operators(fleet);
        operators.offer(3, "change");
        fleet.run(ForceBound);
        requireVersion(fleet, 2);
    }

    void isInForceInTimeWhenMostAreCutFromThePlatform()
    {
        VirtualFleet fleet(2, 8);
        fleet.start(Base::Tokens(1'000));
        for (int n = 1; n < 8; ++n)
            fleet.table.disconnectedClients.insert(VirtualFleet::nameOf(n));
        Operators operators(fleet);
        operators.offer(0, "change");
        fleet.run(ForceBound);
        requireVersion(fleet, 2);
    }

    void lostAnswerIsSettledByTheOperationsId()
    {
        VirtualFleet fleet(3, 4);
        fleet.start(Base::Tokens(1'000));
        fleet.table.replyLoss = 1;
        Operators operators(fleet);
        operators.offer(0, "change");
        fleet.run(10'000);
        fleet.table.replyLoss = 0;
        fleet.run(ForceBound);
        requireVersion(fleet, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), operators.accepted());
    }

    void restartInAnOutageTakesThePeersVersion()
    {
        VirtualFleet fleet(4, 6);
        fleet.start(Base::Tokens(1'000));
        Operators operators(fleet);
        operators.offer(0, "change");
        fleet.run(ForceBound);
        fleet.table.isDown = true;
        fleet.kill(2);
        fleet.run(5'000);
        fleet.startInstance(2);
        fleet.run(ForceBound);
        requireVersion(fleet, 2);
    }

    void badDocumentChangesNothing()
    {
        VirtualFleet fleet(5, 3);
        fleet.start(Base::Tokens(1'000));
        Base::ErrorKind kind = Base::ErrorKind::Internal;
        std::string message;
        fleet.at(0).instance().configuration().apply(
            R"({"rules":{"teams":[{"id":"a","budget":"none"}],"x":1},"inventory":{}})", 1,
            Base::OperationId("bad"),
            [&](const Base::Outcome<Configuration::ApplyResult> &outcome) {
                kind = std::get<Base::Failure>(outcome).kind;
                message = std::get<Base::Failure>(outcome).message;
            });
        fleet.run(ForceBound);
        CPPUNIT_ASSERT(kind == Base::ErrorKind::InvalidDeclaration);
        CPPUNIT_ASSERT(message.find("rules.teams[0].budget") != std::string::npos);
        CPPUNIT_ASSERT(message.find("rules.x") != std::string::npos);
        requireVersion(fleet, 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);

} // namespace Carawaykeel::Tests
