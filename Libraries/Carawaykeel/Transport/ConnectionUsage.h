#pragma once

#include <Carawaykeel/Base/InstanceId.h>
#include <Carawaykeel/Base/Milliseconds.h>

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace Carawaykeel::Transport {

/// Decides which connections to other instances stay open: those used last, at most a fixed number,
/// and none that was idle for too long.
class ConnectionUsage
{
public:
    ConnectionUsage(std::size_t maxConnections, Base::Milliseconds idleTimeout)
        : m_maxConnections(maxConnections)
        , m_idleTimeout(idleTimeout)
    {
    }

    /// Records that the connection to a peer is used; a new one is counted from now on. Returns the
    /// peer whose connection must be closed to stay within the limit, if any.
    std::optional<Base::InstanceName> use(const Base::InstanceName &peer, Base::Milliseconds now);

    /// Removes and returns the peers whose connections have been idle for too long.
    std::vector<Base::InstanceName> takeIdle(Base::Milliseconds now);

    std::size_t count() const { return m_positions.size(); }

private:
    struct Entry
    {
        Base::InstanceName peer;
        Base::Milliseconds usedAt;
    };

    const std::size_t m_maxConnections;
    const Base::Milliseconds m_idleTimeout;
    /// The least recently used entry is first.
    std::list<Entry> m_entries;
    std::map<Base::InstanceName, std::list<Entry>::iterator> m_positions;
};

} // namespace Carawaykeel::Transport
