#pragma once

#include <Carawaykeel/Net/Reactor.h>

#include <Poco/Net/StreamSocket.h>
#include <functional>
#include <initializer_list>

namespace Carawaykeel::Net {

/// Delivers signals of the process as events of a reactor, through a descriptor.
class SignalListener : public SocketHandler
{
public:
    using SignalHandler = std::function<void(int signal)>;

    /// Blocks the signals for this thread and those that it starts later. The reactor must not run
    /// yet. Throws Poco::SystemException if the system provides no descriptor.
    SignalListener(Reactor &reactor, std::initializer_list<int> signals, SignalHandler onSignal);
    ~SignalListener() override;

    SignalListener(const SignalListener &) = delete;
    SignalListener &operator=(const SignalListener &) = delete;

    void onReady(Readiness readiness) override;
    void onFailure() override { }

private:
    Reactor &m_reactor;
    const SignalHandler m_onSignal;
    /// Holds the descriptor, which is no socket: it is only watched, read directly and closed.
    Poco::Net::StreamSocket m_descriptor;
};

} // namespace Carawaykeel::Net
