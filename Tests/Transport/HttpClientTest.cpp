#include <Carawaykeel/Net/ReactorThread.h>
#include <Carawaykeel/Transport/HttpClient.h>

#include <Support/BrokenResponses.h>
#include <Support/NeighbourInstance.h>
#include <Support/ScriptedServer.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <future>
#include <memory>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

using Then = ScriptedResponse::Then;
using Reply = std::optional<Transport::HttpReply>;

std::string replyWith(const std::string &body)
{
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
}

/// A client on a reactor of its own.
class ClientUnderTest
{
public:
    explicit ClientUnderTest(const std::string &address)
        : m_client(std::make_unique<Transport::HttpClient>(m_thread.reactor(), address))
    {
        m_thread.start();
    }

    ~ClientUnderTest() { m_thread.stop(); }

    std::future<Reply> start(const std::string &path, const std::string &body = {})
    {
        auto promise = std::make_shared<std::promise<Reply>>();
        m_thread.reactor().post([this, promise, path, body] {
            m_client->call({body.empty() ? "GET" : "POST", path, body, Base::Milliseconds(400)},
                [promise](const Reply &reply) { promise->set_value(reply); });
        });
        return promise->get_future();
    }

    Reply call(const std::string &path) { return start(path).get(); }

private:
    Net::ReactorThread m_thread;
    std::unique_ptr<Transport::HttpClient> m_client;
};

} // namespace

/// Calls to a service that replies slowly, partly, late or not at all.
class HttpClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpClientTest);
    CPPUNIT_TEST(callsShareOneConnectionInOrder);
    CPPUNIT_TEST(callAfterSilenceGetsItsOwnReply);
    CPPUNIT_TEST(brokenRepliesAreNoReplies);
    CPPUNIT_TEST(invalidStatusIsNoReply);
    CPPUNIT_TEST(invalidHeadsAreNoReplies);
    CPPUNIT_TEST(invalidInterimHeadsAreNoReplies);
    CPPUNIT_TEST(invalidTrailersAreNoReplies);
    CPPUNIT_TEST(partsOfEarlyRepliesAreNoReplies);
    CPPUNIT_TEST(wholeRepliesWithoutLengthAreRead);
    CPPUNIT_TEST(extraBytesEndTheConnection);
    CPPUNIT_TEST(refusedConnectionFailsAtOnce);
    CPPUNIT_TEST(callsBeyondTheQueueFail);
    CPPUNIT_TEST_SUITE_END();

