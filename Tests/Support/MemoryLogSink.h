#pragma once

#include <Carawaykeel/Logging/LogSink.h>

#include <mutex>
#include <string>
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

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_lines;
};

} // namespace Carawaykeel::Tests
