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

/// Heads that two parsers may interpret differently are rejected.
class HeadParserTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HeadParserTest);
    CPPUNIT_TEST(headEndsWithEmptyLine);
    CPPUNIT_TEST(wellFormedHeadIsParsed);
    CPPUNIT_TEST(longFieldIsKeptWhole);
    CPPUNIT_TEST(valuesAreKeptAsTheyAre);
    CPPUNIT_TEST(ambiguousHeadsAreRejected);
    CPPUNIT_TEST(hopByHopFieldsAreRemoved);
    CPPUNIT_TEST(framingFieldNamedInConnectionFieldIsKept);
    CPPUNIT_TEST_SUITE_END();

public:
    void headEndsWithEmptyLine()
    {
        CPPUNIT_ASSERT(!Http::findHeadEnd("GET / HTTP/1.1\r\nHost: a\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(18), *Http::findHeadEnd("GET / HTTP/1.1\r\n\r\nbody"));
    }

    void wellFormedHeadIsParsed()
    {
        const auto head =
            parse("Host: a.example\r\nContent-Length: 12\r\nX-One: 1\r\nx-one: 2\r\n");
        CPPUNIT_ASSERT(head);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/b?c"), head->getURI());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), head->get("X-One"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), head->size());
    }

    /// Guards against a request with a long prompt list that is refused although its head is within
    /// the operator's limit.
    void longFieldIsKeptWhole()
    {
        const std::string value(15'000, 'x');
        const auto head = parse("X-Prompt-Prefix: " + value + "\r\nHost: a.example\r\n");
        CPPUNIT_ASSERT(head);
        CPPUNIT_ASSERT_EQUAL(value, head->get("X-Prompt-Prefix"));
        CPPUNIT_ASSERT_EQUAL(std::string("a.example"), head->get("Host"));
    }

    void valuesAreKeptAsTheyAre()
    {
        const auto head = parse("X-One:\t a: b  \r\nX-Two:\r\nX-Three: =?UTF-8?B?YQ==?=\r\n");
        CPPUNIT_ASSERT(head);
        CPPUNIT_ASSERT_EQUAL(std::string("a: b"), head->get("X-One"));
        CPPUNIT_ASSERT_EQUAL(std::string(), head->get("X-Two"));
        CPPUNIT_ASSERT_EQUAL(std::string("=?UTF-8?B?YQ==?="), head->get("X-Three"));
    }

    void ambiguousHeadsAreRejected()
    {
        for (const auto *fields : {"Content-Length: 3\r\nContent-Length: 3\r\n",
                 "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "Content-Length: +3\r\n",
                 "Content-Length: 3, 3\r\n", "Content-Length : 3\r\n",
                 "Transfer-Encoding: gzip\r\n", "Host: a\nX: b\r\n", "Host: a\r\n folded\r\n",
                 "no field\r\n", ": empty\r\n", "Content-Length: 99999999999999999999\r\n"}) {
            CPPUNIT_ASSERT_MESSAGE(fields, !parse(fields));
        }
    }

    void hopByHopFieldsAreRemoved()
    {
        auto head = parse("Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\n"
                          "TE: trailers\r\nX-End: 2\r\n");
        Http::removeHopByHopFields(*head);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), head->size());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), head->get("X-End"));
    }

    void framingFieldNamedInConnectionFieldIsKept()
    {
        auto head = parse("Connection: Content-Length\r\nContent-Length: 3\r\n");
        Http::removeHopByHopFields(*head);
        CPPUNIT_ASSERT_EQUAL(std::string("3"), head->get("Content-Length", ""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeadParserTest);

} // namespace Carawaykeel::Tests
