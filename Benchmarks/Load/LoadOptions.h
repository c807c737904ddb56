#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Carawaykeel::Load {

/// What the load tool is told.
struct LoadOptions
{
    /// Callers' addresses to ask first.
    std::vector<std::string> entries;
    std::vector<std::string> teams;
    /// A team's key is this followed by its name.
    std::string keyPrefix = "demo-key-of-";
    std::string model = "orchard-7b";
    std::string bookingPath = "/services/booking/slots";
    std::string queuePath = "/services/booking/queue";
    std::string platform;
    std::string platformKey = "load";
    /// File with a line NAME SERVICE ADDRESS for each stand-in.
    std::string servers;
    int callers = 12;
    int seconds = 20;
    int answerTokens = 40;
    std::uint64_t seed = 1;
    /// Pause between two requests of a caller, at most.
    int thinkMilliseconds = 200;
};

} // namespace Carawaykeel::Load
