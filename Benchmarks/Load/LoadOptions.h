#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Carawaykeel::Load {

/// Options of the load generator.
struct LoadOptions
{
    /// Caller addresses of the instances from which the entry addresses are fetched.
    std::vector<std::string> entryAddresses;
    std::vector<std::string> teams;
    /// A team's key is this prefix followed by the team's name.
    std::string keyPrefix = "demo-key-of-";
    std::string model = "orchard-7b";
    std::string bookingPath = "/services/booking/slots";
    std::string queuePath = "/services/booking/queue";
    std::string platform;
    std::string platformKey = "load";
    /// File with a line NAME SERVICE ADDRESS for each stand-in server.
    std::string servers;
    int callers = 12;
    int seconds = 20;
    int responseTokens = 40;
    std::uint64_t seed = 1;
    /// Maximum pause between two requests of a caller.
    int maxThinkMilliseconds = 200;
};

} // namespace Carawaykeel::Load
