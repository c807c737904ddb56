#include <Carawaykeel/Budget/TokenLending.h>

#include <algorithm>

namespace Carawaykeel::Budget {

namespace {

/// Loans that a lender remembers, so that they can come back. A forgotten one counts as spent.
constexpr std::size_t LoansKept = 4'096;

} // namespace

TokenLending::TokenLending(
    Base::Scheduler &scheduler, Peer::PeerTransport &peers, LendingDelegate &source)
    : m_scheduler(scheduler)
    , m_peers(peers)
    , m_source(source)
{
}

void TokenLending::ask(const Base::InstanceId &lender, const Base::TeamId &team, Base::Tokens least,
    Base::Tokens wanted, std::function<void(Loan)> answer)
{
    const auto number = ++m_numbers;
    m_questions.emplace(number, std::move(answer));
    m_peers.send(lender, Peer::BorrowTokens{number, team, least, wanted});
    m_scheduler.schedule(AnswerTimeout, [this, number, lender] {
        const auto it = m_questions.find(number);
        if (it == m_questions.end())
            return;
        const auto late = std::move(it->second);
        m_questions.erase(it);
        m_silentUntil[lender] = m_scheduler.now() + SilencePause;
        late({});
    });
}

bool TokenLending::isSilent(const Base::InstanceId &lender) const
{
    const auto it = m_silentUntil.find(lender);
    return it != m_silentUntil.end() && m_scheduler.now() < it->second;
}

void TokenLending::onBorrowTokens(const Base::InstanceId &from, const Peer::BorrowTokens &message)
{
    const auto key = std::pair(from, message.loanId);
    // A copy of the question must not take tokens twice.
    if (m_given.contains(key))
        return;
    const auto tokens = m_source.lend(message.team, message.minimum, message.requested);
    if (tokens > Base::Tokens()) {
        m_given.emplace(key, Given{message.team, tokens});
        if (m_given.size() > LoansKept)
            m_given.erase(m_given.begin());
    }
    m_peers.send(from,
        Peer::TokensLent{message.loanId, message.team, tokens, m_source.restOf(message.team)});
}

void TokenLending::onTokensLent(const Base::InstanceId &from, const Peer::TokensLent &message)
{
    if (message.loanId <= m_forgottenUpTo || !m_received.insert(message.loanId).second)
        return;
    if (m_received.size() > LoansKept) {
        m_forgottenUpTo = *m_received.begin();
        m_received.erase(m_received.begin());
    }
    const auto it = m_questions.find(message.loanId);
    if (it == m_questions.end()) {
        if (message.tokens > Base::Tokens())
            m_source.onLateLoan(from, message.loanId, message.team, message.tokens);
        return;
    }
    const auto answer = std::move(it->second);
    m_questions.erase(it);
    m_silentUntil.erase(from);
    answer({from, message.loanId, message.tokens, message.remainingBalance});
}

void TokenLending::giveBack(Loan &loan, Base::Tokens tokens)
{
    loan.tokens -= tokens;
    m_peers.send(loan.lender, Peer::LoanReturned{loan.number, ++loan.parts, tokens});
}

void TokenLending::onLoanReturned(const Base::InstanceId &from, const Peer::LoanReturned &message)
{
    const auto it = m_given.find({from, message.loanId});
    // A part that a later one has overtaken is lost; its copy could not be told from it.
    if (it == m_given.end() || message.part <= it->second.lastPart)
        return;
    auto &given = it->second;
    given.lastPart = message.part;
    const auto tokens = std::min(message.tokens, given.tokens);
    given.tokens -= tokens;
    m_source.takeBack(given.team, tokens);
}

} // namespace Carawaykeel::Budget
