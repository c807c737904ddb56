#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Milliseconds.h>

#include <cstdint>
#include <string>

namespace Carawaykeel::Forwarding {

/// A backend server as it announced itself.
struct ServerEntry
{
    /// Names one server; a later life mostly has another.
    Base::ServerName name;
    Base::ServiceName service;
    /// IP number and port.
    std::string address;
    Base::DataCentre dataCentre;
    int slots = 1;
    bool isLeaving = false;
    /// How much longer the server is slow after its start.
    Base::Milliseconds remainingWarmUpTime;
    /// Moment of the server's start, Unix time; tells two lives under one name apart.
    std::int64_t startedAt = 0;

    bool operator==(const ServerEntry &) const = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(
            name, service, address, dataCentre, slots, isLeaving, remainingWarmUpTime, startedAt);
    }
};

} // namespace Carawaykeel::Forwarding
