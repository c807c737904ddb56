#pragma once

#include <functional>
#include <string>
#include <vector>

namespace Carawaykeel::Platform {

/// The state of a VM as reported by the platform.
enum class VmState { Live, Leaving, Gone };

/// One entry of the platform's VM list.
struct VmEntry
{
    /// The platform's name for the VM; a replacement VM gets another name.
    std::string vm;
    /// The server's name in the asset register; empty for entry VMs.
    std::string server;
    VmState state = VmState::Live;
};

/// The reply to a read of the VM list.
struct VmListReply
{
    bool isReachable = false;
    std::vector<VmEntry> entries;
};

/// The platform's list of live and leaving VMs. It lags behind their actual state.
class VmList
{
public:
    virtual ~VmList() = default;

    virtual void readVms(std::function<void(VmListReply)> callback) = 0;
};

} // namespace Carawaykeel::Platform
