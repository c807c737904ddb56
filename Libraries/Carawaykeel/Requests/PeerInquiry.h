#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Requests/RequestKey.h>
#include <Carawaykeel/Requests/StoredAnswer.h>

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace Carawaykeel::Requests {

/// The combined status of a request at all queried instances.
struct InquiryAnswer
{
    Peer::RequestKnowledge knowledge = Peer::RequestKnowledge::Unknown;
    /// False when an instance did not reply.
    bool isComplete = true;
    StoredAnswer answer;
};

/// Queries other instances for the status of a request, and polls while one of them runs it.
class PeerInquiry
{
public:
    PeerInquiry(Base::InstanceContext &context);

    /// Queries all peers in parallel and calls `callback` once. While one of them runs the request,
    /// queries them again until the timeout has passed.
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
