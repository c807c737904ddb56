#include <Support/ScriptedServer.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/String.h>
#include <Poco/Timespan.h>
#include <array>
#include <sstream>
#include <utility>

namespace Carawaykeel::Tests {

namespace {

/// A waiting thread checks this often whether the server is being stopped.
const Poco::Timespan PollInterval(0, 20'000);

/// Keeps an upload that is not read in the sender's buffers.
constexpr int SmallReceiveBuffer = 4'096;

/// Reads the bytes that arrive within PollInterval, if any. Returns false if the peer has closed
/// the connection.
bool tryRead(Poco::Net::StreamSocket &connection, std::string &buf)
{
    if (!connection.poll(PollInterval, Poco::Net::Socket::SELECT_READ))
        return true;
    std::array<char, 16'384> bytes{};
    const int n = connection.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
    if (n <= 0)
        return false;
    buf.append(bytes.data(), static_cast<std::size_t>(n));
    return true;
}

} // namespace

std::string ReceivedRequest::field(const std::string &name) const
{
    std::istringstream lines(head);
    std::string line;
    while (std::getline(lines, line)) {
        const auto colon = line.find(':');
        if (colon != std::string::npos && Poco::icompare(line.substr(0, colon), name) == 0)
            return Poco::trim(line.substr(colon + 1));
    }
    return {};
}

ScriptedServer::ScriptedServer(Script script, Reading reading)
    : m_script(std::move(script))
    , m_reading(reading)
    , m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
    , m_address(m_socket.address().toString())
{
    // Connections inherit the buffer's size.
    if (m_reading == Reading::HeadOnly)
        m_socket.setReceiveBufferSize(SmallReceiveBuffer);
    m_thread = std::thread([this] { accept(); });
}

ScriptedServer::~ScriptedServer()
{
    m_isStopping = true;
    m_thread.join();
    for (auto &connection : m_connectionThreads)
        connection.join();
}

std::vector<ReceivedRequest> ScriptedServer::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

void ScriptedServer::accept()
{
    while (!m_isStopping && !m_isCrashing) {
        if (m_socket.poll(PollInterval, Poco::Net::Socket::SELECT_READ)) {
            m_connectionThreads.emplace_back(
                [this, connection = m_socket.acceptConnection()] { serve(connection); });
        }
    }
    m_socket.close();
    m_hasCrashed = m_isCrashing.load();
}

bool ScriptedServer::receive(
    Poco::Net::StreamSocket &connection, std::string &buf, ReceivedRequest &request)
{
    while (!m_isStopping) {
        const auto end = buf.find("\r\n\r\n");
        if (end != std::string::npos) {
            request.head = buf.substr(0, end);
            if (m_reading == Reading::HeadOnly)
                return true;
            const auto length = request.field("Content-Length");
            const auto size = length.empty() ? 0 : std::stoul(length);
            if (buf.size() >= end + 4 + size) {
                request.body = buf.substr(end + 4, size);
                buf.erase(0, end + 4 + size);
                return true;
            }
        }
        if (!tryRead(connection, buf))
            return false;
    }
    return false;
}

void ScriptedServer::serve(Poco::Net::StreamSocket connection)
{
    try {
        std::string buf;
        ReceivedRequest request;
        while (receive(connection, buf, request)) {
            int number = 0;
            {
                const std::lock_guard lock(m_mutex);
                m_requests.push_back(request);
                number = static_cast<int>(m_requests.size());
            }
            const auto response = m_script(request, number);
            if (!response.bytes.empty()) {
                connection.sendBytes(
                    response.bytes.data(), static_cast<int>(response.bytes.size()));
            }
            if (response.then == ScriptedResponse::Then::Crash) {
                m_isCrashing = true;
                while (!m_hasCrashed && !m_isStopping)
                    std::this_thread::sleep_for(std::chrono::milliseconds(1));
                connection.setLinger(true, 0);
            }
            std::this_thread::sleep_for(response.pause);
            if (response.then == ScriptedResponse::Then::Hang) {
                while (!m_isStopping && tryRead(connection, buf)) { }
                m_peerCloseCount += m_isStopping ? 0 : 1;
            }
            while (response.then == ScriptedResponse::Then::Flood && !m_isStopping) {
                connection.sendBytes(
                    response.floodBytes.data(), static_cast<int>(response.floodBytes.size()));
                // Limits the rate to about 60 MB/s, so that a router with unbounded buffers does
                // not exhaust the memory of the machine.
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
            if (response.then != ScriptedResponse::Then::Keep)
                return endConnection(connection, response);
        }
    } catch (const Poco::Exception &) {
        m_peerCloseCount += 1;
    }
}

void ScriptedServer::endConnection(
    Poco::Net::StreamSocket &connection, const ScriptedResponse &response)
{
    using Then = ScriptedResponse::Then;
    if (response.then == Then::HalfClose || response.then == Then::HalfCloseThenReset)
        connection.shutdownSend();
    if (response.then == Then::Reset || response.then == Then::HalfCloseThenReset)
        connection.setLinger(true, 0);
    while (response.then == Then::HalfClose && !m_isStopping
        && !connection.poll(PollInterval, Poco::Net::Socket::SELECT_ERROR)) { }
    connection.close();
}

} // namespace Carawaykeel::Tests
