#include <Carawaykeel/Requests/PeerInquiry.h>

#include <utility>

namespace Carawaykeel::Requests {

namespace {

constexpr Base::Milliseconds AnswerTimeout{40};
constexpr int Tries = 3;
constexpr Base::Milliseconds PollPause{100};

/// Ranks the replies of several instances; the status with the highest rank is reported.
int weightOf(Peer::RequestKnowledge knowledge)
{
    switch (knowledge) {
    case Peer::RequestKnowledge::Finished:
        return 4;
    case Peer::RequestKnowledge::Running:
        return 3;
    case Peer::RequestKnowledge::MayRun:
        return 2;
    case Peer::RequestKnowledge::Uncertain:
        return 1;
    case Peer::RequestKnowledge::Unknown:
        break;
    }
    return 0;
}

} // namespace

PeerInquiry::PeerInquiry(Base::InstanceContext &context)
    : m_context(context)
{
}

void PeerInquiry::ask(const RequestKey &key, std::vector<Base::InstanceId> peers, bool wantsToRun,
    Base::Milliseconds patience, std::function<void(const InquiryAnswer &)> answer)
{
    if (peers.empty())
        return answer({Peer::RequestKnowledge::Unknown, true, {}});
    const auto number = ++m_number;
    Question question{key, std::move(peers), wantsToRun, m_context.scheduler.now() + patience,
        std::move(answer), {}, {}, 0};
    for (const auto &peer : question.peers)
        question.open.insert(peer.name);
    m_questions.emplace(number, std::move(question));
    send(number);
}

void PeerInquiry::send(std::uint64_t number)
{
    const auto it = m_questions.find(number);
    if (it == m_questions.end())
        return;
    auto &question = it->second;
    const auto tries = ++question.tries;
    for (const auto &peer : question.peers) {
        if (question.open.contains(peer.name)) {
            m_context.peers.send(peer,
                Peer::AskRequest{
                    question.key.team, question.key.request, number, question.wantsToRun});
        }
    }
    m_context.scheduler.schedule(AnswerTimeout, [this, number, tries] { tryAgain(number, tries); });
}

void PeerInquiry::tryAgain(std::uint64_t number, int tries)
{
    const auto it = m_questions.find(number);
    if (it == m_questions.end() || it->second.tries != tries)
        return;
    if (tries % Tries == 0)
        return conclude(number, false);
    send(number);
}

void PeerInquiry::onTell(const Base::InstanceId &from, const Peer::TellRequest &message)
{
    const auto it = m_questions.find(message.question);
    if (it == m_questions.end() || it->second.open.erase(from.name) == 0)
        return;
    auto &question = it->second;
    const bool isBetter = weightOf(message.knowledge) > weightOf(question.best.knowledge);
    if (isBetter) {
        question.best.knowledge = message.knowledge;
        question.best.answer = {message.httpStatus, message.contentType, message.body};
    }
    if (question.open.empty())
        conclude(message.question, true);
}

void PeerInquiry::conclude(std::uint64_t number, bool isComplete)
{
    const auto it = m_questions.find(number);
    auto &question = it->second;
    const bool isRunning = question.best.knowledge == Peer::RequestKnowledge::Running;
    if (isRunning && m_context.scheduler.now() < question.deadline) {
        question.best = {};
        for (const auto &peer : question.peers)
            question.open.insert(peer.name);
        // Rounding up to the next multiple starts a new round of attempts.
        question.tries = (question.tries + Tries) / Tries * Tries;
        return m_context.scheduler.schedule(PollPause, [this, number] { send(number); });
    }
    auto answer = std::move(question.answer);
    auto best = std::move(question.best);
    best.isComplete = isComplete;
    m_questions.erase(it);
    answer(best);
}

} // namespace Carawaykeel::Requests
