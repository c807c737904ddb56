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

/// Interface through which TokenLending takes tokens from an instance and adds tokens to it.
class LendingDelegate
{
public:
    virtual ~LendingDelegate() = default;

    /// Takes up to `requested` tokens from what is spendable now; none if less than `minimum` is
    /// spendable.
    virtual Base::Tokens lend(
        const Base::TeamId &team, Base::Tokens minimum, Base::Tokens requested) = 0;

    /// Returns the team's remaining balance, or nothing if it is not known here.
    virtual std::optional<Base::Tokens> remainingBalanceOf(const Base::TeamId &team) const = 0;

    /// Adds tokens of a loan that were repaid.
    virtual void onRepayment(const Base::TeamId &team, Base::Tokens tokens) = 0;

    /// Adds a loan that arrived after the loan request timed out. The tokens belong to the
    /// borrower nevertheless.
    virtual void onLateLoan(const Base::InstanceId &lender, std::uint64_t loanId,
        const Base::TeamId &team, Base::Tokens tokens) = 0;
};

/// Moves tokens between instances without the table. The lender counts a loan as spent as soon as
/// it sends it, so a lost message can lose tokens but never create any.
class TokenLending
{
public:
    /// Timeout for a lender's reply.
    static constexpr Base::Milliseconds ReplyTimeout{60};
    /// How long a lender that did not reply is not asked again.
    static constexpr Base::Milliseconds UnresponsiveRetryDelay{3'000};

    struct Loan
    {
        Base::InstanceId lender;
        std::uint64_t id = 0;
        Base::Tokens tokens;
        /// The team's remaining balance as reported by the lender.
        std::optional<Base::Tokens> remainingBalance = std::nullopt;
        /// Number of repayments sent.
        std::uint32_t repayments = 0;
    };

    TokenLending(Base::Scheduler &scheduler, Peer::PeerTransport &peers, LendingDelegate &delegate);

    /// Requests a loan from one instance. Calls `callback` once, with no tokens if the instance
    /// does not lend.
    void requestLoan(const Base::InstanceId &lender, const Base::TeamId &team, Base::Tokens minimum,
        Base::Tokens requested, std::function<void(Loan)> callback);

    /// Returns true for `UnresponsiveRetryDelay` after an instance did not reply.
    bool isUnresponsive(const Base::InstanceId &lender) const;

    /// Repays a part of a loan.
    void repay(Loan &loan, Base::Tokens tokens);

    void onBorrowTokens(const Base::InstanceId &from, const Peer::BorrowTokens &message);
    void onTokensLent(const Base::InstanceId &from, const Peer::TokensLent &message);
    void onLoanRepayment(const Base::InstanceId &from, const Peer::LoanRepayment &message);

private:
    struct OutstandingLoan
    {
        Base::TeamId team;
        /// Not repaid yet.
        Base::Tokens tokens;
        std::uint32_t lastPart = 0;
    };

    Base::Scheduler &m_scheduler;
    Peer::PeerTransport &m_peers;
    LendingDelegate &m_delegate;
    std::uint64_t m_lastLoanId = 0;
    std::map<std::uint64_t, std::function<void(Loan)>> m_pendingCallbacks;
    std::map<Base::InstanceId, Base::Milliseconds> m_unresponsiveUntil;
    /// Ids of the loans that were received; duplicate replies are ignored.
    std::set<std::uint64_t> m_receivedLoans;
    /// Loans with ids up to this one are treated as duplicates.
    std::uint64_t m_discardedUpTo = 0;
    /// By borrower and loan id.
    std::map<std::pair<Base::InstanceId, std::uint64_t>, OutstandingLoan> m_outstandingLoans;
};

} // namespace Carawaykeel::Budget
