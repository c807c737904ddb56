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

/// Parses a settings document, JSON with comments. Reports all errors in one pass; if there are
/// any, the settings must not be used.
ParsedRouterSettings parseRouterSettings(std::string_view document);

} // namespace Carawaykeel::Ingress
