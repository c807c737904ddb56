#pragma once

#include <Carawaykeel/Base/StrongNumber.h>

namespace Carawaykeel::Base {

struct TokensTag;

/// An amount of model tokens, the unit of budgets, reservations and bills.
using Tokens = StrongNumber<TokensTag>;

} // namespace Carawaykeel::Base
