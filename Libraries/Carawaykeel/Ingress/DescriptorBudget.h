#pragma once

#include <algorithm>
#include <cstddef>
#include <limits>

namespace Carawaykeel::Ingress {

/// Divides the process's descriptors among connections. Files, other instances, the table service,
/// entry queries, and probes have parts of their own; callers and servers share the rest.
class DescriptorBudget
{
public:
    /// Without a maximum (0), connections are not limited.
    explicit DescriptorBudget(std::size_t maxDescriptors = 0)
        : m_max(maxDescriptors)
    {
    }

    /// Maximum connections at the readiness address, and at the metrics address.
    std::size_t maxProbes() const { return isLimited() ? ProbeConnections : Unlimited; }
    std::size_t maxEntries() const { return isLimited() ? part(EntryDivisor) : Unlimited; }

    /// True if one more caller may connect. Servers keep a part, so that callers' idle connections
    /// do not displace them.
    bool hasRoomForCaller() const
    {
        return !isLimited() || m_callers + std::max(m_servers, shared() / ServerDivisor) < shared();
    }
    /// True if one more connection to a server may be opened.
    bool hasRoomForServer() const { return !isLimited() || m_callers + m_servers < shared(); }

    /// True if callers that send several requests at once should give their connections up.
    bool isShort() const { return !hasRoomForCaller() || !hasRoomForServer(); }

    void addCaller() { ++m_callers; }
    void removeCaller() { --m_callers; }
    void addServer() { ++m_servers; }
    void removeServer() { --m_servers; }

private:
    static constexpr std::size_t Unlimited = std::numeric_limits<std::size_t>::max();
    /// Descriptors of a VM that are for files; an eighth where there are few.
    static constexpr std::size_t FileDescriptors = 200;
    static constexpr std::size_t FileDivisor = 8;
    static constexpr std::size_t ProbeConnections = 16;
    static constexpr std::size_t EntryDivisor = 8;
    /// For other instances and the table service: all connections that
    /// Transport::PeerConnectionPolicy allows and some more; a quarter where there are few.
    static constexpr std::size_t InstanceDescriptors = 864;
    static constexpr std::size_t InstanceDivisor = 4;
    static constexpr std::size_t ServerDivisor = 3;

    bool isLimited() const { return m_max > 0; }
    std::size_t part(std::size_t divisor) const
    {
        return (m_max - std::min(FileDescriptors, m_max / FileDivisor)) / divisor;
    }
    /// Connections of callers and to servers together.
    std::size_t shared() const
    {
        const auto others = part(EntryDivisor)
            + std::min(InstanceDescriptors, part(InstanceDivisor)) + 2 * ProbeConnections;
        return part(1) - std::min(part(1), others);
    }

    std::size_t m_max;
    std::size_t m_callers = 0;
    std::size_t m_servers = 0;
};

} // namespace Carawaykeel::Ingress
