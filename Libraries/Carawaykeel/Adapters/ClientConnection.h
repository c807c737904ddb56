#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Http/BodyDecoder.h>
#include <Carawaykeel/Http/HeadParser.h>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/StreamSocket.h>
#include <cstddef>
#include <istream>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Carawaykeel::Adapters {

/// A blocking HTTP connection of a client. Carries one exchange at a time. Responses are read with
/// the same strictness as those of backend servers in the event loop; the sessions of the library
/// accept any status and field name, and a chunked body that broke off.
class ClientConnection
{
public:
    /// Maximum length of a response head, in bytes.
    static constexpr std::size_t MaxHeadBytes = 65'536;

    /// Connects to an IP number and a port. `timeout` applies to each read and write. Throws
    /// Poco::Exception if the peer cannot be reached.
    ClientConnection(
        const std::string &address, Base::Milliseconds connectTimeout, Base::Milliseconds timeout);
    ~ClientConnection();

    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    void setTimeout(Base::Milliseconds timeout);

    /// Sends a request; adds its host and length. A peer that responds early may stop reading, so a
    /// failure to send is reported only if no response can be read.
    void sendRequest(Poco::Net::HTTPRequest &request, std::string_view body);

    /// Returns the head of the final response. Throws Poco::Exception if it is missing or
    /// malformed.
    Http::ResponseHead readHead();

    /// The content of the body, which ends early if the body is malformed or breaks off. Call after
    /// readHead(), like the functions below.
    std::istream &body() { return *m_body; }

    bool isBodyComplete() const { return m_decoder->isComplete(); }
    bool isBodyMalformed() const { return m_decoder->isMalformed(); }
    /// False for a body that ends with its connection.
    bool hasBodyLength() const { return m_decoder->framing() != Http::BodyFraming::UntilClose; }

    /// True if another request can be sent: the response is complete, and nothing follows it.
    bool isReusable() const;

private:
    class BodyBuffer;

    std::string readHeadText();
    bool receive();
    std::size_t readBody(std::span<char> buf);
    void onEndOfStream();

    const std::string m_address;
    Poco::Net::StreamSocket m_socket;
    std::string m_method;
    std::string m_received;
    bool m_isKeptAlive = false;
    std::optional<Http::BodyDecoder> m_decoder;
    std::unique_ptr<BodyBuffer> m_bodyBuffer;
    std::unique_ptr<std::istream> m_body;
    bool m_hasSendFailed = false;
};

} // namespace Carawaykeel::Adapters
