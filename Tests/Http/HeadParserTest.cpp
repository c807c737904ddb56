#include <Carawaykeel/Http/HeadParser.h>
#include <Carawaykeel/Http/HopByHopFields.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

namespace {

Http::RequestHead parse(const std::string &fields)
{
    auto outcome = Base::toOutcome<Http::RequestHead>(
        [&] { return Http::tryParseRequestHead("POST /a/b?c HTTP/1.1\r\n" + fields + "\r\n"); });
    auto *head = std::get_if<Http::RequestHead>(&outcome);
    return head ? std::move(*head) : nullptr;
}

} // namespace

/// Heads that two readers could take differently are refused.
class HeadParserTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HeadParserTest);
    CPPUNIT_TEST(headEndsWithAnEmptyLine);
    CPPUNIT_TEST(wellFormedHeadIsRead);
    CPPUNIT_TEST(ambiguousHeadsAreRefused);
    CPPUNIT_TEST(connectionFieldsAreRemoved);
    CPPUNIT_TEST(framingCannotBeNamedAsConnectionField);
    CPPUNIT_TEST_SUITE_END();

public:
    void headEndsWithAnEmptyLine()
    {
        CPPUNIT_ASSERT(!Http::findHeadEnd("GET / HTTP/1.1\r\nHost: a\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(18), *Http::findHeadEnd("GET / HTTP/1.1\r\n\r\nbody"));
    }

    void wellFormedHeadIsRead()
    {
        const auto head =
            parse("Host: a.example\r\nContent-Length: 12\r\nX-One: 1\r\nx-one: 2\r\n");
        CPPUNIT_ASSERT(head);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c"), head->getURI());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), head->get("X-One"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), head->size());
    }

    void ambiguousHeadsAreRefused()
    {
        for (const auto *fields : {"Content-Length: 3\r\nContent-Length: 3\r\n",
                 "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "Content-Length: +3\r\n",
                 "Content-Length: 3, 3\r\n", "Content-Length : 3\r\n",
                 "Transfer-Encoding: gzip\r\n", "Host: a\nX: b\r\n", "Host: a\r\n folded\r\n",
                 "no field\r\n", ": empty\r\n", "Content-Length: 99999999999999999999\r\n"}) {
            CPPUNIT_ASSERT_MESSAGE(fields, !parse(fields));
        }
    }

    void connectionFieldsAreRemoved()
    {
        auto head = parse("Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\n"
                          "TE: trailers\r\nX-End: 2\r\n");
        Http::removeHopByHopFields(*head);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), head->size());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), head->get("X-End"));
    }

    void framingCannotBeNamedAsConnectionField()
    {
        auto head = parse("Connection: Content-Length\r\nContent-Length: 3\r\n");
        Http::removeHopByHopFields(*head);
        CPPUNIT_ASSERT_EQUAL(std::string("3"), head->get("Content-Length", ""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeadParserTest);

} // namespace Carawaykeel::Tests
