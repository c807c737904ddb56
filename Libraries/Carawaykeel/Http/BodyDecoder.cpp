#include <Carawaykeel/Http/BodyDecoder.h>

#include <Carawaykeel/Http/FieldLine.h>

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <iterator>

namespace Carawaykeel::Http {

namespace {

/// Maximum length of a chunk-size or trailer line. Both are far shorter in practice.
constexpr std::size_t MaxLineLength = 4'096;
constexpr int HexadecimalBase = 16;
constexpr int FirstFinalStatus = 200;

} // namespace

BodyDecoder::BodyDecoder(BodyFraming framing, std::uint64_t length)
    : m_framing(framing)
    , m_state(State::Content)
    , m_contentLength(length)
    , m_remainingBytes(length)
{
    if (framing == BodyFraming::Chunked)
        m_state = State::ChunkSize;
    if (framing == BodyFraming::None || (framing == BodyFraming::ContentLength && length == 0))
        m_state = State::Complete;
}

BodyDecoder BodyDecoder::forRequest(const Poco::Net::HTTPRequest &head)
{
    if (head.getChunkedTransferEncoding())
        return {BodyFraming::Chunked, 0};
    if (head.hasContentLength())
        return {BodyFraming::ContentLength, static_cast<std::uint64_t>(head.getContentLength64())};
    return {BodyFraming::None, 0};
}

BodyDecoder BodyDecoder::forResponse(
    const Poco::Net::HTTPResponse &head, const std::string &requestMethod)
{
    const auto status = head.getStatus();
    const bool hasNoBody = requestMethod == Poco::Net::HTTPRequest::HTTP_HEAD
        || status < FirstFinalStatus || status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT
        || status == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
    if (hasNoBody)
        return {BodyFraming::None, 0};
    if (head.getChunkedTransferEncoding())
        return {BodyFraming::Chunked, 0};
    if (head.hasContentLength())
        return {BodyFraming::ContentLength, static_cast<std::uint64_t>(head.getContentLength64())};
    return {BodyFraming::UntilClose, 0};
}

std::size_t BodyDecoder::decode(std::string_view bytes, std::string &out)
{
    std::size_t consumed = 0;
    while (consumed < bytes.size() && !isComplete() && !isMalformed()) {
        const auto rest = bytes.substr(consumed);
        const bool isContent = m_state == State::Content || m_state == State::ChunkData;
        consumed += isContent ? decodeContent(rest, out) : readLine(rest);
    }
    return consumed;
}

std::size_t BodyDecoder::decodeContent(std::string_view bytes, std::string &out)
{
    if (m_framing == BodyFraming::UntilClose) {
        out.append(bytes);
        return bytes.size();
    }
    const auto byteCount =
        static_cast<std::size_t>(std::min<std::uint64_t>(m_remainingBytes, bytes.size()));
    out.append(bytes.substr(0, byteCount));
    m_remainingBytes -= byteCount;
    if (m_remainingBytes == 0)
        m_state = m_state == State::Content ? State::Complete : State::ChunkEnd;
    return byteCount;
}

std::size_t BodyDecoder::readLine(std::string_view bytes)
{
    const auto end = bytes.find('\n');
    const auto byteCount = end == std::string_view::npos ? bytes.size() : end + 1;
    m_line.append(bytes.substr(0, byteCount));
    if (m_line.size() > MaxLineLength) {
        m_state = State::Malformed;
    } else if (end != std::string_view::npos) {
        finishLine();
    }
    return byteCount;
}

void BodyDecoder::finishLine()
{
    if (!m_line.ends_with("\r\n")) {
        m_state = State::Malformed;
        return;
    }
    m_line.resize(m_line.size() - 2);
    switch (m_state) {
    case State::ChunkEnd:
        m_state = m_line.empty() ? State::ChunkSize : State::Malformed;
        break;
    case State::ChunkSize:
        if (!tryParseChunkSize()) {
            m_state = State::Malformed;
        } else {
            m_state = m_remainingBytes == 0 ? State::Trailer : State::ChunkData;
        }
        break;
    default:
        if (m_line.empty()) {
            m_state = State::Complete;
        } else if (!isFieldLine(m_line)) {
            m_state = State::Malformed;
        }
        break;
    }
    m_line.clear();
}

bool BodyDecoder::tryParseChunkSize()
{
    const auto *begin = m_line.data();
    const auto *end = begin + std::min(m_line.find_first_of(" \t;"), m_line.size());
    const auto [stop, ec] = std::from_chars(begin, end, m_remainingBytes, HexadecimalBase);
    return ec == std::errc() && stop == end && begin != end;
}

void BodyDecoder::onConnectionClosed()
{
    if (!isComplete())
        m_state = m_framing == BodyFraming::UntilClose ? State::Complete : State::Malformed;
}

void appendChunk(std::string &out, std::string_view content)
{
    if (content.empty())
        return;
    fmt::format_to(std::back_inserter(out), "{:x}\r\n", content.size());
    out.append(content).append("\r\n");
}

} // namespace Carawaykeel::Http
