#include "FleetProcesses.h"
#include "WireCall.h"

#include <Support/BrokenResponses.h>
#include <Support/NeighbourInstance.h>
#include <Support/ScriptedServer.h>

#include <atomic>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <functional>
#include <thread>
#include <utility>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

using Catalog = std::vector<BrokenResponse> (*)(const ResponseContent &);

const std::string Marker = "from the server";
const std::string PlainBody = R"({"text":"from the server"})";
const std::string Completion =
    R"({"id":"a","choices":[{"message":{"content":"from the server"}}],"usage":{"total_tokens":3}})";
const std::string Stream = "data: {\"id\":\"a\",\"choices\":[{\"delta\":{\"content\":"
                           "\"from the server\"}}]}\n\ndata: [DONE]\n\n";

constexpr int MaxAttempts = 300;
constexpr std::chrono::milliseconds AttemptDelay{50};

std::string request(const std::string &path, const std::string &body)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {}\r\n"
                       "Content-Type: application/json\r\nConnection: close\r\n"
                       "Content-Length: {}\r\n\r\n{}",
        path, FleetProcesses::CallerKey, body.size(), body);
}

/// How a caller sends a request that contains some text, and the body of a valid response.
struct Route
{
    std::string name;
    std::function<std::string(const std::string &text)> makeRequest;
    std::string responseBody;
};

std::vector<Route> routes()
{
    const auto chat = [](bool isStream) {
        return [isStream](const std::string &text) {
            return request("/v1/chat/completions",
                fmt::format(R"({{"model":"model","max_tokens":8,"stream":{},)"
                            R"("messages":[{{"role":"user","content":"{}"}}]}})",
                    isStream, text));
        };
    };
    return {
        {"plain", [](const std::string &text) { return request("/services/booking/slots", text); },
            PlainBody},
        {"completion", chat(false), Completion},
        {"stream", chat(true), Stream},
    };
}

/// Returns valid responses in several framings, each twice, so that a kept connection is used
/// again.
std::vector<EarlyResponse> validResponses(const ResponseContent &content)
{
    const auto &body = content.body;
    const auto withLength =
        fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
    const auto chunked = fmt::format("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                     "{:x}\r\n{}\r\n0\r\nX-Y: v\r\n\r\n",
        body.size(), body);
    const auto interim = "HTTP/1.1 103 Early Hints\r\nX-Y: v\r\n\r\n" + withLength;
    return {{"length", {withLength}}, {"length", {withLength}}, {"chunks", {chunked}},
        {"chunks", {chunked}}, {"interim", {interim}}, {"interim", {interim}}};
}

/// Returns true if the caller received the whole answer.
bool isServed(const ReceivedBytes &received)
{
    const bool isWhole = !received.contains("text/event-stream") || received.contains("[DONE]");
    return received.status() == "200" && received.contains(Marker) && isWhole;
}

/// Returns true if the caller received neither an answer nor a stream that seems complete.
bool isRefusal(const ReceivedBytes &received)
{
    if (received.status() == "502")
        return !received.contains(Marker);
    return received.status() == "200" && received.contains("text/event-stream")
        && !received.contains("[DONE]") && received.contains("answer_incomplete");
}

} // namespace

