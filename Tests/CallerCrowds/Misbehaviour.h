#pragma once

#include "CallerCrowd.h"

#include <string>
#include <vector>

namespace Carawaykeel::Tests {

/// A kind of misbehaviour, and how many callers show it at once.
struct Misbehaviour
{
    std::string name;
    int callers;
    /// Returns what each caller sends to a path.
    CallerScript (*makeScript)(const std::string &path);
};

/// Kinds that are possible at any address.
const std::vector<Misbehaviour> &misbehaviours();

/// Returns the kind of that name.
const Misbehaviour &misbehaviour(const std::string &name);

/// Requests a path and reads no response.
CallerScript makeSingleRequest(const std::string &path);

} // namespace Carawaykeel::Tests
