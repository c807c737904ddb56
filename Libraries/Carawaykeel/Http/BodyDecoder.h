#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Carawaykeel::Http {

/// How the end of a message body is determined.
enum class BodyFraming { None, ContentLength, Chunked, UntilClose };

/// Decodes a message body from the bytes of a connection. Never consumes bytes past the body's end.
class BodyDecoder
{
public:
    static BodyDecoder forRequest(const Poco::Net::HTTPRequest &head);
    static BodyDecoder forResponse(
        const Poco::Net::HTTPResponse &head, const std::string &requestMethod);

    /// Consumes the bytes that belong to the body and appends the decoded content to `out`. Returns
    /// the number of bytes consumed.
    std::size_t decode(std::string_view bytes, std::string &out);

    /// Call when the peer has closed the connection in an orderly way. This completes a body with
    /// BodyFraming::UntilClose; any other incomplete body is then malformed.
    void onConnectionClosed();

    bool isComplete() const { return m_state == State::Complete; }
    bool isMalformed() const { return m_state == State::Malformed; }
    BodyFraming framing() const { return m_framing; }
    /// Value of Content-Length; 0 with any other framing.
    std::uint64_t contentLength() const { return m_contentLength; }

private:
    enum class State { Content, ChunkSize, ChunkData, ChunkEnd, Trailer, Complete, Malformed };

    BodyDecoder(BodyFraming framing, std::uint64_t length);

    std::size_t decodeContent(std::string_view bytes, std::string &out);
    std::size_t readLine(std::string_view bytes);
    void finishLine();
    bool tryParseChunkSize();

    BodyFraming m_framing;
    State m_state;
    std::uint64_t m_contentLength;
    /// Remaining bytes of the body or of the current chunk.
    std::uint64_t m_remainingBytes;
    std::string m_line;
};

/// Appends `content` as one chunk. Appends nothing for empty content, because a chunk of length 0
/// would end the body.
void appendChunk(std::string &out, std::string_view content);

/// Last chunk and empty trailer section, which end a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace Carawaykeel::Http
