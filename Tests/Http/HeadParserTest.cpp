#include <Carawaykeel/Http/HeadParser.h>
#include <Carawaykeel/Http/HopByHopFields.h>

#include <Support/BrokenResponses.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>

namespace Carawaykeel::Tests {

namespace {

Http::RequestHead parse(const std::string &fields)
{
    auto outcome = Base::toOutcome<Http::RequestHead>(
        [&] { return Http::tryParseRequestHead("POST /a/b?c HTTP/1.1\r\n" + fields + "\r\n"); });
    auto *head = std::get_if<Http::RequestHead>(&outcome);
    return head ? std::move(*head) : nullptr;
}

Http::ResponseHead parseResponse(const std::string &statusLine, const std::string &fields = {})
{
    auto outcome = Base::toOutcome<Http::ResponseHead>(
        [&] { return Http::tryParseResponseHead(statusLine + "\r\n" + fields + "\r\n"); });
    auto *head = std::get_if<Http::ResponseHead>(&outcome);
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
    CPPUNIT_TEST(everyInvalidByteOfANameIsRejected);
    CPPUNIT_TEST(validStatusIsAccepted);
    CPPUNIT_TEST(invalidStatusIsRejected);
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

    void everyInvalidByteOfANameIsRejected()
    {
        for (const char c : invalidNameBytes()) {
            for (const auto &name : {std::string("X") + c + "Y", c + std::string("X-Y"),
                     std::string("X-Y") + c, std::string("Content-Length") + c}) {
                CPPUNIT_ASSERT_MESSAGE(name, !parse(name + ": 1\r\n"));
                CPPUNIT_ASSERT_MESSAGE(name, !parseResponse("HTTP/1.1 200 OK", name + ": 1\r\n"));
                CPPUNIT_ASSERT_MESSAGE(
                    name, !parseResponse("HTTP/1.1 103 Early Hints", name + ": 1\r\n"));
            }
        }
    }

    void validStatusIsAccepted()
    {
        constexpr int MinStatus = 100;
        constexpr int MaxStatus = 599;
        for (int status = MinStatus; status <= MaxStatus; ++status) {
            for (const auto *reason : {"", " ", " OK", " Not 000", "\tOK"}) {
                const auto head = parseResponse(fmt::format("HTTP/1.1 {}{}", status, reason));
                CPPUNIT_ASSERT(head);
                CPPUNIT_ASSERT_EQUAL(status, static_cast<int>(head->getStatus()));
            }
        }
    }

    /// Guards against a status that is forwarded although no caller can interpret it, and against
    /// a response that is read from the body of another, whose status counts as interim.
    void invalidStatusIsRejected()
    {
        for (const auto &status : invalidStatusCodes()) {
            CPPUNIT_ASSERT_MESSAGE(status, !parseResponse("HTTP/1.1 " + status + " OK"));
            CPPUNIT_ASSERT_MESSAGE(status, !parseResponse("HTTP/1.1 " + status));
        }
        for (const auto *line : {"", "HTTP/1.1", "200", "200 OK", " HTTP/1.1 200 OK"})
            CPPUNIT_ASSERT_MESSAGE(line, !parseResponse(line));
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
