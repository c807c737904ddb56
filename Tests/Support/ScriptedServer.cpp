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

/// How often a waiting thread looks whether the test has ended.
const Poco::Timespan Look(0, 20'000);

/// Reads once. Answers false when the connection has ended; nothing may have come.
bool readSome(Poco::Net::StreamSocket &connection, std::string &buf)
{
    if (!connection.poll(Look, Poco::Net::Socket::SELECT_READ))
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

ScriptedServer::ScriptedServer(Script script)
    : m_script(std::move(script))
    , m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
    , m_thread([this] { accept(); })
{
}

ScriptedServer::~ScriptedServer()
{
    m_isStopping = true;
    m_thread.join();
    for (auto &connection : m_connections)
        connection.join();
}

std::vector<ReceivedRequest> ScriptedServer::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

void ScriptedServer::accept()
{
    while (!m_isStopping) {
        if (m_socket.poll(Look, Poco::Net::Socket::SELECT_READ)) {
            m_connections.emplace_back(
                [this, connection = m_socket.acceptConnection()] { serve(connection); });
        }
    }
}

bool ScriptedServer::receive(
    Poco::Net::StreamSocket &connection, std::string &buf, ReceivedRequest &request)
{
    while (!m_isStopping) {
        const auto end = buf.find("\r\n\r\n");
        if (end != std::string::npos) {
            request.head = buf.substr(0, end);
            const auto length = request.field("Content-Length");
            const auto size = length.empty() ? 0 : std::stoul(length);
            if (buf.size() >= end + 4 + size) {
                request.body = buf.substr(end + 4, size);
                buf.erase(0, end + 4 + size);
                return true;
            }
        }
        if (!readSome(connection, buf))
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
            const auto reply = m_script(request, number);
            if (!reply.bytes.empty()) {
                connection.sendBytes(reply.bytes.data(), static_cast<int>(reply.bytes.size()));
            }
            if (reply.then == ScriptedResponse::Then::Reset)
                connection.setLinger(true, 0);
            if (reply.then == ScriptedResponse::Then::Hang) {
                while (!m_isStopping && readSome(connection, buf)) { }
                m_peerCloseCount += m_isStopping ? 0 : 1;
            }
            while (reply.then == ScriptedResponse::Then::Flood && !m_isStopping) {
                connection.sendBytes(reply.filling.data(), static_cast<int>(reply.filling.size()));
                // Some 60 MB a second, so that a router without a bound does not fill the machine.
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
            if (reply.then != ScriptedResponse::Then::Keep)
                return connection.close();
        }
    } catch (const Poco::Exception &) {
        m_peerCloseCount += 1;
    }
}

} // namespace Carawaykeel::Tests
