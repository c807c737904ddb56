#pragma once

#include <string_view>

namespace Carawaykeel::Logging {

/// All events that occur in log lines. docs/OPERATIONS.md documents each of them.
enum class LogEvent {
    Started,
    Leaving,
    Left,
    SettingsReloaded,
    SettingsRefused,
    Request,
    AttemptFailed,
    EntryAnswered,
    EntryPlanChanged,
    ConfigurationInForce,
    ConfigurationUnusable,
    ConfigurationReached,
    ConfigurationLost,
    ConfigurationRequested,
    ConfigurationSent,
    ConfigurationNotSent,
    ServerAnnounced,
    ServerEntryUnusable,
    ServerCrashed,
    PromptPartSuspected,
    PromptPartQuarantined,
    PromptPartSound,
    PromptTrial,
    ServerEntryRemoved,
    ServerLeavingRelayed,
    ServerLeavingAnswered,
    ServerPaused,
    EvacuationChanged,
    EvacuationUnusable,
    ServerCold,
    ServerWarm,
    ColdPermit,
    BufferReclaimed,
    CallerRefused,
    HandlerFailed,
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
    PeerConnectionRefused,
    MetricsUnavailable,
    LinesLeftOut,
};

/// Returns the name of an event in log lines.
std::string_view nameOf(LogEvent event);

} // namespace Carawaykeel::Logging
