#include "DaemonProcess.h"
#include "Misbehaviour.h"

#include <Support/RouterHarness.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <thread>

namespace Carawaykeel::Tests {

namespace {

constexpr std::size_t MaxHeadBytes = 16'384;
constexpr std::size_t MaxBodyBytes = 4'194'304;
/// Within the limits of 3,000 and 15,000 ms; ordinary callers reuse a connection that was idle for
/// up to four fifths of the latter.
constexpr std::chrono::milliseconds SlowHeadTime{2'800};
constexpr std::chrono::milliseconds IdleTime{12'000};

using Socket = Poco::Net::StreamSocket;

void sendAll(Socket &socket, const std::string &bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        sent += static_cast<std::size_t>(
            socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
    }
}

std::string headWith(const std::string &fields)
{
    return "POST /unsafe/small HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: edge\r\n" + fields
        + "\r\n";
}

/// A request whose head has the maximum size and as many short fields as fit.
std::string headOfMaximumSize(const std::string &field)
{
    const std::string length = "Content-Length: 5\r\n";
    std::string fields;
    while (headWith(length + fields + field).size() + 8 <= MaxHeadBytes)
        fields += field;
    const auto rest = MaxHeadBytes - headWith(length + fields).size();
    fields += "f:" + std::string(rest - 4, 'x') + "\r\n";
    return headWith(length + fields) + "hello";
}

std::string bodyWithLength()
{
    return headWith(fmt::format("Content-Length: {}\r\n", MaxBodyBytes))
        + std::string(MaxBodyBytes, 'x');
}

std::string bodyInChunks(std::size_t chunkBytes)
{
    std::string bytes = headWith("Transfer-Encoding: chunked\r\n");
    for (std::size_t n = 0; n < MaxBodyBytes; n += chunkBytes)
        bytes += fmt::format("{:x}\r\n{}\r\n", chunkBytes, std::string(chunkBytes, 'x'));
    return bytes + "0\r\n\r\n";
}

} // namespace

/// One request at the edge of each declared limit, in a process with the memory of the smallest VM
/// and without other load. Guards against added limits that ordinary callers meet.
class CallerLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallerLimitsTest);
    CPPUNIT_TEST(requestsAtTheLimitsAreServed);
    CPPUNIT_TEST(connectionsStayBelowTheSetting);
    CPPUNIT_TEST_SUITE_END();

    static void checkServed(Socket &socket, const std::string &what)
    {
        socket.setReceiveTimeout(Poco::Timespan(5, 0));
        const auto response = RouterHarness::readResponse(socket);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what + ": " + response.body, 200, response.status);
        CPPUNIT_ASSERT_MESSAGE(what, response.isComplete);
    }

public:
    void requestsAtTheLimitsAreServed()
    {
        DaemonLimits limits;
        limits.memoryMegabytes = 88;
        DaemonProcess daemon(limits);
        CPPUNIT_ASSERT_MESSAGE("the daemon does not start", daemon.waitUntilReady());
        const Poco::Net::SocketAddress address(daemon.address(CallerAddress::Requests));
        Socket idle(address);
        sendAll(idle, headWith("Content-Length: 5\r\n") + "hello");
        checkServed(idle, "before the idle time");
        const auto idleUntil = std::chrono::steady_clock::now() + IdleTime;

        const auto call = [&](const std::string &bytes, const std::string &what) {
            Socket socket(address);
            sendAll(socket, bytes);
            checkServed(socket, what);
        };
        call(headOfMaximumSize("a:\r\n"), "a head with thousands of fields");
        call(
            headOfMaximumSize("long: " + std::string(7'000, 'x') + "\r\n"), "a head of few fields");
        call(bodyWithLength(), "a body with a length");
        call(bodyInChunks(65'536), "a body in chunks");
        call(bodyInChunks(64), "a body in small chunks");

        Socket slow(address);
        sendAll(slow, "POST /unsafe/small HT");
        std::this_thread::sleep_for(SlowHeadTime);
        sendAll(slow, headWith("Content-Length: 5\r\n").substr(21) + "hello");
        checkServed(slow, "a slow head");

        std::this_thread::sleep_until(idleUntil);
        sendAll(idle, headWith("Content-Length: 5\r\n") + "hello");
        checkServed(idle, "after the idle time");
    }

    /// Guards against a process that uses more descriptors than its VM has, where the limit of the
    /// process itself is higher.
    void connectionsStayBelowTheSetting()
    {
        constexpr std::size_t MaxDescriptors = 400;
        DaemonLimits limits;
        limits.descriptors = 4 * MaxDescriptors;
        limits.vmSettings = fmt::format(R"(,"max_descriptors":{})", MaxDescriptors);
        DaemonProcess daemon(limits);
        CPPUNIT_ASSERT_MESSAGE("the daemon does not start", daemon.waitUntilReady());
        CallerCrowd crowd;
        const auto &kind = misbehaviour("connectionsOnly");
        crowd.add(daemon.address(CallerAddress::Requests), {}, kind.callers);
        crowd.add(daemon.address(CallerAddress::Entry), {}, kind.callers);
        crowd.run();
        CPPUNIT_ASSERT(daemon.openDescriptors() < MaxDescriptors - MaxDescriptors / 8);
        CPPUNIT_ASSERT(daemon.isServing(CallerAddress::Requests));
        CPPUNIT_ASSERT(daemon.isServing(CallerAddress::Entry));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerLimitsTest);

} // namespace Carawaykeel::Tests
