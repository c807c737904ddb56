#pragma once

#include <Carawaykeel/Base/InstanceId.h>
#include <Carawaykeel/Logging/LogEvent.h>
#include <Carawaykeel/Logging/LogFields.h>
#include <Carawaykeel/Logging/LogSink.h>

#include <string>
#include <string_view>

namespace Carawaykeel::Logging {

/// Formats log lines as key=value pairs: one for each decision on a request and each change of the
/// instance's state. Thread-safe.
class Logger
{
public:
    /// The sink must outlive the logger.
    Logger(const Base::InstanceId &instance, LogSink &sink);

    void info(LogEvent event, const LogFields &fields = {}) const;
    void warn(LogEvent event, const LogFields &fields = {}) const;
    /// Writes a line of level info that may be suppressed under load.
    void routineInfo(LogEvent event, const LogFields &fields) const;

private:
    void write(LogPriority priority, std::string_view level, LogEvent event,
        const LogFields &fields) const;

    const std::string m_instance;
    LogSink &m_sink;
};

} // namespace Carawaykeel::Logging
