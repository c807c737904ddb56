#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Base/Tokens.h>

#include <functional>

namespace Carawaykeel::Budget {

/// Tokens of a team that are set aside for one request.
struct TokenHold
{
    Base::TeamId team;
    Base::Tokens tokens;
    /// The part of them that a peer has lent.
    Base::Tokens borrowed;
};

/// Sets tokens aside before a request is sent, and settles what was used after it.
class TokenBudget
{
public:
    virtual ~TokenBudget() = default;

    /// Answers once. Fails with BudgetExhausted when the team's rest does not cover the tokens, and
    /// with BudgetUnreachable when that cannot be known here now.
    virtual void hold(const Base::TeamId &team, Base::Tokens tokens,
        std::function<void(Base::Outcome<TokenHold>)> answer) = 0;

    /// Ends a hold; what was not used is free again.
    virtual void settle(const TokenHold &hold, Base::Tokens used) = 0;
};

} // namespace Carawaykeel::Budget
