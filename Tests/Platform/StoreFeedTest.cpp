#include <Carawaykeel/Net/ReactorThread.h>
#include <platform/StoreFeed.h>

#include <Support/ScriptedServer.h>

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <mutex>
#include <thread>

namespace Carawaykeel::Tests {

namespace {

/// A row "key" whose value is "value" in base64.
std::string makeRow(const std::string &key, int version)
{
    return fmt::format(R"({{"key":"{}","value":"dmFsdWU=","ver":{}}})", key, version);
}

ScriptedResponse makeReply(const std::string &rows, int version, bool hasMore = false)
{
    const auto body =
        fmt::format(R"({{"rows":[{}],"ver":{},"nowMs":1,"hasMore":{}}})", rows, version, hasMore);
    return {fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body)};
}

/// Notes what a feed reports, as one text.
class RecordingListener : public Platform::ChangeListener
{
public:
    void onSnapshot(const std::vector<Platform::Row> &rows, std::uint64_t version) override
    {
        for (const auto &row : rows)
            add("=" + row.key + ":" + row.value);
        add(fmt::format("@{}", version));
    }
    void onChanges(const std::vector<Platform::RowChange> &changes) override
    {
        for (const auto &change : changes)
            add((change.value ? "+" : "-") + change.key);
    }
    void onReachabilityChanged(bool isReachable) override { add(isReachable ? "reached" : "lost"); }

    bool waitFor(const std::string &text) const
    {
        for (int n = 0; n < 500; ++n) {
            {
                const std::lock_guard lock(m_mutex);
                if (m_text == text)
                    return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

private:
    void add(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_text += text + " ";
    }

    mutable std::mutex m_mutex;
    std::string m_text;
};

} // namespace

/// Follows the change feed of a scripted table service.
class StoreFeedTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreFeedTest);
    CPPUNIT_TEST(snapshotPagesAndChangesAreReported);
    CPPUNIT_TEST(silenceIsNoticedAndTheFeedGoesOn);
    CPPUNIT_TEST(expiredHistoryIsReadAnew);
    CPPUNIT_TEST(largePagesAreDecodedOnTheOtherThread);
    CPPUNIT_TEST(busyTableIsReadAtMostOncePerInterval);
    CPPUNIT_TEST(rowsThatCannotBeReadHideNoOthers);
    CPPUNIT_TEST_SUITE_END();

    /// Runs a feed against a script until both listeners have heard the text.
    static bool reports(const ScriptedServer::Script &script, const std::string &text,
        CarawaykeelPlatform::FeedTiming timing = {Base::Milliseconds(500), Base::Milliseconds()})
    {
        ScriptedServer server(script);
        RecordingListener listener;
        RecordingListener secondListener;
        CarawaykeelPlatform::StoreCallCounter counter;
        Net::ReactorThread thread;
        Adapters::WorkerPool decoder(1, 2);
        CarawaykeelPlatform::StoreFeed feed(server.address(), "servers", timing,
            Base::Milliseconds(300), thread.reactor(), decoder, counter, listener);
        feed.addListener(secondListener);
        feed.start();
        thread.start();
        const bool hasHeard = listener.waitFor(text) && secondListener.waitFor(text);
        thread.stop();
        decoder.stop();
        return hasHeard;
    }

public:
    void snapshotPagesAndChangesAreReported()
    {
        CPPUNIT_ASSERT(reports(
            [](const ReceivedRequest &request, int number) -> ScriptedResponse {
                switch (number) {
                case 1:
                    return makeReply(makeRow("a", 3), 7, true);
                case 2:
                    return makeReply(
                        request.head.find("from=a%21") != std::string::npos ? makeRow("b", 5) : "",
                        9);
                case 3:
                    return makeReply(request.head.find("sinceRev=7&") != std::string::npos
                            ? makeRow("c", 8) + R"(,{"key":"a","removed":true,"ver":9})"
                            : "",
                        9);
                default:
                    return {"", ScriptedResponse::Then::Hang};
                }
            },
            "reached =a:value =b:value @7 +c -a "));
    }

    void silenceIsNoticedAndTheFeedGoesOn()
    {
        CPPUNIT_ASSERT(reports(
            [](const ReceivedRequest &, int number) -> ScriptedResponse {
                if (number == 1)
                    return makeReply(makeRow("a", 3), 7);
                if (number == 2)
                    return {"", ScriptedResponse::Then::Hang};
                if (number == 3)
                    return makeReply(makeRow("b", 8), 8);
                return {"", ScriptedResponse::Then::Hang};
            },
            "reached =a:value @7 lost reached +b "));
    }

    void expiredHistoryIsReadAnew()
    {
        CPPUNIT_ASSERT(reports(
            [](const ReceivedRequest &, int number) -> ScriptedResponse {
                if (number == 1 || number == 3)
                    return makeReply(makeRow("a", 3), number == 1 ? 7 : 9);
                if (number == 2)
                    return {"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n"};
                return {"", ScriptedResponse::Then::Hang};
            },
            "reached =a:value @7 =a:value @9 "));
    }

    void largePagesAreDecodedOnTheOtherThread()
    {
        std::string rows;
        std::string expected = "reached ";
        for (int n = 0; n < 800; ++n) {
            rows += (n == 0 ? "" : ",") + makeRow(fmt::format("k{}", n), 3);
            expected += fmt::format("=k{}:value ", n);
        }
        expected += "@7 ";
        CPPUNIT_ASSERT(reports(
            [&](const ReceivedRequest &, int number) -> ScriptedResponse {
                if (number == 1)
                    return makeReply(rows, 7);
                return {"", ScriptedResponse::Then::Hang};
            },
            expected));
    }

    /// Another writer's rows have no value, one of another type or one that is no base64.
    void rowsThatCannotBeReadHideNoOthers()
    {
        const std::string oddRows = R"({"key":"x","ver":3},{"key":"y","value":7,"ver":3},)"
                                    R"({"key":"z","value":"*!","ver":3},{"ver":3},null,[1],)";
        CPPUNIT_ASSERT(reports(
            [&](const ReceivedRequest &, int number) -> ScriptedResponse {
                if (number == 1)
                    return makeReply(oddRows + makeRow("a", 3), 7);
                if (number == 2)
                    return makeReply(oddRows + makeRow("b", 8), 8);
                return {"", ScriptedResponse::Then::Hang};
            },
            "reached =x: =y: =z: =a:value @7 +x +y +z +b "));
    }

    /// Pattern: the rows of a few hundred servers change all the time, so that each read returns at
    /// once. Twenty reads take at least nineteen intervals.
    void busyTableIsReadAtMostOncePerInterval()
    {
        constexpr Base::Milliseconds Interval(50);
        const auto startedAt = std::chrono::steady_clock::now();
        std::string expected = "reached @1 ";
        for (int n = 1; n <= 20; ++n)
            expected += "+a ";
        CPPUNIT_ASSERT(reports(
            [](const ReceivedRequest &, int number) -> ScriptedResponse {
                if (number == 1)
                    return makeReply("", 1);
                if (number <= 21)
                    return makeReply(makeRow("a", number), number);
                return {"", ScriptedResponse::Then::Hang};
            },
            expected, {Base::Milliseconds(500), Interval}));
        const auto elapsed = std::chrono::steady_clock::now() - startedAt;
        CPPUNIT_ASSERT(elapsed >= std::chrono::milliseconds(19 * Interval.count()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFeedTest);

} // namespace Carawaykeel::Tests
