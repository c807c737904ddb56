#include <Support/SeedRange.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fmt/core.h>
#include <stdexcept>

namespace Carawaykeel::Tests {

void forEachSeed(int count, const std::function<void(int)> &test)
{
    int first = 1;
    if (const auto *text = std::getenv("CARAWAYKEEL_SEEDS"))
        std::sscanf(text, "%d,%d", &first, &count);
    for (int seed = first; seed < first + count; ++seed) {
        try {
            test(seed);
        } catch (const std::exception &ex) {
            throw std::runtime_error(fmt::format("seed {}: {}", seed, ex.what()));
        }
    }
}

void expectSomeSeedFails(int count, const std::function<void(int)> &test)
{
    for (int seed = 1; seed <= count; ++seed) {
        try {
            test(seed);
        } catch (const std::exception &ex) {
            fmt::print(" [failed as expected at seed {}: {}]", seed, ex.what());
            return;
        }
    }
    throw std::runtime_error("the check failed at no seed, so it does not detect the defect");
}

} // namespace Carawaykeel::Tests
