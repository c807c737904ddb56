#include <Carawaykeel/Base/Verify.h>

#include <cstdio>
#include <cstdlib>
#include <fmt/core.h>

namespace Carawaykeel::Base {

void verify(bool condition, const char *invariant)
{
    if (condition)
        return;
    fmt::print(stderr, "level=fatal invariant=\"{}\"\n", invariant);
    std::abort();
}

} // namespace Carawaykeel::Base
