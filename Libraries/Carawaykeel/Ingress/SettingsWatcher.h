#pragma once

#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Ingress/RouterSettingsParser.h>

#include <functional>
#include <string>

namespace Carawaykeel::Ingress {

/// Reads the settings file again when its content has changed, which polling detects even without a
/// signal.
class SettingsWatcher
{
public:
    using Listener = std::function<void(const ParsedRouterSettings &)>;

    /// A change without a signal takes effect within this time.
    static constexpr Base::Milliseconds PollInterval{2'000};

    /// `document` is the content that the current settings were read from. The listener is called
    /// once for each change, also for settings with errors, which it must not apply.
    SettingsWatcher(
        std::string file, std::string document, Base::Scheduler &scheduler, Listener listener);

    /// Starts polling. Call once.
    void start();

    /// Reads the file now.
    void poll();

private:
    const std::string m_file;
    std::string m_document;
    Base::Scheduler &m_scheduler;
    const Listener m_listener;
};

} // namespace Carawaykeel::Ingress
