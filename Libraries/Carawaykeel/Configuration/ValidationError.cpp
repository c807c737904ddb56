#include <Carawaykeel/Configuration/ValidationError.h>

#include <fmt/core.h>

namespace Carawaykeel::Configuration {

std::string formatErrors(const ValidationErrors &faults, const std::string &file)
{
    std::string lines;
    for (const auto &fault : faults) {
        const auto path = fault.path.empty() ? std::string("(document)") : fault.path;
        lines += fmt::format("{}: {}: expected {}\n", file, path, fault.expected);
    }
    return lines;
}

} // namespace Carawaykeel::Configuration
