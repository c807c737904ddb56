#include <Carawaykeel/Base/Incarnation.h>

#include <chrono>
#include <random>

namespace Carawaykeel::Base {

namespace {

constexpr unsigned RandomBits = 16;

} // namespace

std::uint64_t generateIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    std::random_device random;
    return (static_cast<std::uint64_t>(milliseconds) << RandomBits)
        | (random() & ((1U << RandomBits) - 1));
}

} // namespace Carawaykeel::Base
