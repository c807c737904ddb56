#include <Carawaykeel/Budget/TokenLending.h>

#include <algorithm>

namespace Carawaykeel::Budget {

namespace {

/// Outstanding loans that a lender remembers for repayment. A forgotten loan counts as spent.
constexpr std::size_t MaxRememberedLoans = 4'096;

} // namespace

TokenLending::TokenLending(
    Base::Scheduler &scheduler, Peer::PeerTransport &peers, LendingDelegate &delegate)
    : m_scheduler(scheduler)
    , m_peers(peers)
    , m_delegate(delegate)
{
}

void TokenLending::requestLoan(const Base::InstanceId &lender, const Base::TeamId &team,
    Base::Tokens minimum, Base::Tokens requested, std::function<void(Loan)> callback)
{
    const auto loanId = ++m_lastLoanId;
    m_pendingCallbacks.emplace(loanId, std::move(callback));
    m_peers.send(lender, Peer::BorrowTokens{loanId, team, minimum, requested});
    m_scheduler.schedule(ReplyTimeout, [this, loanId, lender] {
        const auto it = m_pendingCallbacks.find(loanId);
        if (it == m_pendingCallbacks.end())
            return;
        const auto timedOutCallback = std::move(it->second);
        m_pendingCallbacks.erase(it);
        m_unresponsiveUntil[lender] = m_scheduler.now() + UnresponsiveRetryDelay;
        timedOutCallback({});
    });
}

bool TokenLending::isUnresponsive(const Base::InstanceId &lender) const
{
    const auto it = m_unresponsiveUntil.find(lender);
    return it != m_unresponsiveUntil.end() && m_scheduler.now() < it->second;
}

void TokenLending::onBorrowTokens(const Base::InstanceId &from, const Peer::BorrowTokens &message)
{
    const auto key = std::pair(from, message.loanId);
    // A duplicate message must not take tokens twice.
    if (m_outstandingLoans.contains(key))
        return;
    const auto tokens = m_delegate.lend(message.team, message.minimum, message.requested);
    if (tokens > Base::Tokens()) {
        m_outstandingLoans.emplace(key, OutstandingLoan{message.team, tokens});
        if (m_outstandingLoans.size() > MaxRememberedLoans)
            m_outstandingLoans.erase(m_outstandingLoans.begin());
    }
    m_peers.send(from,
        Peer::TokensLent{
            message.loanId, message.team, tokens, m_delegate.remainingBalanceOf(message.team)});
}

void TokenLending::onTokensLent(const Base::InstanceId &from, const Peer::TokensLent &message)
{
    if (message.loanId <= m_discardedUpTo || !m_receivedLoans.insert(message.loanId).second)
        return;
    if (m_receivedLoans.size() > MaxRememberedLoans) {
        m_discardedUpTo = *m_receivedLoans.begin();
        m_receivedLoans.erase(m_receivedLoans.begin());
    }
    const auto it = m_pendingCallbacks.find(message.loanId);
    if (it == m_pendingCallbacks.end()) {
        if (message.tokens > Base::Tokens())
            m_delegate.onLateLoan(from, message.loanId, message.team, message.tokens);
        return;
    }
    const auto callback = std::move(it->second);
    m_pendingCallbacks.erase(it);
    m_unresponsiveUntil.erase(from);
    callback({from, message.loanId, message.tokens, message.remainingBalance});
}

void TokenLending::repay(Loan &loan, Base::Tokens tokens)
{
    loan.tokens -= tokens;
    m_peers.send(loan.lender, Peer::LoanRepayment{loan.id, ++loan.repayments, tokens});
}

void TokenLending::onLoanRepayment(const Base::InstanceId &from, const Peer::LoanRepayment &message)
{
    const auto it = m_outstandingLoans.find({from, message.loanId});
    // A repayment that a later one has overtaken is lost; it cannot be distinguished from a
    // duplicate.
    if (it == m_outstandingLoans.end() || message.part <= it->second.lastPart)
        return;
    auto &outstanding = it->second;
    outstanding.lastPart = message.part;
    const auto tokens = std::min(message.tokens, outstanding.tokens);
    outstanding.tokens -= tokens;
    m_delegate.onRepayment(outstanding.team, tokens);
}

} // namespace Carawaykeel::Budget
