#pragma once

#include <string_view>

namespace Carawaykeel::Logging {

/// The closed list of what log lines tell of; docs/OPERATIONS.md says what each one means.
enum class LogEvent {
    Started,
    Leaving,
    Left,
    SettingsReloaded,
    SettingsRefused,
    Request,
    AttemptFailed,
    EntryAnswered,
    ConfigurationInForce,
    ConfigurationUnusable,
    ConfigurationReached,
    ConfigurationLost,
    ServerAnnounced,
    ServerEntryUnusable,
    ServerEntryRemoved,
    ServerLeavingRelayed,
    ServerListDelivered,
    ServerListReached,
    ServerListLost,
    Prepaid,
    AllotmentClosed,
    AllotmentReportFailed,
    AllotmentOverdrawn,
    AllotmentTableReached,
    AllotmentTableLost,
    InstanceMissed,
    PeerMessageUnexpected,
    MetricsUnavailable,
    LinesLeftOut,
};

/// The name of an event in a log line.
std::string_view nameOf(LogEvent event);

} // namespace Carawaykeel::Logging
