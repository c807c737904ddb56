#include <Carawaykeel/Configuration/ValidationError.h>

#include <fmt/core.h>

namespace Carawaykeel::Configuration {

std::string formatErrors(const ValidationErrors &errors, const std::string &file)
{
    std::string lines;
    for (const auto &error : errors) {
        const auto path = error.path.empty() ? std::string("(document)") : error.path;
        lines += fmt::format("{}: {}: expected {}\n", file, path, error.expected);
    }
    return lines;
}

} // namespace Carawaykeel::Configuration
