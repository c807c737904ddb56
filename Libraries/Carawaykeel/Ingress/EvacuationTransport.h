#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Forwarding/Evacuation.h>

#include <span>

namespace Carawaykeel::Ingress {

/// Sends evacuations to other instances.
class EvacuationTransport
{
public:
    virtual ~EvacuationTransport() = default;

    virtual void sendToSome(std::span<const Forwarding::Evacuation> evacuations) = 0;
    virtual void sendTo(
        const Base::InstanceName &to, std::span<const Forwarding::Evacuation> evacuations) = 0;
};

} // namespace Carawaykeel::Ingress
