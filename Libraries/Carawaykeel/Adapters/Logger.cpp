#include <Carawaykeel/Adapters/Logger.h>

#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/core.h>

namespace Carawaykeel::Adapters {

Logger::Logger(const Base::InstanceId &instance)
    : m_instance(
        fmt::format("instance={} incarnation={}", instance.name.text(), instance.incarnation))
{
}

void Logger::info(std::string_view event, std::string_view detail) const
{
    write("info", event, detail);
}

void Logger::warn(std::string_view event, std::string_view detail) const
{
    write("warn", event, detail);
}

void Logger::write(std::string_view level, std::string_view event, std::string_view detail) const
{
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto millisecond = now.time_since_epoch().count() % 1'000;
    // One call a line, so that lines of several threads do not mix.
    fmt::print(stderr, "time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} {} event={}{}{}\n",
        fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millisecond, level, m_instance,
        event, detail.empty() ? "" : " ", detail);
}

} // namespace Carawaykeel::Adapters