/// Broken responses of backend servers to an instance with the product's own interface, as the
/// caller receives them.
class InstanceResponsesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(InstanceResponsesTest);
    CPPUNIT_TEST(validResponsesAreServed);
    CPPUNIT_TEST(invalidStatusIsRefused);
    CPPUNIT_TEST(invalidNamesInHeadsAreRefused);
    CPPUNIT_TEST(invalidNamesInInterimHeadsAreRefused);
    CPPUNIT_TEST(invalidNamesInTrailersAreRefused);
    CPPUNIT_TEST(partsOfEarlyResponsesAreRefused);
    CPPUNIT_TEST(failuresAreNotForwardedAsPromises);
    CPPUNIT_TEST_SUITE_END();

    using Responses = std::function<std::vector<EarlyResponse>(const ResponseContent &)>;

    /// Calls all routes for each response of one server. Returns the names of the responses for
    /// which `isExpected` is false.
    static std::string unexpected(const Responses &responses, const std::string &text,
        bool (*isExpected)(const ReceivedBytes &),
        ScriptedServer::Reading reading = ScriptedServer::Reading::WholeRequest)
    {
        std::atomic<std::size_t> current = 0;
        std::vector<EarlyResponse> cases;
        for (const auto &route : routes()) {
            for (auto &response : responses({"", route.responseBody}))
                cases.push_back({route.name + ", " + response.name, std::move(response.response)});
        }
        ScriptedServer server(
            [&](const ReceivedRequest &, int) { return cases.at(current).response; }, reading);
        const auto platformAddress = makeLoopbackAddress();
        const ChildProcess platform(PLATFORM_STANDIN, {"--listen", platformAddress});
        FleetProcesses fleet(platformAddress, server.address(), server.address());
        CPPUNIT_ASSERT(fleet.waitUntilDeclared());
        std::string names;
        const auto perRoute = cases.size() / routes().size();
        for (std::size_t n = 0; n < cases.size(); ++n) {
            current = n;
            const auto bytes = routes().at(n / perRoute).makeRequest(text);
            const auto before = server.requests().size();
            auto received = callOnWire(fleet.callerAddress(), bytes);
            // An instance serves some time after the declaration was acknowledged.
            for (int k = 0; k < MaxAttempts && server.requests().size() == before; ++k) {
                std::this_thread::sleep_for(AttemptDelay);
                received = callOnWire(fleet.callerAddress(), bytes);
            }
            if (!isExpected(received) || server.requests().size() != before + 1)
                names += fmt::format("\n{}: {}", cases[n].name, received.bytes.substr(0, 16));
        }
        return names;
    }

    static void checkRefused(Catalog catalog)
    {
        const auto responses = [catalog](const ResponseContent &content) {
            std::vector<EarlyResponse> scripted;
            for (auto &response : catalog(content))
                scripted.push_back({std::move(response.name), {std::move(response.bytes)}});
            return scripted;
        };
        CPPUNIT_ASSERT_EQUAL(std::string(), unexpected(responses, "text", isRefusal));
    }

public:
    void validResponsesAreServed()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), unexpected(validResponses, "text", isServed));
    }

    void invalidStatusIsRefused() { checkRefused(responsesWithInvalidStatus); }
    void invalidNamesInHeadsAreRefused() { checkRefused(responsesWithInvalidHead); }
    void invalidNamesInInterimHeadsAreRefused() { checkRefused(responsesWithInvalidInterimHead); }
    void invalidNamesInTrailersAreRefused() { checkRefused(responsesWithInvalidTrailer); }

    /// Guards against a back end's failure whose status tells the caller that nothing was run.
    void failuresAreNotForwardedAsPromises()
    {
        const auto failures = [](const ResponseContent &content) {
            std::vector<EarlyResponse> responses;
            for (const int status : {408, 421, 429, 503}) {
                responses.push_back({fmt::format("{}", status),
                    {fmt::format("HTTP/1.1 {} Any\r\nContent-Length: {}\r\n\r\n{}", status,
                        content.body.size(), content.body)}});
            }
            return responses;
        };
        CPPUNIT_ASSERT_EQUAL(std::string(), unexpected(failures, "text", isRefusal));
    }

    /// Bodies end before what makes a completion or a stream whole, except for plain services.
    void partsOfEarlyResponsesAreRefused()
    {
        constexpr std::size_t PartBytes = 20;
        const auto parts = [](const ResponseContent &content) {
            return partsOfEarlyResponses({"", content.body.substr(0, PartBytes)});
        };
        for (const std::size_t bytes : {300'000, 3'000'000}) {
            CPPUNIT_ASSERT_EQUAL(std::string(),
                unexpected(
                    parts, std::string(bytes, 'u'), isRefusal, ScriptedServer::Reading::HeadOnly));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceResponsesTest);

} // namespace Carawaykeel::Tests
