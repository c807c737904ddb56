#pragma once

#include <Carawaykeel/Base/InstanceId.h>
#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Base/Tokens.h>
#include <Carawaykeel/Peer/PeerTransport.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Carawaykeel::Budget {

/// What a lender may give away.
class LendingDelegate
{
public:
    virtual ~LendingDelegate() = default;

    /// Takes up to the wanted tokens out of what may be spent now; none when there is less than the
    /// least.
    virtual Base::Tokens lend(
        const Base::TeamId &team, Base::Tokens least, Base::Tokens wanted) = 0;

    /// What the team has left in all; empty when that is not known here.
    virtual std::optional<Base::Tokens> restOf(const Base::TeamId &team) const = 0;

    /// Tokens of a loan have come back.
    virtual void takeBack(const Base::TeamId &team, Base::Tokens tokens) = 0;

    /// An answer to a question that was given up. The tokens are the borrower's all the same.
    virtual void onLateLoan(const Base::InstanceId &lender, std::uint64_t loan,
        const Base::TeamId &team, Base::Tokens tokens) = 0;
};

/// Moves tokens between instances without the table. A loan counts as spent at its lender from the
/// moment it is given, so a lost message loses tokens and never makes any.
class TokenLending
{
public:
    /// How long a lender's answer is waited for.
    static constexpr Base::Milliseconds AnswerTimeout{60};
    /// How long a lender that did not answer is not asked again.
    static constexpr Base::Milliseconds SilencePause{3'000};

    struct Loan
    {
        Base::InstanceId lender;
        std::uint64_t number = 0;
        Base::Tokens tokens;
        /// What the lender says that the team has left in all.
        std::optional<Base::Tokens> rest = std::nullopt;
        /// Parts that were given back.
        std::uint32_t parts = 0;
    };

    TokenLending(Base::Scheduler &scheduler, Peer::PeerTransport &peers, LendingDelegate &source);

    /// Asks one instance. Answers once, with no tokens when it does not lend.
    void ask(const Base::InstanceId &lender, const Base::TeamId &team, Base::Tokens least,
        Base::Tokens wanted, std::function<void(Loan)> answer);

    /// True while an instance is not worth asking, because it has just not answered.
    bool isSilent(const Base::InstanceId &lender) const;

    /// Gives back a part of a loan.
    void giveBack(Loan &loan, Base::Tokens tokens);

    void onBorrowTokens(const Base::InstanceId &from, const Peer::BorrowTokens &message);
    void onTokensLent(const Base::InstanceId &from, const Peer::TokensLent &message);
    void onLoanReturned(const Base::InstanceId &from, const Peer::LoanReturned &message);

private:
    struct Given
    {
        Base::TeamId team;
        /// Not given back yet.
        Base::Tokens tokens;
        std::uint32_t lastPart = 0;
    };

    Base::Scheduler &m_scheduler;
    Peer::PeerTransport &m_peers;
    LendingDelegate &m_source;
    std::uint64_t m_numbers = 0;
    std::map<std::uint64_t, std::function<void(Loan)>> m_questions;
    std::map<Base::InstanceId, Base::Milliseconds> m_silentUntil;
    /// Numbers of the loans that have come, so that a copy of an answer counts for nothing.
    std::set<std::uint64_t> m_received;
    /// Numbers up to this one are taken for copies.
    std::uint64_t m_forgottenUpTo = 0;
    /// By borrower and number.
    std::map<std::pair<Base::InstanceId, std::uint64_t>, Given> m_given;
};

} // namespace Carawaykeel::Budget
