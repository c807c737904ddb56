#pragma once

#include <Carawaykeel/Configuration/Declaration.h>
#include <Carawaykeel/Configuration/ValidationError.h>

#include <string_view>

namespace Carawaykeel::Configuration {

/// A parsed document. The declaration is valid only if there are no errors.
struct ParsedDeclaration
{
    Declaration declaration;
    ValidationErrors errors;
};

/// Parses a declaration: one JSON document, which may have comments, with the inventory of the
/// asset register under "inventory" and the operators' rules under "rules". Reports all errors in
/// one pass.
ParsedDeclaration parseDeclaration(std::string_view document);

} // namespace Carawaykeel::Configuration
