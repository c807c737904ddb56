#include <platform/ConfigurationDecoder.h>
#include <platform/PlatformDialect.h>
#include <platform/ServerEntryDecoder.h>

#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <string>

namespace Carawaykeel::Tests {

namespace {

const std::string Document = R"({"version":7,"routes":[
{"name":"r1","host":"a.example","prefix":"/p/","kind":"stream","timeoutMs":15000,"goalMs":800,
"priority":0,"backends":[{"service":"one","weight":90},{"service":"two","weight":10}],
"maxAttempts":2,"public":false,"sticky":true,"canResume":true,"gapTargetMs":500},
{"name":"r2","host":"a.example","prefix":"/q/","kind":"safe","timeoutMs":800,"goalMs":100,
"priority":2,"service":"two","maxAttempts":2,"public":true}],
"services":[{"name":"one","healthPath":"/health","maxConns":370,"coldS":2.5,"coldPerS":10.0,
"engine":{"slots":64,"stride":6,"kvCapacity":250000}},
{"name":"two","healthPath":"/health","maxConns":110}],
"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"red","apiKeys":["k1","k2"],"priority":1,"prepaid":3179661},
{"name":"blue","apiKeys":["k3"]}]})";

const std::string Entry = R"({"service":"one","address":"10.128.0.9:8080","zone":"z","version":"v1",
"slots":64,"state":"ready","coldLeftMs":250,"seq":4,"born":1700000000123})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

bool isServerEntry(const std::string &text)
{
    return std::holds_alternative<Forwarding::ServerEntry>(Base::toOutcome<Forwarding::ServerEntry>(
        [&] { return CarawaykeelPlatform::tryDecodeServerEntry("i-1", text); }));
}

using ConfigurationPointer = std::shared_ptr<const Forwarding::RouterConfiguration>;

Base::Outcome<ConfigurationPointer> decodeConfiguration(const std::string &text)
{
    return Base::toOutcome<ConfigurationPointer>(
        [&] { return CarawaykeelPlatform::tryDecodeConfiguration(text); });
}

} // namespace

/// The platform's documents and header fields are decoded, and malformed ones rejected.
class DecoderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DecoderTest);
    CPPUNIT_TEST(configurationIsDecoded);
    CPPUNIT_TEST(serverEntryIsDecoded);
    CPPUNIT_TEST(malformedEntriesAreRejected);
    CPPUNIT_TEST(entriesWithNumbersOutOfRangeAreRejected);
    CPPUNIT_TEST(deeplyNestedDocumentsAreRejected);
    CPPUNIT_TEST(configurationWithNumbersOutOfRangeIsRejected);
    CPPUNIT_TEST(mutatedDocumentsNeverThrow);
    CPPUNIT_TEST(requestHeadersAreParsed);
    CPPUNIT_TEST(responseHeadersAreParsed);
    CPPUNIT_TEST(serversRetryAfterIsParsed);
    CPPUNIT_TEST(serversColdTimeIsParsed);
    CPPUNIT_TEST(exhaustedBudgetIsPaymentRequired);
    CPPUNIT_TEST_SUITE_END();

