#pragma once

#include <functional>
#include <string>
#include <vector>

namespace Carawaykeel::Platform {

/// What the platform says of a VM.
enum class VmState { Live, Leaving, Gone };

/// One line of the platform's list of VMs.
struct VmEntry
{
    /// The platform's name of the VM; a replacement has another.
    std::string vm;
    /// The server's name in the asset register; empty for entry VMs.
    std::string server;
    VmState state = VmState::Live;
};

/// The answer to a read of the list.
struct VmListReply
{
    bool isReachable = false;
    std::vector<VmEntry> entries;
};

/// The platform's list of live and leaving VMs. It lags.
class VmList
{
public:
    virtual ~VmList() = default;

    virtual void readVms(std::function<void(VmListReply)> answer) = 0;
};

} // namespace Carawaykeel::Platform
