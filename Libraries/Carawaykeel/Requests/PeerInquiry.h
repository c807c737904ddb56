#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Requests/RequestKey.h>
#include <Carawaykeel/Requests/StoredResponse.h>

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace Carawaykeel::Requests {

/// What the asked instances know together.
struct InquiryAnswer
{
    Peer::RequestKnowledge knowledge = Peer::RequestKnowledge::Unknown;
    /// False when an instance did not answer.
    bool isComplete = true;
    StoredResponse answer;
};

/// Asks other instances about a request, and waits while one of them runs it.
class PeerInquiry
{
public:
    PeerInquiry(Base::InstanceContext &context);

    /// Asks all of them at once and answers once.
    void ask(const RequestKey &key, std::vector<Base::InstanceId> peers, bool wantsToRun,
        Base::Milliseconds patience, std::function<void(const InquiryAnswer &)> answer);

    void onTell(const Base::InstanceId &from, const Peer::TellRequest &message);

private:
    struct Question
    {
        RequestKey key;
        std::vector<Base::InstanceId> peers;
        bool wantsToRun = false;
        Base::Milliseconds deadline;
        std::function<void(const InquiryAnswer &)> answer;
        std::set<Base::InstanceName> open;
        InquiryAnswer best;
        int tries = 0;
    };

    void send(std::uint64_t number);
    void tryAgain(std::uint64_t number, int tries);
    void conclude(std::uint64_t number, bool isComplete);

    Base::InstanceContext &m_context;
    std::map<std::uint64_t, Question> m_questions;
    std::uint64_t m_number = 0;
};

} // namespace Carawaykeel::Requests
