#include "CallerCrowd.h"

#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <cerrno>
#include <chrono>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Carawaykeel::Tests {

namespace {

/// A crowd of which nothing was taken for this long is complete: all callers are blocked.
constexpr std::chrono::milliseconds QuietTime{300};
/// End of a crowd whose bytes are taken slowly.
constexpr std::chrono::seconds MaxRunTime{15};
constexpr int PollMilliseconds = 20;
/// Keeps the responses that a caller does not read in the process under test, not in the system.
constexpr int ReceiveBufferBytes = 4'096;

} // namespace

CallerCrowd::~CallerCrowd()
{
    for (const auto &caller : m_callers)
        close(caller.descriptor);
}

void CallerCrowd::add(const std::string &address, const CallerScript &script, int count)
{
    m_scripts.push_back(std::make_unique<const CallerScript>(script));
    const Poco::Net::SocketAddress peer(address);
    for (int n = 0; n < count; ++n) {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (descriptor < 0)
            return;
        setsockopt(
            descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof ReceiveBufferBytes);
        // The end of the connection attempt shows when the caller sends.
        connect(descriptor, peer.addr(), peer.length());
        m_callers.push_back({descriptor, m_scripts.back().get()});
    }
}

std::string_view CallerCrowd::nextBytes(const Caller &caller)
{
    const auto &script = *caller.script;
    if (caller.sentBytes < script.opening.size())
        return std::string_view(script.opening).substr(caller.sentBytes);
    const auto sent = caller.sentBytes - script.opening.size();
    const auto total = script.piece.size() * script.pieceCount;
    if (sent >= total)
        return {};
    const auto rest = std::string_view(script.piece).substr(sent % script.piece.size());
    return rest.substr(0, script.writeBytes);
}

bool CallerCrowd::send(Caller &caller)
{
    const auto bytes = nextBytes(caller);
    const auto n = ::send(caller.descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n < 0) {
        caller.isDone = errno != EAGAIN && errno != EINTR;
        return false;
    }
    caller.sentBytes += static_cast<std::size_t>(n);
    caller.isDone = nextBytes(caller).empty();
    return n > 0;
}

void CallerCrowd::run()
{
    const auto startedAt = std::chrono::steady_clock::now();
    auto lastProgressAt = startedAt;
    while (true) {
        std::vector<pollfd> polled;
        std::vector<Caller *> callers;
        for (auto &caller : m_callers) {
            if (caller.isDone)
                continue;
            polled.push_back({caller.descriptor, POLLOUT, 0});
            callers.push_back(&caller);
        }
        const auto now = std::chrono::steady_clock::now();
        if (polled.empty() || now - lastProgressAt > QuietTime || now - startedAt > MaxRunTime)
            return;
        poll(polled.data(), polled.size(), PollMilliseconds);
        for (std::size_t n = 0; n < polled.size(); ++n) {
            if (polled[n].revents != 0 && send(*callers[n]))
                lastProgressAt = std::chrono::steady_clock::now();
        }
    }
}

} // namespace Carawaykeel::Tests
