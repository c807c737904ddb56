#include <Carawaykeel/Requests/PeerInquiry.h>
#include <Support/FakeTable.h>
#include <Support/VirtualWorld.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

namespace {

class SilentLink : public Peer::PeerTransport, public Base::Scheduler
{
public:
    void send(const Base::InstanceId &, Peer::PeerMessage) override { }
    Base::Milliseconds now() const override { return {}; }
    void schedule(Base::Milliseconds, std::function<void()>) override { }
};

} // namespace

/// What several instances know of a request is put together.
class PeerInquiryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerInquiryTest);
    CPPUNIT_TEST(whoRunsItCountsMoreThanWhoLostIt);
    CPPUNIT_TEST_SUITE_END();

public:
    void whoRunsItCountsMoreThanWhoLostIt()
    {
        VirtualWorld world(1);
        FakeTable table(world);
        FakeTableClient client(world, table, "a", [](const std::function<void()> &) {});
        SilentLink link;
        Base::InstanceContext context{
            {Base::InstanceName("a"), 1}, link, client, link, world.random()};
        Requests::PeerInquiry inquiry(context);
        const Base::InstanceId first{Base::InstanceName("b"), 1};
        const Base::InstanceId second{Base::InstanceName("c"), 1};
        Peer::RequestKnowledge known = Peer::RequestKnowledge::Unknown;
        // Without patience a request that runs elsewhere is reported at once.
        inquiry.ask({Base::TeamId("team"), Base::RequestId("key")}, {first, second}, false,
            Base::Milliseconds(0),
            [&](const Requests::InquiryAnswer &answer) { known = answer.knowledge; });
        inquiry.onTell(first, {1, Peer::RequestKnowledge::Uncertain, 0, "", ""});
        inquiry.onTell(second, {1, Peer::RequestKnowledge::Running, 0, "", ""});
        CPPUNIT_ASSERT(known == Peer::RequestKnowledge::Running);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerInquiryTest);

} // namespace Carawaykeel::Tests
