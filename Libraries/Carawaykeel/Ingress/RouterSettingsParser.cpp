#include <Carawaykeel/Ingress/RouterSettingsParser.h>

#include <Carawaykeel/Configuration/ObjectReader.h>

namespace Carawaykeel::Ingress {

namespace {

using Configuration::ObjectReader;

constexpr double MillisecondsPerSecond = 1'000;
constexpr double OneHour = 3'600;
constexpr double MostRepeats = 1'000'000;
constexpr std::size_t ShortestKey = 16;

/// Reads a duration in seconds, which may have a fraction.
void readSeconds(ObjectReader &reader, std::string_view key, Base::Milliseconds &value)
{
    const auto fallback = static_cast<double>(value.count()) / MillisecondsPerSecond;
    value = Base::Milliseconds(static_cast<std::int64_t>(
        reader.optionalNumber(key, fallback, 0, OneHour) * MillisecondsPerSecond));
}

void readTime(ObjectReader &reader, std::string_view key, Base::Milliseconds &value)
{
    constexpr std::int64_t OneDay = 86'400'000;
    value = Base::Milliseconds(reader.optionalInteger(key, value.count(), 1, OneDay));
}

void readPeers(ObjectReader reader, RouterSettings &settings)
{
    settings.gossipAddress = reader.requireAddress("gossip_address");
    settings.peerAddress = reader.requireAddress("address");
    settings.seeds = reader.optionalAddresses("seeds");
    settings.peerKey = reader.requireText("key");
    if (settings.peerKey.size() < ShortestKey)
        reader.addFault("key", "at least 16 characters");
    reader.finish();
}

void readRetries(ObjectReader reader, Forwarding::RetryPolicy &policy)
{
    policy.ratio = reader.optionalNumber("ratio", policy.ratio, 0, 1);
    policy.slack = static_cast<int>(reader.optionalNumber("slack", policy.slack, 0, MostRepeats));
    readSeconds(reader, "window_s", policy.window);
    reader.finish();
}

void readAllotments(ObjectReader reader, Budget::AllotmentPolicy &policy)
{
    readTime(reader, "horizon_ms", policy.horizon);
    readTime(reader, "report_interval_ms", policy.reportInterval);
    readTime(reader, "shortest_growth_ms", policy.shortestGrowth);
    readTime(reader, "growth_delay_ms", policy.growthDelay);
    policy.growthFactor = reader.optionalNumber("growth_factor", policy.growthFactor, 0.1, 100);
    policy.openDivisor = reader.optionalInteger("open_divisor", policy.openDivisor, 1, 1'000);
    policy.shareDivisor = reader.optionalInteger("share_divisor", policy.shareDivisor, 1, 1'000);
    reader.finish();
}

void readLog(ObjectReader reader, Logging::LogPolicy &policy)
{
    constexpr std::int64_t BytesPerKilobyte = 1'024;
    policy.linesPerSecond =
        reader.optionalInteger("lines_per_second", policy.linesPerSecond, 1, 1'000'000);
    const auto queued = static_cast<std::int64_t>(policy.queuedBytes) / BytesPerKilobyte;
    policy.queuedBytes = static_cast<std::size_t>(
        reader.optionalInteger("queued_kb", queued, 1, 1'000'000) * BytesPerKilobyte);
    reader.finish();
}

} // namespace

ParsedRouterSettings parseRouterSettings(std::string_view document)
{
    ParsedRouterSettings parsed;
    auto root = ObjectReader::parse(document, parsed.faults);
    if (!parsed.faults.empty())
        return parsed;
    auto &settings = parsed.settings;
    settings.name = Base::InstanceName(root.requireName("name"));
    settings.dataCentre = Base::DataCentre(root.requireName("data_centre"));
    auto callers = root.requireObject("callers");
    settings.callersAddress = callers.requireAddress("address");
    settings.readyAddress = callers.requireAddress("ready_address");
    settings.entryAddress = callers.requireAddress("entry_address");
    readSeconds(callers, "longest_entry_keep_s", settings.entryKeepTime);
    settings.connections =
        static_cast<std::size_t>(callers.optionalInteger("connections", 3'000, 1, 1'000'000));
    callers.finish();
    auto table = root.requireObject("table_service");
    settings.tableAddress = table.requireAddress("address");
    readTime(table, "timeout_ms", settings.tableTimeout);
    table.finish();
    readPeers(root.requireObject("peers"), settings);
    readRetries(root.optionalObject("retries"), settings.retries);
    readAllotments(root.optionalObject("allotments"), settings.allotments);
    settings.metricsAddress = root.optionalAddress("metrics_address");
    readLog(root.optionalObject("log"), settings.log);
    readSeconds(root, "shut_down_limit_s", settings.shutDownLimit);
    root.finish();
    return parsed;
}

} // namespace Carawaykeel::Ingress
