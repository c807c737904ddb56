#pragma once

#include <Carawaykeel/Budget/AllotmentObserver.h>
#include <Carawaykeel/Logging/Logger.h>

namespace Carawaykeel::Ingress {

/// Logs the events of an instance's allotments.
class AllotmentLogger : public Budget::AllotmentObserver
{
public:
    explicit AllotmentLogger(const Logging::Logger &log)
        : m_log(log)
    {
    }

    void onTableReachabilityChanged(bool isReachable) override;
    void onAllotmentClosed(const Base::TeamId &team, const Budget::Allotment &allotment,
        Base::Tokens counted) override;
    void onReportFailed(
        Platform::CommitOutcome outcome, int triesLeft, Base::Milliseconds elapsed) override;
    void onOverdrawn(const Base::TeamId &team, Base::Tokens spent, Base::Tokens total,
        std::uint64_t version) override;

private:
    const Logging::Logger &m_log;
};

} // namespace Carawaykeel::Ingress
