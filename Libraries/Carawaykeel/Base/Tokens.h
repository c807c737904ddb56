#pragma once

#include <Carawaykeel/Base/StrongNumber.h>

namespace Carawaykeel::Base {

struct TokensTag;

/// An amount of model tokens, the unit in which budgets, reservations and bills are counted.
using Tokens = StrongNumber<TokensTag>;

} // namespace Carawaykeel::Base
