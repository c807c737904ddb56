#include <Carawaykeel/Http/BodyDecoder.h>
#include <Carawaykeel/Http/HeadParser.h>

#include <Support/BrokenResponses.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

namespace {

Http::BodyDecoder responseBody(const std::string &fields, const std::string &method = "GET")
{
    auto outcome = Base::toOutcome<Http::ResponseHead>(
        [&] { return Http::tryParseResponseHead("HTTP/1.1 200 OK\r\n" + fields + "\r\n"); });
    return Http::BodyDecoder::forResponse(*std::get<Http::ResponseHead>(outcome), method);
}

/// Decodes a chunked body with the trailers, each of which ends with CR LF.
Http::BodyDecoder decodeTrailers(const std::string &trailers)
{
    auto body = responseBody("Transfer-Encoding: chunked\r\n");
    std::string out;
    body.decode("3\r\nabc\r\n0\r\n" + trailers + "\r\n", out);
    return body;
}

} // namespace

/// A body is decoded exactly, however its bytes are split.
class BodyDecoderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyDecoderTest);
    CPPUNIT_TEST(bodyEndsAtContentLength);
    CPPUNIT_TEST(chunksAreDecodedAtEverySplit);
    CPPUNIT_TEST(malformedChunksAreRejected);
    CPPUNIT_TEST(trailersAreSkipped);
    CPPUNIT_TEST(malformedTrailersAreRejected);
    CPPUNIT_TEST(unframedBodyEndsOnlyWithConnection);
    CPPUNIT_TEST(truncatedBodyIsMalformed);
    CPPUNIT_TEST(responseToHeadRequestHasNoBody);
    CPPUNIT_TEST_SUITE_END();

public:
    void bodyEndsAtContentLength()
    {
        auto body = responseBody("Content-Length: 3\r\n");
        std::string out;
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), body.decode("abcHTTP/1.1", out));
        CPPUNIT_ASSERT(body.isComplete());
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), out);
    }

    void chunksAreDecodedAtEverySplit()
    {
        const std::string bytes = "3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n";
        for (std::size_t split = 0; split <= bytes.size(); ++split) {
            auto body = responseBody("Transfer-Encoding: chunked\r\n");
            std::string out;
            CPPUNIT_ASSERT_EQUAL(split, body.decode(std::string_view(bytes).substr(0, split), out));
            CPPUNIT_ASSERT(split == bytes.size() || !body.isComplete());
            const auto rest = bytes.substr(split) + "beyond";
            CPPUNIT_ASSERT_EQUAL(bytes.size() - split, body.decode(rest, out));
            CPPUNIT_ASSERT(body.isComplete());
            CPPUNIT_ASSERT_EQUAL(std::string("abc0123456789"), out);
        }
    }

    void malformedChunksAreRejected()
    {
        for (const auto *bytes :
            {"x\r\n", "\r\n", "-1\r\n", "3\nabc", "3\r\nabcX\r\n", "ffffffffffffffffff\r\n"}) {
            auto body = responseBody("Transfer-Encoding: chunked\r\n");
            std::string out;
            body.decode(bytes, out);
            CPPUNIT_ASSERT_MESSAGE(bytes, body.isMalformed());
        }
    }

    void trailersAreSkipped()
    {
        for (const auto *trailers : {"X-Y: v\r\n", "x:\r\nZ!#$%&'*+-.^_`|~: a\tb \xe4\r\n"}) {
            CPPUNIT_ASSERT_MESSAGE(trailers, decodeTrailers(trailers).isComplete());
        }
    }

    /// Guards against a response that passes as complete although its trailers are invalid.
    void malformedTrailersAreRejected()
    {
        for (const char c : invalidNameBytes()) {
            for (const auto &name :
                {std::string("X") + c + "Y", c + std::string("X-Y"), std::string("X-Y") + c}) {
                CPPUNIT_ASSERT_MESSAGE(name, decodeTrailers(name + ": v\r\n").isMalformed());
                CPPUNIT_ASSERT_MESSAGE(
                    name, decodeTrailers("A: b\r\n" + name + ": v\r\n").isMalformed());
            }
        }
        for (const auto *trailers : {": v\r\n", "no colon\r\n", "X: a\x01z\r\n", "X: a\rz\r\n"})
            CPPUNIT_ASSERT_MESSAGE(trailers, decodeTrailers(trailers).isMalformed());
    }

    void unframedBodyEndsOnlyWithConnection()
    {
        auto body = responseBody("");
        std::string out;
        body.decode("all of it", out);
        CPPUNIT_ASSERT(!body.isComplete());
        body.onConnectionClosed();
        CPPUNIT_ASSERT(body.isComplete());
    }

    void truncatedBodyIsMalformed()
    {
        for (const auto *fields : {"Content-Length: 30\r\n", "Transfer-Encoding: chunked\r\n"}) {
            auto body = responseBody(fields);
            std::string out;
            body.decode("3\r\nabc", out);
            body.onConnectionClosed();
            CPPUNIT_ASSERT(body.isMalformed());
        }
    }

    void responseToHeadRequestHasNoBody()
    {
        CPPUNIT_ASSERT(responseBody("Content-Length: 30\r\n", "HEAD").isComplete());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyDecoderTest);

} // namespace Carawaykeel::Tests
