#include <Carawaykeel/Logging/Logger.h>

#include <chrono>
#include <fmt/chrono.h>
#include <fmt/core.h>

namespace Carawaykeel::Logging {

Logger::Logger(const Base::InstanceId &instance, LogSink &sink)
    : m_instance(
        fmt::format("instance={} incarnation={}", instance.name.text(), instance.incarnation))
    , m_sink(sink)
{
}

void Logger::info(LogEvent event, const LogFields &fields) const
{
    write(LogPriority::Important, "info", event, fields);
}

void Logger::warn(LogEvent event, const LogFields &fields) const
{
    write(LogPriority::Important, "warn", event, fields);
}

void Logger::routineInfo(LogEvent event, const LogFields &fields) const
{
    write(LogPriority::Routine, "info", event, fields);
}

void Logger::write(
    LogPriority priority, std::string_view level, LogEvent event, const LogFields &fields) const
{
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto millisecond = now.time_since_epoch().count() % 1'000;
    m_sink.write(priority,
        fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} {} event={}{}\n",
            fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millisecond, level, m_instance,
            nameOf(event), fields.text()));
}

} // namespace Carawaykeel::Logging
