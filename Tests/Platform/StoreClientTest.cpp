#include <Carawaykeel/Net/ReactorThread.h>
#include <platform/StoreClient.h>

#include <Support/ScriptedServer.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <functional>
#include <future>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

ScriptedResponse makeReply(int status, const std::string &body)
{
    return {fmt::format(
        "HTTP/1.1 {} Reason\r\nContent-Length: {}\r\n\r\n{}", status, body.size(), body)};
}

ScriptedResponse makePage(const std::string &rows, bool hasMore = false)
{
    return makeReply(
        200, fmt::format(R"({{"rows":[{}],"ver":9,"nowMs":1234.5,"hasMore":{}}})", rows, hasMore));
}

std::string makeRow(const std::string &key)
{
    return fmt::format(R"({{"key":"{}","value":"dmFsdWU=","ver":3}})", key);
}

/// Makes one call of a client and waits for its reply.
template <typename Reply>
Reply callStore(const ScriptedServer &server,
    const std::function<void(CarawaykeelPlatform::StoreClient &, std::function<void(Reply)>)> &call)
{
    CarawaykeelPlatform::StoreCallCounter counter;
    Net::ReactorThread thread;
    CarawaykeelPlatform::StoreClient client(
        server.address(), Base::Milliseconds(300), thread.reactor(), counter);
    std::promise<Reply> promise;
    call(client, [&](Reply reply) { promise.set_value(std::move(reply)); });
    thread.start();
    auto reply = promise.get_future().get();
    thread.stop();
    return reply;
}

Platform::RowsReply readRows(const ScriptedServer &server, const std::vector<std::string> &keys)
{
    return callStore<Platform::RowsReply>(
        server, [&](auto &client, auto callback) { client.readRows(keys, callback); });
}

Platform::RangeReply readRange(const ScriptedServer &server)
{
    return callStore<Platform::RangeReply>(
        server, [](auto &client, auto callback) { client.readRange("p/", callback); });
}

Platform::CommitOutcome commit(const ScriptedResponse &response)
{
    ScriptedServer server([&](const ReceivedRequest &, int) { return response; });
    return callStore<Platform::CommitReply>(server, [](auto &client, auto callback) {
        Platform::Transaction transaction;
        transaction.put("key", "value", 3);
        client.commit(std::move(transaction), callback);
    }).outcome;
}

} // namespace

/// The router's own table, in a scripted table service.
class StoreClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreClientTest);
    CPPUNIT_TEST(rowsAreReadOneByOne);
    CPPUNIT_TEST(rangesAreReadPageByPage);
    CPPUNIT_TEST(rowsThatCannotBeReadAreNoReply);
    CPPUNIT_TEST(commitsTellWhatIsKnown);
    CPPUNIT_TEST_SUITE_END();

public:
    void rowsAreReadOneByOne()
    {
        ScriptedServer server([](const ReceivedRequest &, int number) {
            return makePage(number == 1 ? makeRow("a") : "");
        });
        const auto reply = readRows(server, {"a", "b"});
        CPPUNIT_ASSERT(reply.isReachable && reply.serviceNow == Base::Milliseconds(1'234));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), reply.rows.size());
        CPPUNIT_ASSERT(reply.rows[0] && reply.rows[0]->value == "value" && !reply.rows[1]);
    }

    void rangesAreReadPageByPage()
    {
        ScriptedServer server([](const ReceivedRequest &, int number) {
            return makePage(makeRow(fmt::format("p/{}", number)), number < 3);
        });
        const auto reply = readRange(server);
        CPPUNIT_ASSERT(reply.isReachable);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), reply.rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("p/3"), reply.rows.back().key);
    }

    /// A ledger row that cannot be read must not look like an empty or an absent one.
    void rowsThatCannotBeReadAreNoReply()
    {
        for (const auto *odd :
            {R"({"key":"p/1","value":"*!","ver":3})", R"({"key":"p/1","value":7,"ver":3})",
                R"({"key":"p/1","ver":3})", R"({"key":"p/1","value":"dmFsdWU="})", "null"}) {
            ScriptedServer server([&](const ReceivedRequest &, int) { return makePage(odd); });
            CPPUNIT_ASSERT_MESSAGE(odd, !readRange(server).isReachable);
            CPPUNIT_ASSERT_MESSAGE(odd, !readRows(server, {"p/1"}).isReachable);
        }
    }

    void commitsTellWhatIsKnown()
    {
        using Outcome = Platform::CommitOutcome;
        CPPUNIT_ASSERT(commit(makeReply(200, R"({"ver":9})")) == Outcome::Committed);
        CPPUNIT_ASSERT(commit(makeReply(412, R"({"rows":[]})")) == Outcome::Conflict);
        CPPUNIT_ASSERT(commit(makeReply(503, "")) == Outcome::Refused);
        CPPUNIT_ASSERT(commit(makeReply(429, "")) == Outcome::Refused);
        CPPUNIT_ASSERT(commit(makeReply(200, "{")) == Outcome::Unknown);
        CPPUNIT_ASSERT(commit(makeReply(500, "")) == Outcome::Unknown);
        CPPUNIT_ASSERT(commit({"", ScriptedResponse::Then::Hang}) == Outcome::Unknown);
        CPPUNIT_ASSERT(commit({"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"ver",
                           ScriptedResponse::Then::Reset})
            == Outcome::Unknown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClientTest);

} // namespace Carawaykeel::Tests
