#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Requests/ClaimRow.h>
#include <Carawaykeel/Requests/RequestKey.h>

#include <functional>
#include <memory>
#include <vector>

namespace Carawaykeel::Requests {

/// The outcome of a claim.
enum class ClaimResult {
    Won,
    /// Another incarnation, the owner, has the claim.
    Lost,
    /// The table was unreachable until the deadline. The claim may still be committed, so this
    /// instance neither runs the request nor permits another instance to run it.
    Unreachable,
};

/// Inserts claims into the platform's table, in batches of one transaction each.
class ClaimWriter
{
public:
    ClaimWriter(Base::InstanceContext &context, Base::Milliseconds timeout);

    /// Claims the right to run a request. Calls `callback` once; the owner is set unless the
    /// table was unreachable.
    void claim(const RequestKey &key,
        std::function<void(ClaimResult, const Base::InstanceId &owner)> callback);

private:
    struct PendingClaim
    {
        RequestKey key;
        ClaimRow row;
        Base::Milliseconds deadline;
        std::function<void(ClaimResult, const Base::InstanceId &)> callback;
    };
    using Batch = std::shared_ptr<std::vector<PendingClaim>>;

    void send();
    void commit(const Batch &batch);
    void readBack(const Batch &batch);
    void resolveClaims(const Batch &batch, const Platform::RowsReply &reply);
    void retryOrFail(const Batch &batch);

    Base::InstanceContext &m_context;
    const Base::Milliseconds m_timeout;
    std::vector<PendingClaim> m_pending;
    bool m_isSending = false;
};

} // namespace Carawaykeel::Requests
