#pragma once

#include <string>
#include <vector>

namespace Carawaykeel::Configuration {

/// One thing that is wrong in a document: where, and what was expected there.
struct Fault
{
    /// Path within the document, as rules.teams[2].budget.
    std::string path;
    std::string expected;
};

using Faults = std::vector<Fault>;

/// The faults as lines of file, path and what was expected.
std::string describeFaults(const Faults &faults, const std::string &file);

} // namespace Carawaykeel::Configuration
