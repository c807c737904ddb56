#pragma once

#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Base/InstanceId.h>
#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Peer/PeerTransport.h>
#include <Carawaykeel/Platform/TableService.h>

namespace Carawaykeel::Base {

/// Dependencies shared by all components of an instance's decision logic: its identity and its
/// interfaces to the outside. The referenced objects are not owned and must outlive the components.
struct InstanceContext
{
    InstanceId self;
    Scheduler &scheduler;
    Platform::TableService &table;
    Peer::PeerTransport &peers;
    RandomEngine &random;
};

} // namespace Carawaykeel::Base
