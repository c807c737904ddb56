#pragma once

#include <Carawaykeel/Configuration/Declaration.h>
#include <Carawaykeel/Configuration/ValidationError.h>

#include <string_view>

namespace Carawaykeel::Configuration {

/// A parsed document: the declaration holds only if there are no faults.
struct ParsedDeclaration
{
    Declaration declaration;
    ValidationErrors errors;
};

/// Reads a declaration: one JSON document, comments allowed, with the asset register's inventory
/// under "inventory" and the operators' rules under "rules". All faults are found in one pass.
ParsedDeclaration parseDeclaration(std::string_view document);

} // namespace Carawaykeel::Configuration
