#include <Carawaykeel/Budget/TokenLending.h>

#include <algorithm>

namespace Carawaykeel::Budget {

namespace {

/// Outstanding loans that a lender remembers for repayment. A forgotten loan counts as spent.
constexpr std::size_t LoansKept = 4'096;

} // namespace

TokenLending::TokenLending(Base::Scheduler &scheduler, Peer::PeerLink &peers, LoanSource &source)
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

void TokenLending::onBorrow(const Base::InstanceId &from, const Peer::BorrowTokens &message)
{
    const auto key = std::pair(from, message.loan);
    // A duplicate message must not take tokens twice.
    if (m_given.contains(key))
        return;
    const auto tokens = m_source.lend(message.team, message.least, message.wanted);
    if (tokens > Base::Tokens()) {
        m_given.emplace(key, Given{message.team, tokens});
        if (m_given.size() > LoansKept)
            m_given.erase(m_given.begin());
    }
    m_peers.send(
        from, Peer::TokensLent{message.loan, message.team, tokens, m_source.restOf(message.team)});
}

void TokenLending::onLent(const Base::InstanceId &from, const Peer::TokensLent &message)
{
    if (message.loan <= m_forgottenUpTo || !m_received.insert(message.loan).second)
        return;
    if (m_received.size() > LoansKept) {
        m_forgottenUpTo = *m_received.begin();
        m_received.erase(m_received.begin());
    }
    const auto it = m_questions.find(message.loan);
    if (it == m_questions.end()) {
        if (message.tokens > Base::Tokens())
            m_source.onLateLoan(from, message.loan, message.team, message.tokens);
        return;
    }
    const auto answer = std::move(it->second);
    m_questions.erase(it);
    m_silentUntil.erase(from);
    answer({from, message.loan, message.tokens, message.rest});
}

void TokenLending::giveBack(Loan &loan, Base::Tokens tokens)
{
    loan.tokens -= tokens;
    m_peers.send(loan.lender, Peer::LoanReturned{loan.number, ++loan.parts, tokens});
}

void TokenLending::onReturned(const Base::InstanceId &from, const Peer::LoanReturned &message)
{
    const auto it = m_given.find({from, message.loan});
    // A repayment that a later one has overtaken is lost; it cannot be distinguished from a
    // duplicate.
    if (it == m_given.end() || message.part <= it->second.lastPart)
        return;
    auto &given = it->second;
    given.lastPart = message.part;
    const auto tokens = std::min(message.tokens, given.tokens);
    given.tokens -= tokens;
    m_source.takeBack(given.team, tokens);
}

} // namespace Carawaykeel::Budget
