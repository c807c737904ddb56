#include <Support/FaultSchedule.h>

#include <Carawaykeel/Configuration/ConfigurationRow.h>
#include <Carawaykeel/Platform/RowCodec.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

namespace {

/// From the brief and issue 4: no new work this long after one instance has learned of it.
constexpr std::int64_t LeavingBound = 3'000;
const Base::ServerName Leaver("plain-0");

RequestShape call()
{
    RequestShape shape;
    shape.service = "plain";
    shape.worstCase = shape.used = Base::Tokens(1);
    return shape;
}

bool isLeavingAt(VirtualFleet &fleet, int n, const Base::ServerName &name)
{
    for (const auto &server : fleet.at(n).instance().dispatcher().servers()) {
        if (server.name == name)
            return server.isLeaving;
    }
    return false;
}

void requireLeavingEverywhere(VirtualFleet &fleet)
{
    for (int n = 0; n < fleet.count(); ++n)
        CPPUNIT_ASSERT_MESSAGE(VirtualFleet::nameOf(n), isLeavingAt(fleet, n, Leaver));
}

} // namespace

/// A leaving back end gets no new work, and a leaving instance cuts off nothing.
class LeavingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeavingTest);
    CPPUNIT_TEST(ownAnswerReachesAllInstances);
    CPPUNIT_TEST(ownAnswerReachesAllInstancesWhileThePlatformIsDown);
    CPPUNIT_TEST(declarationReachesAllInstances);
    CPPUNIT_TEST(lastServerLeavingIsRefusedClearly);
    CPPUNIT_TEST(shutDownFinishesWhatIsInFlight);
    CPPUNIT_TEST(shutDownInAnOutageEndsInBoundedTime);
    CPPUNIT_TEST(shutDownWaitsForTheOutagesEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    void ownAnswerReachesAllInstances()
    {
        VirtualFleet fleet(1, 8);
        fleet.start(Base::Tokens(10'000));
        fleet.at(2).instance().markServerLeaving(Leaver);
        fleet.run(LeavingBound);
        requireLeavingEverywhere(fleet);
    }

    void ownAnswerReachesAllInstancesWhileThePlatformIsDown()
    {
        VirtualFleet fleet(2, 8);
        fleet.network.loss = 0.1;
        fleet.start(Base::Tokens(10'000));
        fleet.table.isDown = true;
        fleet.at(5).instance().markServerLeaving(Leaver);
        fleet.run(LeavingBound);
        requireLeavingEverywhere(fleet);
    }

    void declarationReachesAllInstances()
    {
        VirtualFleet fleet(3, 8);
        fleet.start(Base::Tokens(10'000));
        auto document = fleet.declaration;
        document.replace(document.find("\"rules\":{"), 9, R"("rules":{"leaving":["plain-0"],)");
        bool isAccepted = false;
        fleet.at(4).instance().configuration().apply(document, 1, Base::OperationId("leave"),
            [&](const Base::Outcome<Configuration::ApplyResult> &outcome) {
                isAccepted = outcome.index() == 0;
            });
        fleet.run(LeavingBound);
        CPPUNIT_ASSERT(isAccepted);
        requireLeavingEverywhere(fleet);
    }

    void lastServerLeavingIsRefusedClearly()
    {
        VirtualFleet fleet(4, 4);
        fleet.start(Base::Tokens(10'000));
        for (const auto *name : {"plain-0", "plain-1", "plain-2"})
            fleet.at(0).instance().markServerLeaving(Base::ServerName(name));
        fleet.run(LeavingBound);
        const auto answer = fleet.request(3, call());
        fleet.run(100);
        CPPUNIT_ASSERT(answer->isFinished && !answer->isComplete);
        CPPUNIT_ASSERT(answer->kind == Base::ErrorKind::NoServerAvailable);
        CPPUNIT_ASSERT_EQUAL(0, fleet.engines.runCount(answer->request));
    }

    void shutDownFinishesWhatIsInFlight()
    {
        VirtualFleet fleet(5, 6);
        fleet.start(Base::Tokens(100'000));
        std::vector<std::shared_ptr<CallerResult>> answers;
        RequestShape slow;
        slow.duration = Base::Milliseconds(20'000);
        for (int n = 0; n < 10; ++n)
            answers.push_back(fleet.request(1, slow));
        fleet.run(500);
        bool isHandedBack = false;
        fleet.at(1).instance().shutDown(
            Base::Milliseconds(600'000), [&](bool isDone) { isHandedBack = isDone; });
        // Callers that keep an old answer of GET /v1/entry are served still.
        fleet.run(4'000);
        answers.push_back(fleet.request(1, {}));
        for (int n = 0; n < 6; ++n) {
            for (const auto &member :
                fleet.at(n).instance().entryInstancesFor(Base::TeamId("team")).members)
                CPPUNIT_ASSERT(member.id.name.text() != VirtualFleet::nameOf(1));
        }
        fleet.run(30'000);
        for (const auto &answer : answers)
            CPPUNIT_ASSERT(answer->isComplete);
        CPPUNIT_ASSERT(isHandedBack);
        CPPUNIT_ASSERT(fleet.at(1).instance().grantHolder().grants().all().empty());
        fleet.checkBillsMatchRuns();
    }

    void shutDownInAnOutageEndsInBoundedTime()
    {
        VirtualFleet fleet(6, 6);
        fleet.start(Base::Tokens(100'000));
        fleet.request(1, {});
        fleet.run(50);
        fleet.table.isDown = true;
        bool isOver = false;
        bool isHandedBack = true;
        fleet.at(1).instance().shutDown(Base::Milliseconds(20'000), [&](bool isDone) {
            isOver = true;
            isHandedBack = isDone;
        });
        fleet.run(21'000);
        CPPUNIT_ASSERT(isOver && !isHandedBack);
        // What was left is with the witness, which bills it once the platform is back.
        fleet.kill(1);
        fleet.settleAndReturnAll();
        fleet.checkLedgerBalances();
        fleet.checkBillsMatchRuns();
    }

    void shutDownWaitsForTheOutagesEnd()
    {
        VirtualFleet fleet(7, 6);
        fleet.start(Base::Tokens(100'000));
        fleet.request(1, {});
        fleet.run(50);
        fleet.table.isDown = true;
        bool isHandedBack = false;
        fleet.at(1).instance().shutDown(
            Base::Milliseconds(600'000), [&](bool isDone) { isHandedBack = isDone; });
        fleet.run(60'000);
        CPPUNIT_ASSERT(!isHandedBack);
        fleet.table.isDown = false;
        fleet.run(10'000);
        CPPUNIT_ASSERT(isHandedBack);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingTest);

} // namespace Carawaykeel::Tests
