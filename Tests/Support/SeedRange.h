#pragma once

#include <functional>

namespace Carawaykeel::Tests {

/// Runs a proof for each of the fixed seeds and fails with the first seed that breaks it. For
/// searching by hand CARAWAYKEEL_SEEDS=FIRST,COUNT names others.
void forEachSeed(int count, const std::function<void(int seed)> &proof);

/// Fails unless at least one of the seeds breaks the proof: the check can see the wrong variant.
void expectSomeSeedFails(int count, const std::function<void(int seed)> &proof);

} // namespace Carawaykeel::Tests
