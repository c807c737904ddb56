#include <Carawaykeel/Ingress/AllotmentLogger.h>

namespace Carawaykeel::Ingress {

using Logging::LogEvent;
using Logging::LogFields;

void AllotmentLogger::onTableReachabilityChanged(bool isReached)
{
    if (isReached) {
        m_log.info(LogEvent::AllotmentTableReached);
    } else {
        m_log.warn(LogEvent::AllotmentTableLost);
    }
}

void AllotmentLogger::onAllotmentClosed(
    const Base::TeamId &team, const Budget::Allotment &allotment, Base::Tokens counted)
{
    m_log.info(LogEvent::AllotmentClosed,
        LogFields()
            .add("team", team.text())
            .add("closed_incarnation", allotment.holder.incarnation)
            .add("reported", allotment.spent.count())
            .add("counted", counted.count())
            .add("whole", allotment.total().count()));
}

void AllotmentLogger::onReportFailed(
    Platform::CommitOutcome outcome, int triesLeft, Base::Milliseconds passed)
{
    const auto fields = LogFields()
                            .add("outcome", Platform::commitOutcomeName(outcome))
                            .add("tries_left", triesLeft)
                            .add("ms", passed.count());
    // Conflicts are ordinary while several instances report.
    if (outcome == Platform::CommitOutcome::Conflict) {
        m_log.routineInfo(LogEvent::AllotmentReportFailed, fields);
    } else {
        m_log.info(LogEvent::AllotmentReportFailed, fields);
    }
}

void AllotmentLogger::onOverdrawn(
    const Base::TeamId &team, Base::Tokens spent, Base::Tokens whole, std::uint64_t version)
{
    m_log.warn(LogEvent::AllotmentOverdrawn,
        LogFields()
            .add("team", team.text())
            .add("spent", spent.count())
            .add("whole", whole.count())
            .add("version", version));
}

} // namespace Carawaykeel::Ingress
