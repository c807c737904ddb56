#pragma once

#include <functional>

namespace Carawaykeel::Tests {

/// Runs a test with the seeds from 1 to `count` and fails with the number of the first seed that
/// fails. The environment variable CARAWAYKEEL_SEEDS=FIRST,COUNT selects other seeds, for manual
/// searches.
void forEachSeed(int count, const std::function<void(int seed)> &test);

/// Fails unless the test fails with at least one of the seeds from 1 to `count`. Shows that a check
/// detects a deliberate defect.
void expectSomeSeedFails(int count, const std::function<void(int seed)> &test);

} // namespace Carawaykeel::Tests