public:
    const CarawaykeelPlatform::PlatformDialect dialect{};

    void configurationIsDecoded()
    {
        const auto outcome = decodeConfiguration(Document);
        const auto &configuration = *std::get<ConfigurationPointer>(outcome);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), configuration.version());
        const auto *route = configuration.findRoute("a.example", "/p/x");
        CPPUNIT_ASSERT(route && route->kind == Forwarding::RouteKind::Stream);
        CPPUNIT_ASSERT(route->canResume && route->isIdempotent() && !route->isPublic);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(800), route->latencyObjective.count());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), route->services.size());
        CPPUNIT_ASSERT_EQUAL(90, route->services.front().weight);
        CPPUNIT_ASSERT(configuration.findRoute("a.example", "/q/")->isPublic);
        CPPUNIT_ASSERT_EQUAL(
            6, configuration.findService(Base::ServiceName("one"))->tokensPerEvent);
        CPPUNIT_ASSERT_EQUAL(
            0, configuration.findService(Base::ServiceName("two"))->tokensPerEvent);
        const auto *one = configuration.findService(Base::ServiceName("one"));
        CPPUNIT_ASSERT(one->coldTime == Base::Milliseconds(2'500));
        CPPUNIT_ASSERT_EQUAL(10.0, one->coldRequestsPerSecond);
        const auto *two = configuration.findService(Base::ServiceName("two"));
        CPPUNIT_ASSERT(two->coldTime == Base::Milliseconds() && two->coldRequestsPerSecond == 0);
        CPPUNIT_ASSERT(configuration.findService(Base::ServiceName("one"))->memoryTokens
            == Base::Tokens(250'000));
        CPPUNIT_ASSERT(configuration.findTeamByKey("k2")->prepaidTokens == Base::Tokens(3'179'661));
        CPPUNIT_ASSERT(!configuration.findTeamByKey("k3")->prepaidTokens);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(15'000), configuration.limits().idleTimeout.count());
    }

    void serverEntryIsDecoded()
    {
        const auto outcome = Base::toOutcome<Forwarding::ServerEntry>(
            [&] { return CarawaykeelPlatform::tryDecodeServerEntry("i-1", Entry); });
        const auto &entry = std::get<Forwarding::ServerEntry>(outcome);
        CPPUNIT_ASSERT(entry.name == Base::ServerName("i-1"));
        CPPUNIT_ASSERT_EQUAL(std::string("10.128.0.9:8080"), entry.address);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1'700'000'000'123), entry.startedAt);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(250), entry.remainingWarmUpTime.count());
        CPPUNIT_ASSERT(entry.hasWarmUpTime);
        CPPUNIT_ASSERT(!entry.isLeaving);
    }

    void malformedEntriesAreRejected()
    {
        for (const auto &text :
            {std::string(), std::string("null"), std::string("[]"), std::string("\xff\xfe"),
                replaced(Entry, "ready", "resting"), replaced(Entry, "\"one\"", "7"),
                replaced(Entry, "64", "\"many\""), replaced(Entry, "10.128.0.9:8080", "nowhere"),
                replaced(Entry, "\"state\"", "\"mood\"")})
            CPPUNIT_ASSERT_MESSAGE(text, !isServerEntry(text));
    }

    /// Another writer's entry with a number that no server can mean.
    void entriesWithNumbersOutOfRangeAreRejected()
    {
        for (const auto *slots : {"-4", "0", "99999999999", "1e30", "1.5", "true", "null"})
            CPPUNIT_ASSERT_MESSAGE(slots, !isServerEntry(replaced(Entry, "64", slots)));
        for (const auto *warmUp : {"1e300", "-1", "1e999", "\"soon\"", "[]", "null"})
            CPPUNIT_ASSERT_MESSAGE(warmUp, !isServerEntry(replaced(Entry, "250", warmUp)));
        for (const auto *born : {"-1", "1e999", "1.5", "\"x\"", "99999999999999999999"}) {
            CPPUNIT_ASSERT_MESSAGE(born, !isServerEntry(replaced(Entry, "1700000000123", born)));
        }
        for (const auto *port : {"0", "-1", "65536", "99999", "080x", ""}) {
            CPPUNIT_ASSERT_MESSAGE(
                port, !isServerEntry(replaced(Entry, ":8080", std::string(":") + port)));
        }
        CPPUNIT_ASSERT(isServerEntry(replaced(Entry, ",\"coldLeftMs\":250", "")));
        CPPUNIT_ASSERT(isServerEntry(replaced(Entry, "250", "0.5")));
    }

    void deeplyNestedDocumentsAreRejected()
    {
        for (const std::size_t depth : {100, 5'000, 400'000}) {
            const auto nested = std::string(depth, '[') + "1" + std::string(depth, ']');
            CPPUNIT_ASSERT(!isServerEntry(nested));
            CPPUNIT_ASSERT(!isServerEntry(std::string(depth, '[')));
            decodeConfiguration(replaced(Document, "\"weight\":90", "\"weight\":" + nested));
            decodeConfiguration(nested);
        }
    }

    /// Configurations are valid, but a number that cannot be meant must not end the process or
    /// become an endless time.
    void configurationWithNumbersOutOfRangeIsRejected()
    {
        for (const auto *timeout : {"1e300", "-5", "\"long\"", "1e999"}) {
            CPPUNIT_ASSERT_MESSAGE(timeout,
                std::holds_alternative<Base::Failure>(
                    decodeConfiguration(replaced(Document, "15000", timeout))));
        }
        CPPUNIT_ASSERT(std::holds_alternative<Base::Failure>(
            decodeConfiguration(replaced(Document, "3179661", "1e40"))));
        CPPUNIT_ASSERT(std::holds_alternative<Base::Failure>(
            decodeConfiguration(replaced(Document, "3179661", "-7"))));
        for (const auto *number : {"-1", "1e300", "\"long\""}) {
            CPPUNIT_ASSERT(std::holds_alternative<Base::Failure>(
                decodeConfiguration(replaced(Document, "2.5", number))));
            CPPUNIT_ASSERT(std::holds_alternative<Base::Failure>(
                decodeConfiguration(replaced(Document, "10.0", number))));
        }
    }

    /// Random bytes are changed and documents truncated, with a fixed seed.
    void mutatedDocumentsNeverThrow()
    {
        std::mt19937_64 random(11);
        int decoded = 0;
        for (int n = 0; n < 3'000; ++n) {
            for (const auto &original : {Document, Entry}) {
                auto text = original;
                for (auto k = random() % 4; k > 0; --k)
                    text[random() % text.size()] = static_cast<char>(random());
                if (random() % 3 == 0)
                    text.resize(random() % text.size());
                decoded += isServerEntry(text) ? 1 : 0;
                decodeConfiguration(text);
            }
        }
        CPPUNIT_ASSERT(decoded > 0);
    }

    void requestHeadersAreParsed()
    {
        Poco::Net::HTTPRequest head("POST", "/p/", "HTTP/1.1");
        head.set("Host", "a.example");
        head.set("X-Request-Id", "9c41");
        head.set("Authorization", "Bearer k1");
        head.set("X-Deadline-Ms", "15000");
        head.set("X-Token-Counts", "1460,80");
        head.set("X-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
        head.set("Last-Event-Id", "12");
        const auto read = [&] {
            return Base::toOutcome<Forwarding::RequestMetadata>(
                [&] { return dialect.tryReadRequest(head); });
        };
        const auto outcome = read();
        const auto &metadata = std::get<Forwarding::RequestMetadata>(outcome);
        CPPUNIT_ASSERT_EQUAL(std::string("k1"), metadata.key);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1'460), metadata.promptTokens.count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(80), metadata.maxResponseTokens.count());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), metadata.promptParts.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0x91bd3f06), metadata.promptParts.at(1).id);
        CPPUNIT_ASSERT(metadata.lastEventId == std::uint64_t(12));
        for (const auto *counts : {"1460", "a,b", "-1,5", "1,2,3", ""}) {
            head.set("X-Token-Counts", counts);
            CPPUNIT_ASSERT_MESSAGE(counts, std::holds_alternative<Base::Failure>(read()));
        }
    }

    void responseHeadersAreParsed()
    {
        Poco::Net::HTTPResponse head(Poco::Net::HTTPResponse::HTTP_OK);
        head.set("X-Request-Id", "9c41");
        head.set("X-Server-Load", "3,0,8");
        head.set("Keep-Alive", "timeout=7, max=100");
        auto metadata = dialect.readResponse(head);
        CPPUNIT_ASSERT_EQUAL(8, metadata.reportedLoad->slots);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7'000), metadata.idleTimeout->count());
        CPPUNIT_ASSERT(!metadata.isNotExecuted && !metadata.hasServerStamp);
        CPPUNIT_ASSERT(!metadata.isServerLeaving);
        head.set("Server-Leaving", "yes");
        CPPUNIT_ASSERT(!dialect.readResponse(head).isServerLeaving);
        head.set("Server-Leaving", "1");
        CPPUNIT_ASSERT(dialect.readResponse(head).isServerLeaving);
        head.setStatus(Poco::Net::HTTPResponse::HTTP_MISDIRECTED_REQUEST);
        CPPUNIT_ASSERT(dialect.readResponse(head).isNotExecuted);
    }

    void serversRetryAfterIsParsed()
    {
        Poco::Net::HTTPResponse head(Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        const auto read = [&](const std::string &text) {
            head.set("Retry-After", text);
            return dialect.readResponse(head).retryAfter;
        };
        CPPUNIT_ASSERT(read("2") == Base::Milliseconds(2'000));
        CPPUNIT_ASSERT(read("0.25") == Base::Milliseconds(250));
        for (const auto *text :
            {"", "0", "-1", "soon", "nan", "1e300", "Wed, 21 Oct 2026 07:28:00 GMT"})
            CPPUNIT_ASSERT_MESSAGE(text, !read(text));
        head.setStatus(Poco::Net::HTTPResponse::HTTP_TOO_MANY_REQUESTS);
        CPPUNIT_ASSERT(!read("2"));
    }

    void serversColdTimeIsParsed()
    {
        Poco::Net::HTTPResponse head;
        const auto read = [&](const std::string &text) {
            head.set("X-Cold-Ms", text);
            return dialect.readResponse(head).remainingColdTime;
        };
        CPPUNIT_ASSERT(read("250") == Base::Milliseconds(250));
        CPPUNIT_ASSERT(read("250.5") == Base::Milliseconds(250));
        for (const auto *text : {"", "0", "-1", "soon", "nan", "inf"})
            CPPUNIT_ASSERT_MESSAGE(text, !read(text));
        // The server that responds is not the one that the request was sent to.
        head.setStatus(Poco::Net::HTTPResponse::HTTP_MISDIRECTED_REQUEST);
        CPPUNIT_ASSERT(!read("250"));
    }

    void exhaustedBudgetIsPaymentRequired()
    {
        CPPUNIT_ASSERT_EQUAL(402, dialect.httpStatusOf(Base::ErrorKind::BudgetExhausted));
        CPPUNIT_ASSERT_EQUAL(503, dialect.httpStatusOf(Base::ErrorKind::BudgetUnavailable));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecoderTest);

} // namespace Carawaykeel::Tests
