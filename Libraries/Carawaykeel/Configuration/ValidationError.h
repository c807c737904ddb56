#pragma once

#include <string>
#include <vector>

namespace Carawaykeel::Configuration {

/// One thing that is wrong in a document: where, and what was expected there.
struct ValidationError
{
    /// Path within the document, as rules.teams[2].budget.
    std::string path;
    std::string expected;
};

using ValidationErrors = std::vector<ValidationError>;

/// The faults as lines of file, path and what was expected.
std::string formatErrors(const ValidationErrors &faults, const std::string &file);

} // namespace Carawaykeel::Configuration
