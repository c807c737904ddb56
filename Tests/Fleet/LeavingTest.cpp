#include <Support/FaultSchedule.h>

#include <Carawaykeel/Configuration/ConfigurationRow.h>
#include <Carawaykeel/Platform/RowCodec.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

namespace {

/// Requirement (issue 4): all instances stop sending new work to a leaving server within this time
/// after one of them has learned that it is leaving.
constexpr std::int64_t LeavingBoundMs = 3'000;
const Base::ServerName LeavingServer("plain-0");

RequestShape makePlainRequest()
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

void requireLeavingOnAllInstances(VirtualFleet &fleet)
{
    for (int n = 0; n < fleet.count(); ++n)
        CPPUNIT_ASSERT_MESSAGE(VirtualFleet::nameOf(n), isLeavingAt(fleet, n, LeavingServer));
}

} // namespace

/// A leaving server gets no new work, and an instance that shuts down aborts no request.
class LeavingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeavingTest);
    CPPUNIT_TEST(serverAnnouncementReachesAllInstances);
    CPPUNIT_TEST(serverAnnouncementReachesAllInstancesWhileThePlatformIsDown);
    CPPUNIT_TEST(declarationReachesAllInstances);
    CPPUNIT_TEST(declaredEvacuationReachesAllInstances);
    CPPUNIT_TEST(requestIsRefusedWhenAllServersAreLeaving);
    CPPUNIT_TEST(shutDownFinishesInFlightRequests);
    CPPUNIT_TEST(shutDownDuringOutageEndsInBoundedTime);
    CPPUNIT_TEST(shutDownWaitsForEndOfOutage);
    CPPUNIT_TEST_SUITE_END();

