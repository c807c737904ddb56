#include <Carawaykeel/Forwarding/EventSplitter.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

/// Checks that only complete events are forwarded, wherever the stream is split into reads.
class EventSplitterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventSplitterTest);
    CPPUNIT_TEST(completeEventsAreForwardedForAnySplit);
    CPPUNIT_TEST(bothLineEndingsAreAccepted);
    CPPUNIT_TEST(partialEventIsDiscarded);
    CPPUNIT_TEST(nonNumericIdsAreIgnored);
    CPPUNIT_TEST(tooLongEventIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void completeEventsAreForwardedForAnySplit()
    {
        const std::string bytes = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
        for (std::size_t splitPosition = 0; splitPosition <= bytes.size(); ++splitPosition) {
            Forwarding::EventSplitter events;
            std::string out;
            events.feed(std::string_view(bytes).substr(0, splitPosition), out);
            CPPUNIT_ASSERT(out.empty() || out.ends_with("\n\n"));
            events.feed(std::string_view(bytes).substr(splitPosition), out);
            CPPUNIT_ASSERT_EQUAL(bytes, out);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), events.eventCount());
            CPPUNIT_ASSERT(events.lastEventId() == std::uint64_t(2));
        }
    }

    void bothLineEndingsAreAccepted()
    {
        Forwarding::EventSplitter events;
        std::string out;
        events.feed("id:7\r\ndata: a\r\n\r\n", out);
        CPPUNIT_ASSERT(events.lastEventId() == std::uint64_t(7));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), events.eventCount());
    }

    void partialEventIsDiscarded()
    {
        Forwarding::EventSplitter events;
        std::string out;
        events.feed("id: 1\ndata: a\n\nid: 2\nda", out);
        events.discardPartialEvent();
        CPPUNIT_ASSERT(events.lastEventId() == std::uint64_t(1));
        events.feed("id: 2\ndata: b\n\n", out);
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), out);
    }

    void nonNumericIdsAreIgnored()
    {
        Forwarding::EventSplitter events;
        std::string out;
        events.feed("id: x\ndata: a\n\nidea: 3\n\n", out);
        CPPUNIT_ASSERT(!events.lastEventId());
    }

    void tooLongEventIsRejected()
    {
        Forwarding::EventSplitter events;
        std::string out;
        const std::string bytes(Forwarding::EventSplitter::MaxEventBytes + 1, 'x');
        CPPUNIT_ASSERT(!events.feed(bytes, out));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);

} // namespace Carawaykeel::Tests
