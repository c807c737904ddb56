#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Requests/ClaimRow.h>
#include <Carawaykeel/Requests/RequestKey.h>

#include <functional>
#include <memory>
#include <vector>

namespace Carawaykeel::Requests {

/// How a claim ended.
enum class ClaimResult {
    Won,
    /// Another claim stands; the owner says whose.
    Lost,
    /// The platform was not reached in time. The claim may still land, so the request is neither
    /// run here nor does anybody else learn that it may run.
    Unreachable,
};

/// Inserts claims into the platform's table, several in one transaction.
class ClaimWriter
{
public:
    ClaimWriter(Base::InstanceContext &context, Base::Milliseconds deadline);

    /// Claims the right to run a request. Answers once; the owner is set when the claim was lost.
    void claim(const RequestKey &key,
        std::function<void(ClaimResult, const Base::InstanceId &owner)> answer);

private:
    struct Pending
    {
        RequestKey key;
        ClaimRow row;
        Base::Milliseconds deadline;
        std::function<void(ClaimResult, const Base::InstanceId &)> answer;
    };
    using Batch = std::shared_ptr<std::vector<Pending>>;

    void send();
    void commit(const Batch &batch);
    void readBack(const Batch &batch);
    void decide(const Batch &batch, const Platform::RowsReply &reply);
    void retryOrFail(const Batch &batch);

    Base::InstanceContext &m_context;
    const Base::Milliseconds m_deadline;
    std::vector<Pending> m_pending;
    bool m_isSending = false;
};

} // namespace Carawaykeel::Requests
