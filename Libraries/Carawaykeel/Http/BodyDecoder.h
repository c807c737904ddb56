#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Carawaykeel::Http {

/// How a message says where its body ends.
enum class BodyFraming { None, ContentLength, Chunked, UntilClose };

/// Takes a body out of the bytes of a connection, exactly: it never reads past the body's end.
class BodyDecoder
{
public:
    static BodyDecoder forRequest(const Poco::Net::HTTPRequest &head);
    static BodyDecoder forResponse(
        const Poco::Net::HTTPResponse &head, const std::string &requestMethod);

    /// Takes what belongs to the body, appends its content to out, and answers how many bytes were
    /// taken.
    std::size_t decode(std::string_view bytes, std::string &out);

    /// The connection has ended in order. Only a body without any framing is complete with that.
    void onConnectionClosed();

    bool isComplete() const { return m_state == State::Complete; }
    bool isMalformed() const { return m_state == State::Broken; }
    BodyFraming framing() const { return m_framing; }
    /// Length of the body, where the framing is Length.
    std::uint64_t contentLength() const { return m_length; }

private:
    enum class State { Content, ChunkSize, ChunkData, ChunkEnd, Trailer, Complete, Broken };

    BodyDecoder(BodyFraming framing, std::uint64_t length);

    std::size_t takeContent(std::string_view bytes, std::string &out);
    std::size_t takeLine(std::string_view bytes);
    void finishLine();
    bool readChunkSize();

    BodyFraming m_framing;
    State m_state;
    std::uint64_t m_length;
    /// Bytes left of the body or of the present chunk.
    std::uint64_t m_left;
    std::string m_line;
};

/// Appends one chunk; an empty one would end the body, so nothing is appended for it.
void appendChunk(std::string &out, std::string_view content);

/// What ends a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace Carawaykeel::Http
