#pragma once

#include <Carawaykeel/Base/BackOff.h>
#include <Carawaykeel/Base/InstanceId.h>
#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Peer/PeerLink.h>
#include <Carawaykeel/Platform/TableService.h>

namespace Carawaykeel::Base {

/// What every decision of one instance shares: who it is and the interfaces to the world. Borrowed
/// references; they outlive the decisions.
struct InstanceContext
{
    InstanceId self;
    Scheduler &scheduler;
    Platform::TableService &table;
    Peer::PeerLink &peers;
    RandomEngine &random;
};

} // namespace Carawaykeel::Base
