#pragma once

#include <Carawaykeel/Budget/AllotmentObserver.h>
#include <Carawaykeel/Logging/Logger.h>

namespace Carawaykeel::Ingress {

/// Writes what becomes of an instance's allotments to its log.
class AllotmentLogger : public Budget::AllotmentObserver
{
public:
    explicit AllotmentLogger(const Logging::Logger &log)
        : m_log(log)
    {
    }

    void onTableReachabilityChanged(bool isReached) override;
    void onAllotmentClosed(const Base::TeamId &team, const Budget::Allotment &allotment,
        Base::Tokens counted) override;
    void onReportFailed(
        Platform::CommitOutcome outcome, int triesLeft, Base::Milliseconds passed) override;
    void onOverdrawn(const Base::TeamId &team, Base::Tokens spent, Base::Tokens whole,
        std::uint64_t version) override;

private:
    const Logging::Logger &m_log;
};

} // namespace Carawaykeel::Ingress
