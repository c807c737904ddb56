#include <Carawaykeel/Logging/LogEvent.h>

namespace Carawaykeel::Logging {

std::string_view nameOf(LogEvent event)
{
    switch (event) {
    case LogEvent::Started:
        return "started";
    case LogEvent::Leaving:
        return "leaving";
    case LogEvent::Left:
        return "left";
    case LogEvent::SettingsReloaded:
        return "settings_reloaded";
    case LogEvent::SettingsRefused:
        return "settings_refused";
    case LogEvent::Request:
        return "request";
    case LogEvent::AttemptFailed:
        return "attempt_failed";
    case LogEvent::EntryPlanChanged:
        return "entry_plan_changed";
    case LogEvent::EntryAnswered:
        return "entry_answered";
    case LogEvent::ConfigurationInForce:
        return "configuration_in_force";
    case LogEvent::ConfigurationUnusable:
        return "configuration_unusable";
    case LogEvent::ConfigurationReached:
        return "configuration_reached";
    case LogEvent::ConfigurationLost:
        return "configuration_lost";
    case LogEvent::ConfigurationRequested:
        return "configuration_requested";
    case LogEvent::ConfigurationSent:
        return "configuration_sent";
    case LogEvent::ConfigurationNotSent:
        return "configuration_not_sent";
    case LogEvent::ServerAnnounced:
        return "server_announced";
    case LogEvent::ServerEntryUnusable:
        return "server_entry_unusable";
    case LogEvent::ServerCrashed:
        return "server_crashed";
    case LogEvent::PromptPartSuspected:
        return "prompt_part_suspected";
    case LogEvent::PromptPartQuarantined:
        return "prompt_part_quarantined";
    case LogEvent::PromptPartSound:
        return "prompt_part_sound";
    case LogEvent::PromptTrial:
        return "prompt_trial";
    case LogEvent::ServerEntryRemoved:
        return "server_entry_removed";
    case LogEvent::ServerLeavingRelayed:
        return "server_leaving_relayed";
    case LogEvent::ServerLeavingAnswered:
        return "server_leaving_answered";
    case LogEvent::ServerPaused:
        return "server_paused";
    case LogEvent::EvacuationChanged:
        return "evacuation_changed";
    case LogEvent::EvacuationUnusable:
        return "evacuation_unusable";
    case LogEvent::ServerCold:
        return "server_cold";
    case LogEvent::ServerWarm:
        return "server_warm";
    case LogEvent::ColdPermit:
        return "cold_permit";
    case LogEvent::BufferReclaimed:
        return "buffer_reclaimed";
    case LogEvent::HandlerFailed:
        return "handler_failed";
    case LogEvent::ServerListDelivered:
        return "server_list_delivered";
    case LogEvent::ServerListReached:
        return "server_list_reached";
    case LogEvent::ServerListLost:
        return "server_list_lost";
    case LogEvent::Prepaid:
        return "prepaid";
    case LogEvent::AllotmentClosed:
        return "allotment_closed";
    case LogEvent::AllotmentReportFailed:
        return "allotment_report_failed";
    case LogEvent::AllotmentOverdrawn:
        return "allotment_overdrawn";
    case LogEvent::AllotmentTableReached:
        return "allotment_table_reached";
    case LogEvent::AllotmentTableLost:
        return "allotment_table_lost";
    case LogEvent::InstanceMissed:
        return "instance_missed";
    case LogEvent::PeerMessageUnexpected:
        return "peer_message_unexpected";
    case LogEvent::PeerConnectionRefused:
        return "peer_connection_refused";
    case LogEvent::MetricsUnavailable:
        return "metrics_unavailable";
    case LogEvent::LinesLeftOut:
        return "lines_left_out";
    }
    return "unknown";
}

} // namespace Carawaykeel::Logging
