#pragma once

#include <Carawaykeel/Adapters/DaemonSettings.h>
#include <Carawaykeel/Configuration/ValidationError.h>

#include <string_view>

namespace Carawaykeel::Adapters {

/// Parsed settings; valid only if there are no errors.
struct ParsedSettings
{
    DaemonSettings settings;
    Configuration::ValidationErrors errors;
};

/// Parses a settings document, JSON with comments. Keys are read from the files or environment
/// variables that it names. All errors are reported in one pass.
ParsedSettings parseSettings(std::string_view document);

} // namespace Carawaykeel::Adapters
