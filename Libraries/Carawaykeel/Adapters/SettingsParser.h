#pragma once

#include <Carawaykeel/Adapters/DaemonSettings.h>
#include <Carawaykeel/Configuration/ValidationError.h>

#include <string_view>

namespace Carawaykeel::Adapters {

/// Parsed settings; they hold only if there are no faults.
struct ParsedSettings
{
    DaemonSettings settings;
    Configuration::ValidationErrors errors;
};

/// Reads a settings document, JSON with comments. Keys are read from the files or environment
/// variables that it names. All faults are found in one pass.
ParsedSettings parseSettings(std::string_view document);

} // namespace Carawaykeel::Adapters
