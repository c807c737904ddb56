#pragma once

#include <string>

namespace Carawaykeel::Requests {

/// A whole answer, kept for retries of its request.
struct StoredResponse
{
    int httpStatus = 0;
    std::string contentType;
    std::string body;
};

} // namespace Carawaykeel::Requests
