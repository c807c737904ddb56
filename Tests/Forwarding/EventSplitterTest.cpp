#include <Carawaykeel/Forwarding/EventSplitter.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

/// Only whole events are passed on, however the bytes are cut.
class EventSplitterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventSplitterTest);
    CPPUNIT_TEST(wholeEventsPassAtEveryCut);
    CPPUNIT_TEST(lineEndsMayBeOfBothKinds);
    CPPUNIT_TEST(brokenOffEventIsDropped);
    CPPUNIT_TEST(idsThatAreNoNumbersAreNoIds);
    CPPUNIT_TEST(endlessEventIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void wholeEventsPassAtEveryCut()
    {
        const std::string bytes = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
        for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
            Forwarding::EventSplitter events;
            std::string out;
            events.feed(std::string_view(bytes).substr(0, cut), out);
            CPPUNIT_ASSERT(out.empty() || out.ends_with("\n\n"));
            events.feed(std::string_view(bytes).substr(cut), out);
            CPPUNIT_ASSERT_EQUAL(bytes, out);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), events.eventCount());
            CPPUNIT_ASSERT(events.lastEventId() == std::uint64_t(2));
        }
    }

    void lineEndsMayBeOfBothKinds()
    {
        Forwarding::EventSplitter events;
        std::string out;
        events.feed("id:7\r\ndata: a\r\n\r\n", out);
        CPPUNIT_ASSERT(events.lastEventId() == std::uint64_t(7));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), events.eventCount());
    }

    void brokenOffEventIsDropped()
    {
        Forwarding::EventSplitter events;
        std::string out;
        events.feed("id: 1\ndata: a\n\nid: 2\nda", out);
        events.discardPartialEvent();
        CPPUNIT_ASSERT(events.lastEventId() == std::uint64_t(1));
        events.feed("id: 2\ndata: b\n\n", out);
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), out);
    }

    void idsThatAreNoNumbersAreNoIds()
    {
        Forwarding::EventSplitter events;
        std::string out;
        events.feed("id: x\ndata: a\n\nidea: 3\n\n", out);
        CPPUNIT_ASSERT(!events.lastEventId());
    }

    void endlessEventIsRefused()
    {
        Forwarding::EventSplitter events;
        std::string out;
        const std::string bytes(Forwarding::EventSplitter::MaxEventBytes + 1, 'x');
        CPPUNIT_ASSERT(!events.feed(bytes, out));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);

} // namespace Carawaykeel::Tests
