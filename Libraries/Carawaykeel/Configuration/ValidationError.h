#pragma once

#include <string>
#include <vector>

namespace Carawaykeel::Configuration {

/// An error in a document: where it is, and what was expected there.
struct ValidationError
{
    /// Path within the document, such as rules.teams[2].budget.
    std::string path;
    std::string expected;
};

using ValidationErrors = std::vector<ValidationError>;

/// Formats the errors as one line each: file, path and expected value.
std::string formatErrors(const ValidationErrors &errors, const std::string &file);

} // namespace Carawaykeel::Configuration
