#pragma once

#include <string>

namespace Carawaykeel {

/// Runs the router for the platform's callers and servers until SIGTERM or SIGINT. With
/// `isCheckOnly` it only validates the settings. Returns the exit code of the process.
int runRouter(const std::string &settingsFile, bool isCheckOnly);

} // namespace Carawaykeel