public:
    void callsShareOneConnectionInOrder()
    {
        ScriptedServer server([](const ReceivedRequest &request, int) {
            return ScriptedResponse{replyWith(request.head.substr(0, 6) + request.body)};
        });
        ClientUnderTest client(server.address());
        std::vector<std::future<Reply>> replies;
        for (int n = 0; n < 5; ++n)
            replies.push_back(client.start(fmt::format("/{}", n)));
        auto posted = client.start("/x", "{}");
        for (int n = 0; n < 5; ++n)
            CPPUNIT_ASSERT_EQUAL(fmt::format("GET /{}", n), replies[n].get()->body);
        CPPUNIT_ASSERT_EQUAL(std::string("POST /{}"), posted.get()->body);
    }

    void callAfterSilenceGetsItsOwnReply()
    {
        ScriptedServer server([](const ReceivedRequest &, int number) {
            if (number == 1)
                return ScriptedResponse{"HTTP/1.1 200 OK\r\n", Then::Hang};
            return ScriptedResponse{replyWith("second")};
        });
        ClientUnderTest client(server.address());
        auto silent = client.start("/1");
        auto next = client.start("/2");
        CPPUNIT_ASSERT(!silent.get());
        CPPUNIT_ASSERT_EQUAL(std::string("second"), next.get()->body);
    }

    void brokenRepliesAreNoReplies()
    {
        const std::vector<ScriptedResponse> responses{
            {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", Then::Close},
            {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", Then::Reset},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", Then::Close},
            {"not a response\r\n\r\n", Then::Keep},
            {"HTTP/1.1 200 OK\r\nX: ", Then::Flood, "xxxxx"}, {"", Then::Close}};
        ScriptedServer server(
            [&](const ReceivedRequest &, int number) { return responses.at(number - 1); });
        ClientUnderTest client(server.address());
        for (std::size_t n = 0; n < responses.size(); ++n)
            CPPUNIT_ASSERT_MESSAGE(responses[n].bytes, !client.call("/"));
    }

    static void checkNoReplies(const std::vector<BrokenResponse> &responses)
    {
        ScriptedServer server([&](const ReceivedRequest &, int number) {
            return ScriptedResponse{responses.at(number - 1).bytes};
        });
        ClientUnderTest client(server.address());
        std::string names;
        for (const auto &response : responses)
            names += client.call("/") ? "\n" + response.name : "";
        CPPUNIT_ASSERT_EQUAL(std::string(), names);
        CPPUNIT_ASSERT_EQUAL(responses.size(), server.requests().size());
    }

    void invalidStatusIsNoReply() { checkNoReplies(responsesWithInvalidStatus({"", "{}"})); }
    void invalidHeadsAreNoReplies() { checkNoReplies(responsesWithInvalidHead({"", "{}"})); }
    void invalidInterimHeadsAreNoReplies()
    {
        checkNoReplies(responsesWithInvalidInterimHead({"", "{}"}));
    }
    void invalidTrailersAreNoReplies() { checkNoReplies(responsesWithInvalidTrailer({"", "{}"})); }

    /// Guards against a part of a reply that passes as a whole one: the service ends the connection
    /// before it has received the call.
    void partsOfEarlyRepliesAreNoReplies()
    {
        const auto responses = partsOfEarlyResponses({"", "{}"});
        for (const std::size_t bytes : {100'000, 1'000'000, 4'000'000}) {
            ScriptedServer server([&](const ReceivedRequest &,
                                      int number) { return responses.at(number - 1).response; },
                ScriptedServer::Reading::HeadOnly);
            ClientUnderTest client(server.address());
            std::string names;
            for (const auto &response : responses) {
                const auto reply = client.start("/", std::string(bytes, 'u')).get();
                names += reply ? "\n" + response.name : "";
            }
            CPPUNIT_ASSERT_EQUAL(std::string(), names);
            CPPUNIT_ASSERT_EQUAL(responses.size(), server.requests().size());
        }
    }

    void wholeRepliesWithoutLengthAreRead()
    {
        ScriptedServer server([](const ReceivedRequest &, int) {
            return ScriptedResponse{"HTTP/1.1 200 OK\r\n\r\nwhole", Then::Close};
        });
        ClientUnderTest client(server.address());
        for (const std::size_t bytes : {10, 100'000, 4'000'000}) {
            const auto reply = client.start("/", std::string(bytes, 'u')).get();
            CPPUNIT_ASSERT(reply && reply->body == "whole");
        }
    }

    void extraBytesEndTheConnection()
    {
        ScriptedServer server([](const ReceivedRequest &, int number) {
            const auto body = fmt::format("{}", number);
            // The first reply comes twice.
            return ScriptedResponse{replyWith(body) + (number == 1 ? replyWith(body) : "")};
        });
        ClientUnderTest client(server.address());
        for (int n = 1; n <= 3; ++n)
            CPPUNIT_ASSERT_EQUAL(fmt::format("{}", n), client.call("/")->body);
    }

    void refusedConnectionFailsAtOnce()
    {
        ClientUnderTest client(makeLoopbackAddress());
        CPPUNIT_ASSERT(!client.call("/"));
        CPPUNIT_ASSERT(!client.call("/"));
    }

    void callsBeyondTheQueueFail()
    {
        ScriptedServer server(
            [](const ReceivedRequest &, int) { return ScriptedResponse{replyWith("ok")}; });
        ClientUnderTest client(server.address());
        std::vector<std::future<Reply>> replies;
        for (std::size_t n = 0; n < 3 * Transport::HttpClient::MaxQueuedCalls; ++n)
            replies.push_back(client.start("/"));
        std::size_t answered = 0;
        for (auto &reply : replies)
            answered += reply.get() ? 1 : 0;
        CPPUNIT_ASSERT(answered >= Transport::HttpClient::MaxQueuedCalls);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

} // namespace Carawaykeel::Tests
