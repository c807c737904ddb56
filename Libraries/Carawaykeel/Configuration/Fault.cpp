#include <Carawaykeel/Configuration/Fault.h>

#include <fmt/core.h>

namespace Carawaykeel::Configuration {

std::string describeFaults(const Faults &faults, const std::string &file)
{
    std::string lines;
    for (const auto &fault : faults) {
        const auto path = fault.path.empty() ? std::string("(document)") : fault.path;
        lines += fmt::format("{}: {}: expected {}\n", file, path, fault.expected);
    }
    return lines;
}

} // namespace Carawaykeel::Configuration
