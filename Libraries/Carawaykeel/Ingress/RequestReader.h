#pragma once

#include <Carawaykeel/Forwarding/RouterConfiguration.h>
#include <Carawaykeel/Http/BodyDecoder.h>
#include <Carawaykeel/Http/HeadParser.h>
#include <Carawaykeel/Ingress/BufferAccount.h>

#include <optional>
#include <string>

namespace Carawaykeel::Ingress {

/// Reads the requests of one connection one after the other and accounts for what they occupy.
/// Before a byte of a body is kept, the account has admitted its whole length.
class RequestReader
{
public:
    enum class Step {
        /// Nothing more can be read from what was received.
        NeedsBytes,
        /// The head is read; the body follows once it is admitted.
        HeadRead,
        Complete,
        /// The request must be rejected with failure().
        Failed,
    };

    /// The owner must outlive the reader. `peer` is the caller's address without port.
    RequestReader(BufferAccount &buffers, BufferOwner &owner, std::string peer);

    /// Bytes that were received and not read yet. Append what arrives.
    std::string &received() { return m_received; }
    /// True if nothing of a request was received.
    bool isEmpty() const { return m_received.empty() && !m_head; }
    bool hasHead() const { return m_head != nullptr; }
    const Poco::Net::HTTPRequest &head() const { return *m_head; }
    Base::ErrorKind failure() const { return m_failure; }

    /// Returns how many more bytes may be received: a head of maximum length, or any part of a
    /// body.
    std::size_t allowance(const Forwarding::CallerLimits &limits) const;

    /// Reads a head.
    Step readHead(const Forwarding::CallerLimits &limits);
    /// Reserves the whole body of a known length. Returns false if the account does not admit it.
    bool tryReserveBody();
    /// Reads a part of the body of the request whose head was read.
    Step readBody(const Forwarding::CallerLimits &limits);
    /// Drops the body if all of it was received. Returns false if more of it is to come.
    bool trySkipBody();

    Http::RequestHead takeHead() { return std::move(m_head); }
    std::string takeBody() { return std::move(m_body); }

    /// Drops everything that was received.
    void clear();

    /// Tells the account what the request occupies.
    void updateBuffer(bool isOpen);

private:
    Step fail(Base::ErrorKind kind);
    /// Makes room for a part of a body of unknown length.
    bool tryGrowBody(const Forwarding::CallerLimits &limits);

    BufferAccount &m_buffers;
    HeldBuffer m_buffer;
    std::string m_received;
    Http::RequestHead m_head;
    std::size_t m_headBytes = 0;
    std::optional<Http::BodyDecoder> m_decoder;
    std::string m_body;
    std::size_t m_bytesAtProgress = 0;
    Base::ErrorKind m_failure{};
};

} // namespace Carawaykeel::Ingress
