#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Milliseconds.h>

#include <cstdint>
#include <string>

namespace Carawaykeel::Forwarding {

/// The announcement of a backend server.
struct ServerEntry
{
    /// Identifies the server. A later incarnation usually has a different name.
    Base::ServerName name;
    Base::ServiceName service;
    /// IP number and port.
    std::string address;
    Base::DataCentre dataCentre;
    int slots = 1;
    bool isLeaving = false;
    /// How much longer the server is slow because of its recent start.
    Base::Milliseconds remainingWarmUpTime;
    /// Start time of the server as Unix time; distinguishes incarnations with the same name.
    std::int64_t startedAt = 0;
    /// The announcement states the remaining warm-up time. Not relayed to other instances, since
    /// earlier versions reject entries with further fields.
    bool hasWarmUpTime = false;

    bool operator==(const ServerEntry &) const = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(
            name, service, address, dataCentre, slots, isLeaving, remainingWarmUpTime, startedAt);
    }
};

} // namespace Carawaykeel::Forwarding
