#pragma once

#include <Carawaykeel/Adapters/ClientConnection.h>
#include <Carawaykeel/Base/Milliseconds.h>

#include <Poco/Net/HTTPRequest.h>
#include <memory>
#include <optional>
#include <string>

namespace Carawaykeel::Adapters {

/// A complete reply.
struct HttpReply
{
    int status = 0;
    std::string body;
};

/// Makes blocking calls over one connection, which is reused as long as every reply is complete and
/// in time.
class HttpSession
{
public:
    /// `address` is an IP number and a port.
    explicit HttpSession(std::string address);

    /// Sends the request and reads its reply; the timeout applies to each step. The result is empty
    /// if no complete reply arrived; the call may then still have taken effect.
    std::optional<HttpReply> tryExchange(
        Poco::Net::HTTPRequest &request, const std::string &body, Base::Milliseconds timeout);

private:
    std::string m_address;
    std::unique_ptr<ClientConnection> m_connection;
};

} // namespace Carawaykeel::Adapters
