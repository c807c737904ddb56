#include <Carawaykeel/Net/Listener.h>

#include <Carawaykeel/Net/ExclusiveListener.h>

#include <Poco/Exception.h>
#include <utility>

namespace Carawaykeel::Net {

namespace {

constexpr int Backlog = 1'024;
/// Connections accepted in one turn, so that a rush cannot keep the others waiting.
constexpr int AcceptsPerTurn = 32;

} // namespace

Listener::Listener(Reactor &reactor, const std::string &address, Acceptor acceptor)
    : m_reactor(reactor)
    , m_socket(makeExclusiveListener(Poco::Net::SocketAddress(address), Backlog))
    , m_acceptor(std::move(acceptor))
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

void Listener::onReady(Readiness)
{
    for (int n = 0; n < AcceptsPerTurn && m_isOpen; ++n) {
        try {
            m_acceptor(m_socket.acceptConnection());
        } catch (const Poco::Exception &) {
            // None is left, or the caller has gone already.
            return;
        }
    }
}

} // namespace Carawaykeel::Net
