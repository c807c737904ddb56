#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Forwarding/KnownServer.h>

#include <map>

namespace Carawaykeel::Forwarding {

/// Decides whether the tokens of a request fit into the memory of a server. A server whose memory
/// is full crashes when more is sent.
class ServerMemory
{
public:
    /// Part of the capacity that is used. The rest is for the requests that other instances sent
    /// since the last report, and for responses longer than their callers expected.
    static constexpr double UsableShare = 0.9;
    /// Weight of the newest request in the average size, which stands for the unknown size of other
    /// instances' requests.
    static constexpr double SizeWeight = 0.05;

    /// Sets how many tokens each server of a service has room for; 0 for no limit.
    void setCapacity(const Base::ServiceName &service, Base::Tokens capacity);

    /// Records the size of a request that is sent, in tokens of its prompt and response.
    void onRequestSent(const Base::ServiceName &service, Base::Tokens size);

    /// Returns true when the request fits, or when nothing is known of the server's memory.
    /// `requests` is the estimated number of requests at the server, this instance's included.
    bool fits(const KnownServer &server, double requests, Base::Tokens size) const;

private:
    struct Service
    {
        Base::Tokens capacity;
        double averageSize = 0;
    };

    std::map<Base::ServiceName, Service> m_services;
};

} // namespace Carawaykeel::Forwarding
