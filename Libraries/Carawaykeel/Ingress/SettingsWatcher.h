#pragma once

#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Ingress/RouterSettingsParser.h>

#include <functional>
#include <string>

namespace Carawaykeel::Ingress {

/// Reads the settings file again when it has changed, with or without a signal. What cannot be used
/// changes nothing.
class SettingsWatcher
{
public:
    using Listener = std::function<void(const ParsedRouterSettings &)>;

    /// Time between two looks at the file; a change without a signal is in force within it.
    static constexpr Base::Milliseconds PollInterval{2'000};

    /// The document is what the present settings were read from. The listener hears of each change
    /// once, usable or not.
    SettingsWatcher(
        std::string file, std::string document, Base::Scheduler &scheduler, Listener listener);

    /// Begins to look. Call once.
    void start();

    /// Looks now.
    void poll();

private:
    const std::string m_file;
    std::string m_document;
    Base::Scheduler &m_scheduler;
    const Listener m_listener;
};

} // namespace Carawaykeel::Ingress
