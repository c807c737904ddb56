#include <Carawaykeel/Requests/RequestStatusCollector.h>
#include <Support/FakeTable.h>
#include <Support/VirtualWorld.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

namespace {

class NullTransportAndScheduler : public Peer::PeerTransport, public Base::Scheduler
{
public:
    void send(const Base::InstanceId &, Peer::PeerMessage) override { }
    Base::Milliseconds now() const override { return {}; }
    void schedule(Base::Milliseconds, std::function<void()>) override { }
};

} // namespace

/// Combining the replies of several instances about one request.
class RequestStatusCollectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestStatusCollectorTest);
    CPPUNIT_TEST(runningTakesPrecedenceOverOutcomeUnknown);
    CPPUNIT_TEST_SUITE_END();

public:
    void runningTakesPrecedenceOverOutcomeUnknown()
    {
        VirtualWorld world(1);
        FakeTable table(world);
        FakeTableClient client(world, table, "a", [](const std::function<void()> &) {});
        NullTransportAndScheduler transport;
        Base::InstanceContext context{
            {Base::InstanceName("a"), 1}, transport, client, transport, world.random()};
        Requests::RequestStatusCollector collector(context);
        const Base::InstanceId first{Base::InstanceName("b"), 1};
        const Base::InstanceId second{Base::InstanceName("c"), 1};
        Peer::RequestStatus status = Peer::RequestStatus::NotFound;
        // With a timeout of zero a request that runs elsewhere is reported at once.
        collector.collect({Base::TeamId("team"), Base::RequestId("key")}, {first, second}, false,
            Base::Milliseconds(0),
            [&](const Requests::RequestStatusSummary &summary) { status = summary.status; });
        collector.onRequestStatusReply(first, {1, Peer::RequestStatus::OutcomeUnknown, 0, "", ""});
        collector.onRequestStatusReply(second, {1, Peer::RequestStatus::Running, 0, "", ""});
        CPPUNIT_ASSERT(status == Peer::RequestStatus::Running);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestStatusCollectorTest);

} // namespace Carawaykeel::Tests
