#include <Carawaykeel/Ingress/RequestReader.h>

#include <Carawaykeel/Net/BufferedSocket.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Ingress {

namespace {

/// An empty buffer of more bytes is freed.
constexpr std::size_t MaxIdleBufferBytes = 4'096;
/// A parsed head of more bytes needs the account's consent. Ordinary heads have a few kilobytes.
constexpr std::size_t SmallHeadBytes = 16'384;
/// A caller makes progress when it has sent this much, or this part of a body of known length.
constexpr std::size_t MinProgressBytes = 2'048;
constexpr std::uint64_t ProgressDivisor = 256;
/// A chunked body grows by a part of its size instead of doubling.
constexpr std::size_t GrowthDivisor = 4;

} // namespace

RequestReader::RequestReader(BufferAccount &buffers, BufferOwner &owner, std::string peer)
    : m_buffers(buffers)
    , m_buffer(buffers, BufferKind::Request, &owner)
{
    m_buffer.setSource(std::move(peer));
}

std::size_t RequestReader::allowance(const Forwarding::CallerLimits &limits) const
{
    if (m_head)
        return Net::BufferedSocket::MaxReadBytes;
    return limits.headerBytes - std::min(limits.headerBytes, m_received.size());
}

RequestReader::Step RequestReader::fail(Base::ErrorKind kind)
{
    m_failure = kind;
    return Step::Failed;
}

RequestReader::Step RequestReader::readHead(const Forwarding::CallerLimits &limits)
{
    const auto end = Http::findHeadEnd(m_received);
    if (end.value_or(m_received.size()) > limits.headerBytes)
        return fail(Base::ErrorKind::HeadersTooLarge);
    if (!end) {
        // The allowance is used up, so the end of the head would lie beyond the limit.
        return m_received.size() >= limits.headerBytes ? fail(Base::ErrorKind::HeadersTooLarge)
                                                       : Step::NeedsBytes;
    }
    const auto text = std::string_view(m_received).substr(0, *end);
    const auto parsedBytes = Http::estimateParsedBytes(text);
    if (parsedBytes > SmallHeadBytes && !m_buffers.tryAdmit(parsedBytes, m_buffer))
        return fail(Base::ErrorKind::MemoryFull);
    auto outcome =
        Base::toOutcome<Http::RequestHead>([&] { return Http::tryParseRequestHead(text); });
    m_received.erase(0, *end);
    auto *head = std::get_if<Http::RequestHead>(&outcome);
    if (!head)
        return fail(Base::ErrorKind::MalformedRequest);
    m_head = std::move(*head);
    m_headBytes = parsedBytes;
    m_decoder = Http::BodyDecoder::forRequest(*m_head);
    m_body = {};
    m_bytesAtProgress = 0;
    m_buffer.noteProgress();
    if (m_decoder->contentLength() > limits.bodyBytes)
        return fail(Base::ErrorKind::BodyTooLarge);
    return m_decoder->isComplete() ? Step::Complete : Step::HeadRead;
}

bool RequestReader::tryReserveBody()
{
    const auto length = static_cast<std::size_t>(m_decoder->contentLength());
    if (!m_buffers.tryAdmit(length, m_buffer))
        return false;
    m_body.reserve(length);
    return true;
}

bool RequestReader::tryGrowBody(const Forwarding::CallerLimits &limits)
{
    const auto needed = std::min(m_body.size() + m_received.size(), limits.bodyBytes);
    if (needed <= m_body.capacity())
        return true;
    const auto capacity = needed + needed / GrowthDivisor;
    if (!m_buffers.tryAdmit(capacity - m_body.size(), m_buffer))
        return false;
    // A new string gets the exact capacity; one that grows doubles it.
    std::string larger;
    larger.reserve(capacity);
    larger.append(m_body);
    m_body.swap(larger);
    return true;
}

RequestReader::Step RequestReader::readBody(const Forwarding::CallerLimits &limits)
{
    if (m_decoder->framing() == Http::BodyFraming::Chunked && !tryGrowBody(limits))
        return fail(Base::ErrorKind::MemoryFull);
    m_received.erase(0, m_decoder->decode(m_received, m_body));
    if (m_decoder->isMalformed())
        return fail(Base::ErrorKind::MalformedRequest);
    if (m_body.size() > limits.bodyBytes)
        return fail(Base::ErrorKind::BodyTooLarge);
    const auto fairPart =
        std::max<std::uint64_t>(MinProgressBytes, m_decoder->contentLength() / ProgressDivisor);
    if (m_body.size() - m_bytesAtProgress >= fairPart) {
        m_bytesAtProgress = m_body.size();
        m_buffer.noteProgress();
    }
    return m_decoder->isComplete() ? Step::Complete : Step::NeedsBytes;
}

bool RequestReader::trySkipBody()
{
    const bool isReceived = m_decoder->framing() == Http::BodyFraming::ContentLength
        && m_decoder->contentLength() <= m_received.size();
    if (isReceived)
        m_received.erase(0, static_cast<std::size_t>(m_decoder->contentLength()));
    return isReceived;
}

void RequestReader::clear()
{
    m_received = {};
    m_head.reset();
    m_body = {};
}

void RequestReader::updateBuffer(bool isOpen)
{
    if (m_received.empty() && m_received.capacity() > MaxIdleBufferBytes)
        m_received = {};
    if (!isOpen)
        return m_buffer.set(0);
    m_buffer.set(m_received.capacity() + m_body.capacity() + (m_head ? m_headBytes : 0));
}

} // namespace Carawaykeel::Ingress
