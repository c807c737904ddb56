#pragma once

#include <Carawaykeel/Configuration/ValidationError.h>
#include <Carawaykeel/Ingress/RouterSettings.h>

#include <string_view>

namespace Carawaykeel::Ingress {

struct ParsedRouterSettings
{
    RouterSettings settings;
    Configuration::ValidationErrors errors;
};

/// Reads a settings document, JSON with comments. All faults are found in one pass; with any, the
/// settings are not to be used.
ParsedRouterSettings parseRouterSettings(std::string_view document);

} // namespace Carawaykeel::Ingress
