#pragma once

#include <Carawaykeel/Base/InstanceId.h>
#include <Carawaykeel/Logging/LogEvent.h>
#include <Carawaykeel/Logging/LogFields.h>
#include <Carawaykeel/Logging/LogSink.h>

#include <string>
#include <string_view>

namespace Carawaykeel::Logging {

/// Makes one line for each decision on a request and each change of what the instance believes, as
/// key=value pairs. Any thread may call it.
class Logger
{
public:
    /// The sink outlives the logger.
    Logger(const Base::InstanceId &instance, LogSink &sink);

    void info(LogEvent event, const LogFields &fields = {}) const;
    void warn(LogEvent event, const LogFields &fields = {}) const;
    /// One of many alike, which may be left out under load.
    void routineInfo(LogEvent event, const LogFields &fields) const;

private:
    void write(
        LogPriority weight, std::string_view level, LogEvent event, const LogFields &fields) const;

    const std::string m_instance;
    LogSink &m_sink;
};

} // namespace Carawaykeel::Logging
