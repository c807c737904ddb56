#pragma once

#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Base/InstanceId.h>
#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Peer/PeerTransport.h>
#include <Carawaykeel/Platform/TableService.h>

namespace Carawaykeel::Base {

/// What all components of one instance's decision logic share: the instance's identity and its
/// interfaces to the outside. The references are not owned and must outlive the components.
struct InstanceContext
{
    InstanceId self;
    Scheduler &scheduler;
    Platform::TableService &table;
    Peer::PeerTransport &peers;
    RandomEngine &random;
};

} // namespace Carawaykeel::Base
