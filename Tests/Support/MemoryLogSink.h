#pragma once

#include <Carawaykeel/Logging/LogSink.h>

#include <algorithm>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Carawaykeel::Tests {

/// Stores log lines in memory, so that tests can inspect them. Thread-safe.
class MemoryLogSink : public Logging::LogSink
{
public:
    void write(Logging::LogPriority, std::string line) override
    {
        const std::lock_guard lock(m_mutex);
        m_lines.push_back(std::move(line));
    }

    std::vector<std::string> lines() const
    {
        const std::lock_guard lock(m_mutex);
        return m_lines;
    }

    bool contains(std::string_view text) const
    {
        const std::lock_guard lock(m_mutex);
        return std::ranges::any_of(
            m_lines, [text](const auto &line) { return line.find(text) != std::string::npos; });
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_lines;
};

} // namespace Carawaykeel::Tests
