#include <Carawaykeel/Http/BodyDecoder.h>

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <iterator>

namespace Carawaykeel::Http {

namespace {

/// Longest line of chunk size or trailer. Both are far shorter in practice.
constexpr std::size_t LongestLine = 4'096;
constexpr int HexadecimalBase = 16;
constexpr int FirstFinalStatus = 200;

} // namespace

BodyDecoder::BodyDecoder(BodyFraming framing, std::uint64_t length)
    : m_framing(framing)
    , m_state(State::Content)
    , m_length(length)
    , m_left(length)
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
    std::size_t taken = 0;
    while (taken < bytes.size() && !isComplete() && !isMalformed()) {
        const auto rest = bytes.substr(taken);
        const bool isContent = m_state == State::Content || m_state == State::ChunkData;
        taken += isContent ? takeContent(rest, out) : takeLine(rest);
    }
    return taken;
}

std::size_t BodyDecoder::takeContent(std::string_view bytes, std::string &out)
{
    if (m_framing == BodyFraming::UntilClose) {
        out.append(bytes);
        return bytes.size();
    }
    const auto n = static_cast<std::size_t>(std::min<std::uint64_t>(m_left, bytes.size()));
    out.append(bytes.substr(0, n));
    m_left -= n;
    if (m_left == 0)
        m_state = m_state == State::Content ? State::Complete : State::ChunkEnd;
    return n;
}

std::size_t BodyDecoder::takeLine(std::string_view bytes)
{
    const auto end = bytes.find('\n');
    const auto n = end == std::string_view::npos ? bytes.size() : end + 1;
    m_line.append(bytes.substr(0, n));
    if (m_line.size() > LongestLine) {
        m_state = State::Broken;
    } else if (end != std::string_view::npos) {
        finishLine();
    }
    return n;
}

void BodyDecoder::finishLine()
{
    if (!m_line.ends_with("\r\n")) {
        m_state = State::Broken;
        return;
    }
    m_line.resize(m_line.size() - 2);
    switch (m_state) {
    case State::ChunkEnd:
        m_state = m_line.empty() ? State::ChunkSize : State::Broken;
        break;
    case State::ChunkSize:
        if (!readChunkSize()) {
            m_state = State::Broken;
        } else {
            m_state = m_left == 0 ? State::Trailer : State::ChunkData;
        }
        break;
    default:
        if (m_line.empty())
            m_state = State::Complete;
        break;
    }
    m_line.clear();
}

bool BodyDecoder::readChunkSize()
{
    const auto *begin = m_line.data();
    const auto *end = begin + std::min(m_line.find_first_of(" \t;"), m_line.size());
    const auto [stop, ec] = std::from_chars(begin, end, m_left, HexadecimalBase);
    return ec == std::errc() && stop == end && begin != end;
}

void BodyDecoder::onConnectionClosed()
{
    if (!isComplete())
        m_state = m_framing == BodyFraming::UntilClose ? State::Complete : State::Broken;
}

void appendChunk(std::string &out, std::string_view content)
{
    if (content.empty())
        return;
    fmt::format_to(std::back_inserter(out), "{:x}\r\n", content.size());
    out.append(content).append("\r\n");
}

} // namespace Carawaykeel::Http
