#include <Carawaykeel/Adapters/SettingsParser.h>

#include <Carawaykeel/Configuration/JsonObjectReader.h>

#include <cstdlib>
#include <fstream>
#include <iterator>

namespace Carawaykeel::Adapters {

namespace {

using Configuration::JsonObjectReader;

constexpr std::int64_t MillisecondsPerDay = 86'400'000;
constexpr std::int64_t OneGibibyte = 1'073'741'824;
constexpr std::size_t MinKeyLength = 16;

void readTime(JsonObjectReader &reader, std::string_view key, Base::Milliseconds &value,
    std::int64_t minimum = 1)
{
    value =
        Base::Milliseconds(reader.optionalInteger(key, value.count(), minimum, MillisecondsPerDay));
}

void readSize(JsonObjectReader &reader, std::string_view key, std::size_t &value)
{
    value = static_cast<std::size_t>(
        reader.optionalInteger(key, static_cast<std::int64_t>(value), 1, OneGibibyte));
}

std::string readFirstLine(const std::string &file)
{
    std::ifstream stream(file);
    std::string line;
    std::getline(stream, line);
    return line;
}

/// Reads a key from the file or the environment variable that the settings name.
std::string readKey(JsonObjectReader &reader)
{
    const auto file = reader.optionalString("key_file", "");
    const auto variable = reader.optionalString("key_env", "");
    if (file.empty() == variable.empty()) {
        reader.addError("key_file", "either key_file or key_env");
        return {};
    }
    const auto *value = variable.empty() ? nullptr : std::getenv(variable.c_str());
    auto key = file.empty() ? std::string(value ? value : "") : readFirstLine(file);
    if (key.size() < MinKeyLength) {
        reader.addError(
            file.empty() ? "key_env" : "key_file", "a key of at least 16 characters there");
    }
    return key;
}

bool isReadable(const std::string &file)
{
    return std::ifstream(file).good();
}

TlsSettings readTls(JsonObjectReader &reader)
{
    TlsSettings tls;
    if (!reader.has("tls"))
        return tls;
    auto section = reader.requireObject("tls");
    tls.certificateFile = section.requireString("certificate_file");
    tls.privateKeyFile = section.requireString("private_key_file");
    if (!isReadable(tls.certificateFile))
        section.addError("certificate_file", "a file that can be read");
    if (!isReadable(tls.privateKeyFile))
        section.addError("private_key_file", "a file that can be read");
    section.rejectUnknownKeys();
    return tls;
}

void readPeers(JsonObjectReader reader, DaemonSettings &settings)
{
    auto &self = settings.instance.self;
    self.peerAddress = reader.requireAddress("address");
    self.gossipAddress = reader.requireAddress("gossip_address");
    settings.instance.seeds = reader.optionalAddresses("seeds");
    settings.peerKey = readKey(reader);
    reader.rejectUnknownKeys();
}

void readPlatform(JsonObjectReader reader, PlatformSettings &platform)
{
    platform.address = reader.requireAddress("address");
    platform.key = readKey(reader);
    readTime(reader, "timeout_ms", platform.timeout);
    readTime(reader, "vm_list_interval_ms", platform.vmListInterval);
    platform.connections =
        static_cast<int>(reader.optionalInteger("connections", platform.connections, 1, 64));
    platform.isVmListAuthoritative =
        reader.optionalBool("believe_vm_list", platform.isVmListAuthoritative);
    reader.rejectUnknownKeys();
}

void readLimits(JsonObjectReader reader, LimitSettings &limits)
{
    readSize(reader, "body_bytes", limits.bodyBytes);
    readSize(reader, "header_bytes", limits.headerBytes);
    readSize(reader, "answer_bytes", limits.responseBytes);
    readSize(reader, "frame_bytes", limits.frameBytes);
    limits.connections =
        static_cast<int>(reader.optionalInteger("connections", limits.connections, 8, 20'000));
    readTime(reader, "receive_timeout_ms", limits.receiveTimeout);
    readTime(reader, "backend_timeout_ms", limits.backendTimeout);
    readTime(reader, "connect_timeout_ms", limits.connectTimeout);
    readTime(reader, "patience_ms", limits.queueTimeout);
    readTime(reader, "bill_patience_ms", limits.billTimeout);
    reader.rejectUnknownKeys();
}

void readBudget(JsonObjectReader reader, Budget::BudgetPolicy &policy)
{
    readTime(reader, "horizon_ms", policy.horizon);
    readTime(reader, "flush_interval_ms", policy.flushInterval);
    readTime(reader, "witness_timeout_ms", policy.witnessTimeout);
    readTime(reader, "grant_deadline_ms", policy.grantTimeout);
    readTime(reader, "idle_return_ms", policy.idleReturn);
    readTime(reader, "reservation_expiry_ms", policy.reservationExpiry);
    readTime(reader, "reclaim_interval_ms", policy.reclaimInterval);
    policy.shareDivisor = reader.optionalInteger("share_divisor", policy.shareDivisor, 2, 1'000);
    policy.minGrantSize = Base::Tokens(
        reader.optionalInteger("smallest_grant", policy.minGrantSize.count(), 1, 1'000'000'000));
    reader.rejectUnknownKeys();
}

void readMembership(JsonObjectReader reader, Membership::MembershipPolicy &policy)
{
    readTime(reader, "probe_period_ms", policy.probePeriod);
    readTime(reader, "probe_timeout_ms", policy.probeTimeout);
    readTime(reader, "suspicion_ms", policy.suspicionTimeout);
    if (policy.probeTimeout >= policy.probePeriod)
        reader.addError("probe_timeout_ms", "less than probe_period_ms");
    reader.rejectUnknownKeys();
}

} // namespace

ParsedSettings parseSettings(std::string_view document)
{
    ParsedSettings parsed;
    auto root = JsonObjectReader::parse(document, parsed.errors);
    if (!parsed.errors.empty())
        return parsed;
    auto &settings = parsed.settings;
    auto &self = settings.instance.self;
    self.id.name = Base::InstanceName(root.requireName("name"));
    self.vm = root.optionalString("vm", self.id.name.text());
    self.dataCentre = Base::DataCentre(root.requireName("data_centre"));
    auto callers = root.requireObject("callers");
    settings.callers.address = callers.requireAddress("address");
    settings.callers.tls = readTls(callers);
    callers.rejectUnknownKeys();
    auto operators = root.requireObject("operators");
    settings.operators.address = operators.requireAddress("address");
    settings.operators.tls = readTls(operators);
    settings.operators.key = readKey(operators);
    operators.rejectUnknownKeys();
    self.callerAddress = settings.callers.address;
    self.operatorAddress = settings.operators.address;
    readPeers(root.requireObject("peers"), settings);
    readPlatform(root.requireObject("platform"), settings.platform);
    readLimits(root.optionalObject("limits"), settings.limits);
    readBudget(root.optionalObject("budget"), settings.instance.budget);
    readMembership(root.optionalObject("membership"), settings.instance.membership);
    readTime(root, "configuration_interval_ms", settings.instance.configurationInterval);
    readTime(root, "entry_keep_ms", settings.instance.entryCacheTime);
    readTime(root, "shut_down_limit_ms", settings.shutDownLimit);
    settings.instance.instancesPerTeam =
        static_cast<std::size_t>(root.optionalInteger("team_subset", 3, 1, 1'000));
    root.rejectUnknownKeys();
    return parsed;
}

} // namespace Carawaykeel::Adapters
