#include <Carawaykeel/Base/Verify.h>

#include <cstdio>
#include <cstdlib>
#include <fmt/core.h>

namespace Carawaykeel::Base {

void verify(bool condition, const char *what)
{
    if (condition)
        return;
    fmt::print(stderr, "level=fatal invariant=\"{}\"\n", what);
    std::abort();
}

} // namespace Carawaykeel::Base
