#include <Carawaykeel/Adapters/HttpSession.h>

#include <Poco/Exception.h>
#include <Poco/StreamCopier.h>
#include <utility>

namespace Carawaykeel::Adapters {

HttpSession::HttpSession(std::string address)
    : m_address(std::move(address))
{
}

std::optional<HttpReply> HttpSession::tryExchange(
    Poco::Net::HTTPRequest &request, const std::string &body, Base::Milliseconds timeout)
{
    try {
        if (!m_connection || !m_connection->isReusable())
            m_connection = std::make_unique<ClientConnection>(m_address, timeout, timeout);
        m_connection->setTimeout(timeout);
        m_connection->sendRequest(request, body);
        const auto head = m_connection->readHead();
        HttpReply reply;
        Poco::StreamCopier::copyToString64(m_connection->body(), reply.body);
        reply.status = head->getStatus();
        if (m_connection->isBodyComplete())
            return reply;
    } catch (const Poco::Exception &) {
        // The calling code counts failed exchanges.
    }
    // The late response may still arrive on this connection, so it is not reused.
    m_connection.reset();
    return std::nullopt;
}

} // namespace Carawaykeel::Adapters
