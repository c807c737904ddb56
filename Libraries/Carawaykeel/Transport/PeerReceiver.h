#pragma once

#include <Carawaykeel/Net/BufferedSocket.h>
#include <Carawaykeel/Transport/FrameReader.h>
#include <Carawaykeel/Transport/PeerConnectionPolicy.h>

#include <functional>
#include <optional>
#include <string_view>

namespace Carawaykeel::Transport {

/// Reads messages from one accepted connection until it ends or a malformed frame arrives. Used on
/// the reactor's thread.
class PeerReceiver : public Net::SocketHandler
{
public:
    /// Handles one message. Returns false if it is malformed; the connection is then closed.
    using MessageHandler = std::function<bool(std::string_view message)>;
    /// Called when the connection is closed, with a reason if the peer violated the protocol or a
    /// timeout. The receiver must not be destroyed within the call.
    using ClosedHandler = std::function<void(PeerReceiver &receiver, std::string_view violation)>;

    /// The reactor and the policy must outlive the receiver.
    PeerReceiver(Net::Reactor &reactor, const Poco::Net::StreamSocket &stream,
        const PeerConnectionPolicy &policy, std::size_t frameLimit, MessageHandler onMessage,
        ClosedHandler onClosed);

    /// Closes the connection if no message arrives for too long or one takes too long to arrive.
    void checkTimeouts();

    /// Number of bytes that the receive buffer occupies.
    std::size_t bufferedBytes() const { return m_frames.capacity(); }

    void onReady(Net::Readiness readiness) override;
    void onFailure() override { close("a message could not be handled"); }

private:
    void readMessages();
    void close(std::string_view violation);

    Net::Reactor &m_reactor;
    const PeerConnectionPolicy &m_policy;
    const MessageHandler m_onMessage;
    const ClosedHandler m_onClosed;
    FrameReader m_frames;
    Net::BufferedSocket m_socket;
    Base::Milliseconds m_lastMessageAt;
    /// When the message that is not complete yet began to arrive.
    std::optional<Base::Milliseconds> m_partialSince;
};

} // namespace Carawaykeel::Transport
