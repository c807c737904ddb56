#pragma once

#include <Carawaykeel/Net/Reactor.h>

#include <thread>

namespace Carawaykeel::Net {

/// A reactor and the thread that runs it.
class ReactorThread
{
public:
    ~ReactorThread() { stop(); }

    ReactorThread() = default;
    ReactorThread(const ReactorThread &) = delete;
    ReactorThread &operator=(const ReactorThread &) = delete;

    Reactor &reactor() { return m_reactor; }

    /// Starts the thread. Sockets may be watched from other threads only before that.
    void start()
    {
        m_thread = std::thread([this] { m_reactor.run(); });
    }

    /// Stops the thread after the running task. Discards scheduled tasks.
    void stop()
    {
        if (!m_thread.joinable())
            return;
        m_reactor.stop();
        m_thread.join();
    }

private:
    Reactor m_reactor;
    std::thread m_thread;
};

} // namespace Carawaykeel::Net
