#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Base/Tokens.h>

#include <functional>

namespace Carawaykeel::Budget {

/// Tokens of a team that are held for one request.
struct TokenHold
{
    Base::TeamId team;
    Base::Tokens tokens;
    /// The part of `tokens` that was borrowed from a peer.
    Base::Tokens borrowed;
};

/// Holds tokens before a request is sent, and settles the tokens used afterwards.
class TokenBudget
{
public:
    virtual ~TokenBudget() = default;

    /// Holds tokens and calls `callback` once. Fails with BudgetExhausted if the team's remaining
    /// balance does not cover the tokens, and with BudgetUnavailable if this instance cannot
    /// determine that now.
    virtual void hold(const Base::TeamId &team, Base::Tokens tokens,
        std::function<void(Base::Outcome<TokenHold>)> callback) = 0;

    /// Ends a hold; the unused tokens become spendable again.
    virtual void settle(const TokenHold &hold, Base::Tokens used) = 0;
};

} // namespace Carawaykeel::Budget
