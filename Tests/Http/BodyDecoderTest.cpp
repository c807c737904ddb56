#include <Carawaykeel/Http/BodyDecoder.h>
#include <Carawaykeel/Http/HeadParser.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

namespace {

Http::BodyDecoder responseBody(const std::string &fields, const std::string &method = "GET")
{
    auto outcome = Base::toOutcome<Http::ResponseHead>(
        [&] { return Http::tryParseResponseHead("HTTP/1.1 200 OK\r\n" + fields + "\r\n"); });
    return Http::BodyDecoder::forResponse(*std::get<Http::ResponseHead>(outcome), method);
}

} // namespace

/// A body is taken exactly, however its bytes are cut.
class BodyDecoderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyDecoderTest);
    CPPUNIT_TEST(lengthEndsTheBody);
    CPPUNIT_TEST(chunksAreJoinedAtEveryCut);
    CPPUNIT_TEST(damagedChunksBreakTheBody);
    CPPUNIT_TEST(unframedBodyEndsWithTheConnectionOnly);
    CPPUNIT_TEST(cutBodyIsNotComplete);
    CPPUNIT_TEST(answerToHeadHasNoBody);
    CPPUNIT_TEST_SUITE_END();

public:
    void lengthEndsTheBody()
    {
        auto body = responseBody("Content-Length: 3\r\n");
        std::string out;
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), body.decode("abcHTTP/1.1", out));
        CPPUNIT_ASSERT(body.isComplete());
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), out);
    }

    void chunksAreJoinedAtEveryCut()
    {
        const std::string bytes = "3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n";
        for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
            auto body = responseBody("Transfer-Encoding: chunked\r\n");
            std::string out;
            CPPUNIT_ASSERT_EQUAL(cut, body.decode(std::string_view(bytes).substr(0, cut), out));
            CPPUNIT_ASSERT(cut == bytes.size() || !body.isComplete());
            const auto rest = bytes.substr(cut) + "beyond";
            CPPUNIT_ASSERT_EQUAL(bytes.size() - cut, body.decode(rest, out));
            CPPUNIT_ASSERT(body.isComplete());
            CPPUNIT_ASSERT_EQUAL(std::string("abc0123456789"), out);
        }
    }

    void damagedChunksBreakTheBody()
    {
        for (const auto *bytes :
            {"x\r\n", "\r\n", "-1\r\n", "3\nabc", "3\r\nabcX\r\n", "ffffffffffffffffff\r\n"}) {
            auto body = responseBody("Transfer-Encoding: chunked\r\n");
            std::string out;
            body.decode(bytes, out);
            CPPUNIT_ASSERT_MESSAGE(bytes, body.isMalformed());
        }
    }

    void unframedBodyEndsWithTheConnectionOnly()
    {
        auto body = responseBody("");
        std::string out;
        body.decode("all of it", out);
        CPPUNIT_ASSERT(!body.isComplete());
        body.onConnectionClosed();
        CPPUNIT_ASSERT(body.isComplete());
    }

    void cutBodyIsNotComplete()
    {
        for (const auto *fields : {"Content-Length: 30\r\n", "Transfer-Encoding: chunked\r\n"}) {
            auto body = responseBody(fields);
            std::string out;
            body.decode("3\r\nabc", out);
            body.onConnectionClosed();
            CPPUNIT_ASSERT(body.isMalformed());
        }
    }

    void answerToHeadHasNoBody()
    {
        CPPUNIT_ASSERT(responseBody("Content-Length: 30\r\n", "HEAD").isComplete());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyDecoderTest);

} // namespace Carawaykeel::Tests
