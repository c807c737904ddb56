#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Carawaykeel::Transport {

/// Size of the header before each message on a connection between instances. The header is the
/// message's length in little-endian byte order.
inline constexpr std::size_t FrameHeaderLength = 4;

/// Returns the header for a message of this length.
std::string encodeFrameHeader(std::size_t length);

/// Splits the bytes of a connection into messages.
class FrameReader
{
public:
    /// `frameLimit` is the maximum length of a message.
    explicit FrameReader(std::size_t frameLimit)
        : m_frameLimit(frameLimit)
    {
    }

    /// The buffer that received bytes are appended to.
    std::string &buffer() { return m_buffer; }

    std::size_t capacity() const { return m_buffer.capacity(); }

    /// Returns the next complete message, which is valid until the next call. Returns nothing if
    /// more bytes are needed or the frame is too long.
    std::optional<std::string_view> next();

    /// True if a header announced a message over the limit; nothing can be read after it.
    bool isOverLimit() const { return m_isOverLimit; }
    /// True if a part of a message is waiting for the rest of it.
    bool hasPartialFrame() const { return m_buffer.size() > m_consumedBytes; }

private:
    const std::size_t m_frameLimit;
    std::string m_buffer;
    /// Bytes at the front of the buffer that were returned as messages.
    std::size_t m_consumedBytes = 0;
    bool m_isOverLimit = false;
};

} // namespace Carawaykeel::Transport
