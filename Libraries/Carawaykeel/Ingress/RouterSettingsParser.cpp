#include <Carawaykeel/Ingress/RouterSettingsParser.h>

#include <Carawaykeel/Entries/EntrySelection.h>

#include <Carawaykeel/Configuration/JsonObjectReader.h>

namespace Carawaykeel::Ingress {

namespace {

using Configuration::JsonObjectReader;

constexpr double MillisecondsPerSecond = 1'000;
constexpr double OneHourInSeconds = 3'600;
constexpr double MaxRetrySlack = 1'000'000;
constexpr std::size_t MinKeyLength = 16;
constexpr std::int64_t IgnoredMaximum = 86'400'000;

/// Reads a duration in seconds, which may have a fraction.
void readSeconds(JsonObjectReader &reader, std::string_view key, Base::Milliseconds &value)
{
    const auto fallback = static_cast<double>(value.count()) / MillisecondsPerSecond;
    value = Base::Milliseconds(static_cast<std::int64_t>(
        reader.optionalNumber(key, fallback, 0, OneHourInSeconds) * MillisecondsPerSecond));
}

void readMilliseconds(JsonObjectReader &reader, std::string_view key, Base::Milliseconds &value)
{
    constexpr std::int64_t OneDayInMilliseconds = 86'400'000;
    value = Base::Milliseconds(reader.optionalInteger(key, value.count(), 1, OneDayInMilliseconds));
}

void readPeers(JsonObjectReader reader, RouterSettings &settings)
{
    settings.gossipAddress = reader.requireAddress("gossip_address");
    settings.peerAddress = reader.requireAddress("address");
    settings.seeds = reader.optionalAddresses("seeds");
    settings.peerKey = reader.requireString("key");
    if (settings.peerKey.size() < MinKeyLength)
        reader.addError("key", "at least 16 characters");
    reader.rejectUnknownKeys();
}

void readVm(JsonObjectReader reader, RouterSettings &settings)
{
    constexpr double MaxCores = 1'024;
    constexpr double MaxLinkMbps = 1'000'000;
    const auto coreShare = reader.optionalNumber("core_share", 0, 0, MaxCores);
    const auto linkMbps = reader.optionalNumber("link_mbps", 0, 0, MaxLinkMbps);
    settings.linkMbps = linkMbps;
    settings.capacity = Entries::estimateCapacity(coreShare, linkMbps);
    constexpr std::int64_t MinMemoryMegabytes = 16;
    constexpr std::int64_t MaxMemoryMegabytes = 1'048'576;
    constexpr double BytesPerMegabyte = 1'024 * 1'024;
    const auto memoryMegabytes = reader.optionalInteger("memory_mb",
        RouterSettings::DefaultMemoryMegabytes, MinMemoryMegabytes, MaxMemoryMegabytes);
    const auto bufferShare = reader.optionalNumber(
        "buffer_share", 1.0 / RouterSettings::DefaultBufferDivisor, 0.05, 0.8);
    settings.bufferLimit = static_cast<std::size_t>(
        static_cast<double>(memoryMegabytes) * BytesPerMegabyte * bufferShare);
    settings.residentLimit = static_cast<std::size_t>(memoryMegabytes) * 1'024 * 1'024
        / RouterSettings::ResidentDivisor * RouterSettings::ResidentFactor;
    constexpr std::int64_t MinDescriptors = 128;
    constexpr std::int64_t MaxDescriptors = 1'048'576;
    // Without the setting, the limit of the process counts.
    settings.maxDescriptors = static_cast<std::size_t>(
        reader.optionalInteger("max_descriptors", 0, MinDescriptors, MaxDescriptors));
    reader.rejectUnknownKeys();
}

void readRetries(JsonObjectReader reader, Forwarding::RetryBudgetPolicy &policy)
{
    policy.ratio = reader.optionalNumber("ratio", policy.ratio, 0, 1);
    policy.slack = static_cast<int>(reader.optionalNumber("slack", policy.slack, 0, MaxRetrySlack));
    readSeconds(reader, "window_s", policy.window);
    reader.rejectUnknownKeys();
}

void readColdServers(JsonObjectReader reader, std::optional<Forwarding::ColdServerPolicy> &policy)
{
    constexpr double MaxOverFactor = 100;
    constexpr double MaxSlack = 1'000'000;
    policy.emplace();
    policy->overFactor = reader.optionalNumber("over_factor", policy->overFactor, 0, MaxOverFactor);
    policy->slack = reader.optionalNumber("slack", policy->slack, 0, MaxSlack);
    reader.rejectUnknownKeys();
}

void readAllotments(JsonObjectReader reader, Budget::AllotmentPolicy &policy)
{
    readMilliseconds(reader, "horizon_ms", policy.horizon);
    readMilliseconds(reader, "report_interval_ms", policy.reportInterval);
    readMilliseconds(reader, "growth_delay_ms", policy.growthDelay);
    readMilliseconds(reader, "growth_wait_ms", policy.maxGrowthWait);
    policy.growthFactor = reader.optionalNumber("growth_factor", policy.growthFactor, 0.1, 100);
    policy.floorDivisor =
        reader.optionalInteger("floor_divisor", policy.floorDivisor, 1, 1'000'000);
    policy.shareDivisor = reader.optionalInteger("share_divisor", policy.shareDivisor, 1, 1'000);
    // Have no effect any more; accepted so that settings of earlier versions stay valid.
    reader.optionalInteger("shortest_growth_ms", 1, 0, IgnoredMaximum);
    reader.optionalInteger("open_divisor", 1, 0, IgnoredMaximum);
    reader.rejectUnknownKeys();
}

void readLog(JsonObjectReader reader, Logging::LogLimits &limits)
{
    constexpr std::int64_t BytesPerKilobyte = 1'024;
    limits.maxLinesPerSecond =
        reader.optionalInteger("lines_per_second", limits.maxLinesPerSecond, 1, 1'000'000);
    const auto queuedKilobytes =
        static_cast<std::int64_t>(limits.maxQueuedBytes) / BytesPerKilobyte;
    limits.maxQueuedBytes = static_cast<std::size_t>(
        reader.optionalInteger("queued_kb", queuedKilobytes, 1, 1'000'000) * BytesPerKilobyte);
    reader.rejectUnknownKeys();
}

} // namespace

ParsedRouterSettings parseRouterSettings(std::string_view document)
{
    ParsedRouterSettings parsed;
    auto root = JsonObjectReader::parse(document, parsed.errors);
    if (!parsed.errors.empty())
        return parsed;
    auto &settings = parsed.settings;
    settings.name = Base::InstanceName(root.requireName("name"));
    settings.dataCentre = Base::DataCentre(root.requireName("data_centre"));
    auto callers = root.requireObject("callers");
    settings.callerAddress = callers.requireAddress("address");
    settings.readinessAddress = callers.requireAddress("ready_address");
    settings.entryAddress = callers.requireAddress("entry_address");
    readSeconds(callers, "longest_entry_keep_s", settings.entryCacheTime);
    settings.maxConnections =
        static_cast<std::size_t>(callers.optionalInteger("connections", 3'000, 1, 1'000'000));
    readSeconds(callers, "longest_unread_s", settings.unreadTimeout);
    callers.rejectUnknownKeys();
    auto table = root.requireObject("table_service");
    settings.tableAddress = table.requireAddress("address");
    readMilliseconds(table, "timeout_ms", settings.tableTimeout);
    table.rejectUnknownKeys();
    readPeers(root.requireObject("peers"), settings);
    readVm(root.optionalObject("vm"), settings);
    readRetries(root.optionalObject("retries"), settings.retries);
    if (root.has("cold_servers"))
        readColdServers(root.optionalObject("cold_servers"), settings.coldServers);
    readAllotments(root.optionalObject("allotments"), settings.allotments);
    settings.metricsAddress = root.optionalAddress("metrics_address");
    readLog(root.optionalObject("log"), settings.log);
    readSeconds(root, "shut_down_limit_s", settings.shutdownTimeout);
    root.rejectUnknownKeys();
    return parsed;
}

} // namespace Carawaykeel::Ingress
