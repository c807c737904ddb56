#pragma once

#include <Carawaykeel/Base/InstanceId.h>

#include <string>
#include <string_view>

namespace Carawaykeel::Adapters {

/// Writes one line to standard error for each change of state, as key=value pairs. Counters tell
/// the rest. Any thread may call it.
class Logger
{
public:
    explicit Logger(const Base::InstanceId &instance);

    void info(std::string_view event, std::string_view detail = {}) const;
    void warn(std::string_view event, std::string_view detail = {}) const;

private:
    void write(std::string_view level, std::string_view event, std::string_view detail) const;

    const std::string m_instance;
};

} // namespace Carawaykeel::Adapters
