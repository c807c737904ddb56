#include <Carawaykeel/Net/Listener.h>

#include <Carawaykeel/Net/ExclusiveListener.h>

#include <Poco/Exception.h>
#include <cerrno>
#include <utility>

namespace Carawaykeel::Net {

namespace {

constexpr int Backlog = 1'024;
/// Maximum connections accepted per event, so that a burst of connections does not delay other
/// sockets.
constexpr int AcceptsPerEvent = 32;
/// Without a free descriptor, a waiting connection would wake the reactor up all the time.
constexpr Base::Milliseconds PauseTime{50};

} // namespace

Listener::Listener(Reactor &reactor, const std::string &address, AcceptCallback onAccept)
    : m_reactor(reactor)
    , m_socket(makeExclusiveListener(Poco::Net::SocketAddress(address), Backlog))
    , m_onAccept(std::move(onAccept))
    , m_lifetime(std::make_shared<char>())
{
    m_socket.setBlocking(false);
    m_reactor.watch(m_socket, *this, true, false);
}

Listener::~Listener()
{
    close();
}

void Listener::close()
{
    if (!std::exchange(m_isOpen, false))
        return;
    m_reactor.unwatch(m_socket);
    m_socket.close();
}

void Listener::pause()
{
    m_reactor.unwatch(m_socket);
    m_reactor.schedule(PauseTime, [this, weak = std::weak_ptr(m_lifetime)] {
        if (!weak.expired() && m_isOpen)
            m_reactor.watch(m_socket, *this, true, false);
    });
}

void Listener::onReady(Readiness)
{
    for (int n = 0; n < AcceptsPerEvent && m_isOpen; ++n) {
        Poco::Net::StreamSocket connection;
        try {
            connection = m_socket.acceptConnection();
        } catch (const Poco::Exception &ex) {
            if (ex.code() == EMFILE || ex.code() == ENFILE)
                pause();
            // Otherwise no connection is waiting, or the caller has already closed it.
            return;
        }
        m_onAccept(connection);
    }
}

} // namespace Carawaykeel::Net
