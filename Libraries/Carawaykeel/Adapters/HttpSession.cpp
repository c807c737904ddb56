#include <Carawaykeel/Adapters/HttpSession.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <utility>

namespace Carawaykeel::Adapters {

namespace {

constexpr int MicrosecondsPerMillisecond = 1'000;

} // namespace

HttpSession::HttpSession(std::string address)
    : m_address(std::move(address))
{
}

std::optional<HttpReply> HttpSession::tryExchange(
    Poco::Net::HTTPRequest &request, const std::string &body, Base::Milliseconds timeout)
{
    try {
        if (!m_session) {
            m_session =
                std::make_unique<Poco::Net::HTTPClientSession>(Poco::Net::SocketAddress(m_address));
            m_session->setKeepAlive(true);
        }
        m_session->setTimeout(Poco::Timespan(timeout.count() * MicrosecondsPerMillisecond));
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        m_session->sendRequest(request) << body << std::flush;
        Poco::Net::HTTPResponse response;
        auto &stream = m_session->receiveResponse(response);
        HttpReply reply;
        Poco::StreamCopier::copyToString64(stream, reply.body);
        reply.status = response.getStatus();
        const bool isComplete = !response.hasContentLength()
            || reply.body.size() == static_cast<std::size_t>(response.getContentLength64());
        if (isComplete)
            return reply;
    } catch (const Poco::Exception &) {
        // The calling code counts failed exchanges.
    }
    // The late response may still arrive on this connection, so it is not reused.
    m_session.reset();
    return std::nullopt;
}

} // namespace Carawaykeel::Adapters