public:
    void serverAnnouncementReachesAllInstances()
    {
        VirtualFleet fleet(1, 8);
        fleet.start(Base::Tokens(10'000));
        fleet.at(2).instance().markServerLeaving(LeavingServer);
        fleet.run(LeavingBoundMs);
        requireLeavingOnAllInstances(fleet);
    }

    void serverAnnouncementReachesAllInstancesWhileThePlatformIsDown()
    {
        VirtualFleet fleet(2, 8);
        fleet.network.loss = 0.1;
        fleet.start(Base::Tokens(10'000));
        fleet.table.isDown = true;
        fleet.at(5).instance().markServerLeaving(LeavingServer);
        fleet.run(LeavingBoundMs);
        requireLeavingOnAllInstances(fleet);
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
        fleet.run(LeavingBoundMs);
        CPPUNIT_ASSERT(isAccepted);
        requireLeavingOnAllInstances(fleet);
    }

    /// Requests that reach an evacuated data centre, and names that no data centre has.
    void declaredEvacuationReachesAllInstances()
    {
        VirtualFleet fleet(5, 4);
        fleet.start(Base::Tokens(10'000));
        const auto apply = [&](std::uint64_t version, const std::string &names) {
            auto document = fleet.declaration;
            document.replace(document.find("\"rules\":{"), 9,
                R"("rules":{"evacuated_data_centres":[)" + names + "],");
            bool isAccepted = false;
            fleet.at(1).instance().configuration().apply(document, version,
                Base::OperationId(names),
                [&](const Base::Outcome<Configuration::ApplyResult> &outcome) {
                    isAccepted = outcome.index() == 0;
                });
            fleet.run(LeavingBoundMs);
            return isAccepted;
        };
        CPPUNIT_ASSERT(!apply(1, R"("dc-9")"));
        CPPUNIT_ASSERT(apply(1, R"("dc-0","dc-1")"));
        for (int n = 0; n < fleet.count(); ++n) {
            auto slow = makePlainRequest();
            slow.duration = Base::Milliseconds(2'000);
            for (int request = 0; request < 5; ++request)
                fleet.request(n, slow);
            fleet.run(100);
            int running = 0;
            for (const auto &server : fleet.at(n).instance().dispatcher().servers()) {
                CPPUNIT_ASSERT_EQUAL(server.dataCentre.text() == "dc-2", server.isEligible());
                CPPUNIT_ASSERT(server.isEligible() || server.inFlight == 0);
                running += server.inFlight;
            }
            CPPUNIT_ASSERT_EQUAL(5, running);
        }
        CPPUNIT_ASSERT(apply(2, R"("dc-0","dc-1","dc-2")"));
        const auto response = fleet.request(0, makePlainRequest());
        fleet.run(100);
        CPPUNIT_ASSERT(response->isFinished);
        CPPUNIT_ASSERT(response->kind == Base::ErrorKind::NoServerAvailable);
    }

    void requestIsRefusedWhenAllServersAreLeaving()
    {
        VirtualFleet fleet(4, 4);
        fleet.start(Base::Tokens(10'000));
        for (const auto *name : {"plain-0", "plain-1", "plain-2"})
            fleet.at(0).instance().markServerLeaving(Base::ServerName(name));
        fleet.run(LeavingBoundMs);
        const auto response = fleet.request(3, makePlainRequest());
        fleet.run(100);
        CPPUNIT_ASSERT(response->isFinished && !response->isComplete);
        CPPUNIT_ASSERT(response->kind == Base::ErrorKind::NoServerAvailable);
        CPPUNIT_ASSERT_EQUAL(0, fleet.engines.runCount(response->request));
    }

    void shutDownFinishesInFlightRequests()
    {
        VirtualFleet fleet(5, 6);
        fleet.start(Base::Tokens(100'000));
        std::vector<std::shared_ptr<CallerResult>> responses;
        RequestShape slow;
        slow.duration = Base::Milliseconds(20'000);
        for (int n = 0; n < 10; ++n)
            responses.push_back(fleet.request(1, slow));
        fleet.run(500);
        bool hasReturnedAll = false;
        fleet.at(1).instance().shutDown(
            Base::Milliseconds(600'000), [&](bool isDone) { hasReturnedAll = isDone; });
        // Callers with an older cached entry response are still served.
        fleet.run(4'000);
        responses.push_back(fleet.request(1, {}));
        for (int n = 0; n < 6; ++n) {
            for (const auto &member :
                fleet.at(n).instance().entryInstancesFor(Base::TeamId("team")).members)
                CPPUNIT_ASSERT(member.id.name.text() != VirtualFleet::nameOf(1));
        }
        fleet.run(30'000);
        for (const auto &response : responses)
            CPPUNIT_ASSERT(response->isComplete);
        CPPUNIT_ASSERT(hasReturnedAll);
        CPPUNIT_ASSERT(fleet.at(1).instance().grantHolder().grants().all().empty());
        fleet.checkBillsMatchRuns();
    }

    void shutDownDuringOutageEndsInBoundedTime()
    {
        VirtualFleet fleet(6, 6);
        fleet.start(Base::Tokens(100'000));
        fleet.request(1, {});
        fleet.run(50);
        fleet.table.isDown = true;
        bool isOver = false;
        bool hasReturnedAll = true;
        fleet.at(1).instance().shutDown(Base::Milliseconds(20'000), [&](bool isDone) {
            isOver = true;
            hasReturnedAll = isDone;
        });
        fleet.run(21'000);
        CPPUNIT_ASSERT(isOver && !hasReturnedAll);
        // The witness bills the unsettled requests once the platform is reachable again.
        fleet.kill(1);
        fleet.settleAndReturnAll();
        fleet.checkLedgerBalances();
        fleet.checkBillsMatchRuns();
    }

    void shutDownWaitsForEndOfOutage()
    {
        VirtualFleet fleet(7, 6);
        fleet.start(Base::Tokens(100'000));
        fleet.request(1, {});
        fleet.run(50);
        fleet.table.isDown = true;
        bool hasReturnedAll = false;
        fleet.at(1).instance().shutDown(
            Base::Milliseconds(600'000), [&](bool isDone) { hasReturnedAll = isDone; });
        fleet.run(60'000);
        CPPUNIT_ASSERT(!hasReturnedAll);
        fleet.table.isDown = false;
        fleet.run(10'000);
        CPPUNIT_ASSERT(hasReturnedAll);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingTest);

} // namespace Carawaykeel::Tests
