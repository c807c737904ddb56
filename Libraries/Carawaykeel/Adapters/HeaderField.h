#pragma once

#include <string>

namespace Carawaykeel::Adapters {

/// One field of an HTTP header.
struct HeaderField
{
    std::string name;
    std::string value;
};

} // namespace Carawaykeel::Adapters
