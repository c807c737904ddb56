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

constexpr int SeedCount = 20;
constexpr std::int64_t DurationMs = 60'000;
/// Requirement: an accepted change is in force on all instances within this time.
constexpr std::int64_t ActivationBoundMs = 3'000;

/// Returns the fleet's declaration with an extra team, so that the document is unique.
std::string makeDocument(const VirtualFleet &fleet, const std::string &team)
{
    auto document = fleet.declaration;
    const std::string anchor = "\"teams\":[";
    document.replace(document.find(anchor), anchor.size(),
        anchor + fmt::format(R"({{"id":"{}","budget":"budget"}},)", team));
    return document;
}

/// Operators that change the configuration concurrently, and the versions that were accepted.
class Operators
{
public:
    explicit Operators(VirtualFleet &fleet)
        : m_fleet(fleet)
    {
    }

    void submit(int n, const std::string &operation)
    {
        auto &configuration = m_fleet.at(n).instance().configuration();
        m_documents[operation] = makeDocument(m_fleet, operation);
        configuration.apply(m_documents[operation], configuration.version(),
            Base::OperationId(operation),
            [this, operation](const Base::Outcome<Configuration::ApplyResult> &outcome) {
                if (const auto *applied = std::get_if<Configuration::ApplyResult>(&outcome))
                    recordAccepted(applied->version, operation);
            });
    }

    /// Throws if an instance has another document than the one accepted under its version, or if
    /// its version has decreased.
    void checkVersions()
    {
        for (int n = 0; n < m_fleet.count(); ++n) {
            if (!m_fleet.isUp(n))
                continue;
            const auto &configuration = m_fleet.at(n).instance().configuration();
            const auto instanceId = m_fleet.at(n).instance().id();
            auto &lastVersion = m_lastVersions[instanceId];
            if (configuration.version() < lastVersion)
                throw std::runtime_error(instanceId.name.text() + " reverted to an older version");
            lastVersion = configuration.version();
            const auto it = m_accepted.find(lastVersion);
            if (it != m_accepted.end() && configuration.document() != m_documents.at(it->second)) {
                throw std::runtime_error(fmt::format("{} has a different document under version {}",
                    instanceId.name.text(), lastVersion));
            }
        }
    }

    std::uint64_t newestAccepted() const
    {
        return m_accepted.empty() ? 1 : m_accepted.rbegin()->first;
    }
    std::size_t acceptedCount() const { return m_accepted.size(); }

private:
    void recordAccepted(std::uint64_t version, const std::string &operation)
    {
        const auto [it, isNew] = m_accepted.emplace(version, operation);
        if (!isNew && it->second != operation) {
            throw std::runtime_error(
                fmt::format("version {} was accepted for two operations", version));
        }
    }

    VirtualFleet &m_fleet;
    std::map<std::string, std::string> m_documents;
    std::map<std::uint64_t, std::string> m_accepted;
    std::map<Base::InstanceId, std::uint64_t> m_lastVersions;
};

void checkConcurrentChanges(int seed, Mutation mutation)
{
    VirtualFleet fleet(static_cast<std::uint64_t>(seed), 6);
    fleet.mutation = mutation;
    fleet.start(Base::Tokens(1'000'000));
    Operators operators(fleet);
    FaultSchedule faults(fleet, {});
    int submissions = 0;
    faults.run(DurationMs, [&](int n) {
        if (fleet.world.happens(0.05))
            operators.submit(n, fmt::format("change-{}", ++submissions));
        const auto other = static_cast<int>(fleet.world.draw(0, fleet.count() - 1));
        if (fleet.world.happens(0.03) && fleet.isUp(other) && !fleet.at(other).isPaused())
            operators.submit(other, fmt::format("change-{}", ++submissions));
        operators.checkVersions();
    });
    fleet.settleAndReturnAll();
    operators.checkVersions();
    for (int n = 0; n < fleet.count(); ++n) {
        if (fleet.at(n).instance().configuration().version() < operators.newestAccepted())
            throw std::runtime_error(VirtualFleet::nameOf(n) + " lacks an accepted version");
    }
}

} // namespace

/// An accepted configuration is in force on all instances within seconds and never reverts.
class ConfigurationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationTest);
    CPPUNIT_TEST(concurrentChangesUnderAllFaults);
    CPPUNIT_TEST(detectsUnconditionalConfiguration);
    CPPUNIT_TEST(isInForceEverywhereInTime);
    CPPUNIT_TEST(isInForceInTimeWhenMostCannotReachThePlatform);
    CPPUNIT_TEST(lostReplyIsResolvedByOperationId);
    CPPUNIT_TEST(restartDuringOutageTakesVersionOfPeers);
    CPPUNIT_TEST(invalidDocumentChangesNothing);
    CPPUNIT_TEST_SUITE_END();

    static void requireVersion(VirtualFleet &fleet, std::uint64_t version)
    {
        for (int n = 0; n < fleet.count(); ++n) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                VirtualFleet::nameOf(n), version, fleet.at(n).instance().configuration().version());
        }
    }

public:
    void concurrentChangesUnderAllFaults()
    {
        forEachSeed(SeedCount, [](int seed) { checkConcurrentChanges(seed, Mutation::None); });
    }

    void detectsUnconditionalConfiguration()
    {
        expectSomeSeedFails(SeedCount,
            [](int seed) { checkConcurrentChanges(seed, Mutation::UnconditionalConfiguration); });
    }

    void isInForceEverywhereInTime()
    {
        VirtualFleet fleet(1, 8);
        fleet.network.loss = 0.2;
        fleet.start(Base::Tokens(1'000));
        Operators operators(fleet);
        operators.submit(3, "change");
        fleet.run(ActivationBoundMs);
        requireVersion(fleet, 2);
    }

    void isInForceInTimeWhenMostCannotReachThePlatform()
    {
        VirtualFleet fleet(2, 8);
        fleet.start(Base::Tokens(1'000));
        for (int n = 1; n < 8; ++n)
            fleet.table.disconnectedClients.insert(VirtualFleet::nameOf(n));
        Operators operators(fleet);
        operators.submit(0, "change");
        fleet.run(ActivationBoundMs);
        requireVersion(fleet, 2);
    }

    void lostReplyIsResolvedByOperationId()
    {
        VirtualFleet fleet(3, 4);
        fleet.start(Base::Tokens(1'000));
        fleet.table.replyLoss = 1;
        Operators operators(fleet);
        operators.submit(0, "change");
        fleet.run(10'000);
        fleet.table.replyLoss = 0;
        fleet.run(ActivationBoundMs);
        requireVersion(fleet, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), operators.acceptedCount());
    }

    void restartDuringOutageTakesVersionOfPeers()
    {
        VirtualFleet fleet(4, 6);
        fleet.start(Base::Tokens(1'000));
        Operators operators(fleet);
        operators.submit(0, "change");
        fleet.run(ActivationBoundMs);
        fleet.table.isDown = true;
        fleet.kill(2);
        fleet.run(5'000);
        fleet.startInstance(2);
        fleet.run(ActivationBoundMs);
        requireVersion(fleet, 2);
    }

    void invalidDocumentChangesNothing()
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
        fleet.run(ActivationBoundMs);
        CPPUNIT_ASSERT(kind == Base::ErrorKind::InvalidDeclaration);
        CPPUNIT_ASSERT(message.find("rules.teams[0].budget") != std::string::npos);
        CPPUNIT_ASSERT(message.find("rules.x") != std::string::npos);
        requireVersion(fleet, 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);

} // namespace Carawaykeel::Tests
