#include <Carawaykeel/Net/SignalListener.h>

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>
#include <utility>

namespace Carawaykeel::Net {

namespace {

Poco::Net::StreamSocket openDescriptor(std::initializer_list<int> signals)
{
    sigset_t blocked;
    sigemptyset(&blocked);
    for (const int signal : signals)
        sigaddset(&blocked, signal);
    pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
    const int descriptor = signalfd(-1, &blocked, SFD_NONBLOCK | SFD_CLOEXEC);
    if (descriptor < 0)
        throw Poco::SystemException("no descriptor for signals");
    return Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(descriptor));
}

} // namespace

SignalListener::SignalListener(
    Reactor &reactor, std::initializer_list<int> signals, SignalHandler onSignal)
    : m_reactor(reactor)
    , m_onSignal(std::move(onSignal))
    , m_descriptor(openDescriptor(signals))
{
    m_reactor.watch(m_descriptor, *this, true, false);
}

SignalListener::~SignalListener()
{
    m_reactor.unwatch(m_descriptor);
}

void SignalListener::onReady(Readiness)
{
    signalfd_siginfo info{};
    while (::read(m_descriptor.impl()->sockfd(), &info, sizeof(info)) == sizeof(info))
        m_onSignal(static_cast<int>(info.ssi_signo));
}

} // namespace Carawaykeel::Net
