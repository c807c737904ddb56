#include <Carawaykeel/Transport/FrameReader.h>

namespace Carawaykeel::Transport {

namespace {

constexpr unsigned BitsPerByte = 8;

std::size_t decodeFrameHeader(std::string_view header)
{
    std::size_t length = 0;
    for (std::size_t n = 0; n < FrameHeaderLength; ++n) {
        length |= static_cast<std::size_t>(static_cast<unsigned char>(header.at(n)))
            << (n * BitsPerByte);
    }
    return length;
}

} // namespace

std::string encodeFrameHeader(std::size_t length)
{
    std::string header;
    for (std::size_t n = 0; n < FrameHeaderLength; ++n)
        header.push_back(static_cast<char>(length >> (n * BitsPerByte)));
    return header;
}

std::optional<std::string_view> FrameReader::next()
{
    const auto unread = std::string_view(m_buffer).substr(m_consumedBytes);
    if (!m_isOverLimit && unread.size() >= FrameHeaderLength) {
        const auto length = decodeFrameHeader(unread.substr(0, FrameHeaderLength));
        m_isOverLimit = length > m_frameLimit;
        if (!m_isOverLimit && unread.size() - FrameHeaderLength >= length) {
            m_consumedBytes += FrameHeaderLength + length;
            return unread.substr(FrameHeaderLength, length);
        }
    }
    m_buffer.erase(0, m_consumedBytes);
    m_consumedBytes = 0;
    return std::nullopt;
}

} // namespace Carawaykeel::Transport
