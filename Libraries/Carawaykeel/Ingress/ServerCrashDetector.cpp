#include <Carawaykeel/Ingress/ServerCrashDetector.h>

#include <Carawaykeel/Net/BufferedSocket.h>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <utility>
#include <vector>

namespace Carawaykeel::Ingress {

/// One connection attempt.
class ServerCrashDetector::Probe : public Net::SocketHandler,
                                   public std::enable_shared_from_this<Probe>
{
public:
    Probe(Net::Reactor &reactor, std::function<void(bool wasRefused)> onEnded)
        : m_reactor(reactor)
        , m_onEnded(std::move(onEnded))
    {
    }

    void start(const std::string &address)
    {
        try {
            Poco::Net::StreamSocket socket;
            socket.connectNB(Poco::Net::SocketAddress(address));
            m_socket = std::make_unique<Net::BufferedSocket>(m_reactor, socket, *this);
            m_socket->setConnecting();
        } catch (const Poco::Net::ConnectionRefusedException &) {
            return endLater(true, Base::Milliseconds());
        } catch (const Poco::Exception &) {
            // The address is unusable or unreachable, which does not show a crash.
            return endLater(false, Base::Milliseconds());
        }
        endLater(false, ProbeTimeout);
    }

    void onReady(Net::Readiness readiness) override
    {
        if (readiness.canWrite || readiness.hasError)
            end(!m_socket->tryFinishConnecting());
    }

    void onFailure() override { end(false); }

private:
    void endLater(bool wasRefused, Base::Milliseconds delay)
    {
        m_reactor.schedule(delay, [weak = weak_from_this(), wasRefused] {
            if (const auto self = weak.lock())
                self->end(wasRefused);
        });
    }

    void end(bool wasRefused)
    {
        const auto self = shared_from_this();
        if (m_socket)
            m_socket->close();
        if (const auto onEnded = std::exchange(m_onEnded, nullptr))
            onEnded(wasRefused);
    }

    Net::Reactor &m_reactor;
    std::function<void(bool)> m_onEnded;
    std::unique_ptr<Net::BufferedSocket> m_socket;
};

ServerCrashDetector::ServerCrashDetector(Net::Reactor &reactor, Callback onServerCrashed)
    : m_reactor(reactor)
    , m_onServerCrashed(std::move(onServerCrashed))
{
}

ServerCrashDetector::~ServerCrashDetector() = default;

void ServerCrashDetector::onConnectionLost(const Base::ServerName &server,
    const std::string &address, std::span<const std::uint64_t> promptParts)
{
    if (promptParts.empty())
        return;
    auto &lost = m_lostRequests[server];
    lost.promptParts.insert(promptParts.begin(), promptParts.end());
    if (lost.probe)
        return;
    lost.probe = std::make_shared<Probe>(
        m_reactor, [this, server](bool wasRefused) { onProbeEnded(server, wasRefused); });
    lost.probe->start(address);
}

void ServerCrashDetector::onProbeEnded(const Base::ServerName &server, bool wasRefused)
{
    auto node = m_lostRequests.extract(server);
    if (!wasRefused || node.empty())
        return;
    const auto &parts = node.mapped().promptParts;
    m_onServerCrashed(server, std::vector<std::uint64_t>(parts.begin(), parts.end()));
}

} // namespace Carawaykeel::Ingress
