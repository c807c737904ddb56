#pragma once

#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Base/InstanceId.h>
#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Peer/PeerTransport.h>
#include <Carawaykeel/Platform/TableService.h>

namespace Carawaykeel::Base {

/// What every decision of one instance shares: who it is and the interfaces to the world. Borrowed
/// references; they outlive the decisions.
struct InstanceContext
{
    InstanceId self;
    Scheduler &scheduler;
    Platform::TableService &table;
    Peer::PeerTransport &peers;
    RandomEngine &random;
};

} // namespace Carawaykeel::Base
