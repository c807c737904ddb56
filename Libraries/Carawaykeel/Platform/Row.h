#pragma once

#include <cstdint>
#include <string>

namespace Carawaykeel::Platform {

/// A row of the platform's table service. Versions come from one increasing counter of the service,
/// so a row that was deleted and created again never gets an earlier version.
struct Row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

} // namespace Carawaykeel::Platform
