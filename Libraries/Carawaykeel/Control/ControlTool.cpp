#include <Carawaykeel/Control/ControlTool.h>

#include <Carawaykeel/Adapters/HttpResponses.h>
#include <Carawaykeel/Control/DeclarationFolder.h>
#include <Carawaykeel/Control/OperatorClient.h>

#include <Poco/JSON/Array.h>
#include <fmt/core.h>
#include <set>
#include <utility>

namespace Carawaykeel::Control {

namespace {

constexpr unsigned JsonIndent = 2;

void printPretty(const Poco::JSON::Object &object)
{
    std::ostringstream stream;
    object.stringify(stream, JsonIndent);
    fmt::print("{}\n", stream.str());
}

/// Prints one line of a diff of two documents.
void printDifference(char sign, const std::string &path, const std::string &value)
{
    fmt::print("{} {} = {}\n", sign, path, value);
}

std::size_t printDifferences(const std::map<std::string, std::string> &before,
    const std::map<std::string, std::string> &after)
{
    std::size_t count = 0;
    for (const auto &[path, value] : before) {
        const auto it = after.find(path);
        if (it != after.end() && it->second == value)
            continue;
        ++count;
        printDifference('-', path, value);
        if (it != after.end())
            printDifference('+', path, it->second);
    }
    for (const auto &[path, value] : after) {
        if (before.contains(path))
            continue;
        ++count;
        printDifference('+', path, value);
    }
    return count;
}

std::string formatInstance(const Poco::JSON::Object::Ptr &member, const std::string &version)
{
    return fmt::format("{:<16} {:<8} {:<22} {:<9} {:<8} version={}",
        member->getValue<std::string>("name"), member->getValue<std::string>("data_centre"),
        member->getValue<std::string>("callers"), member->getValue<std::string>("state"),
        member->getValue<bool>("leaving") ? "leaving" : "serving", version);
}

} // namespace

ExitCode exitCodeFor(Base::ErrorKind kind)
{
    switch (kind) {
    case Base::ErrorKind::VersionConflict:
        return ExitCode::Conflict;
    case Base::ErrorKind::PlatformUnreachable:
    case Base::ErrorKind::InstanceUnreachable:
    case Base::ErrorKind::Internal:
        return ExitCode::Unreachable;
    default:
        return ExitCode::BadInput;
    }
}

ControlTool::ControlTool(ControlOptions options)
    : m_options(std::move(options))
{
}

Base::Result<ExitCode> ControlTool::tryCheck(const std::string &folder)
{
    BOOST_LEAF_AUTO(declarations, tryReadDeclarationFolder(folder));
    const auto &declaration = declarations.parsed.declaration;
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("budgets", declaration.budgets.size());
    object.set("teams", declaration.teams.size());
    object.set("services", declaration.services.size());
    object.set("entry_vms", declaration.entryVms.size());
    if (m_options.isJson) {
        fmt::print("{}\n", Adapters::toJson(object));
    } else {
        fmt::print("{}: holds: {} budgets, {} teams, {} services, {} entry VMs\n", folder,
            declaration.budgets.size(), declaration.teams.size(), declaration.services.size(),
            declaration.entryVms.size());
    }
    return ExitCode::Ok;
}

Base::Result<ExitCode> ControlTool::tryDiff(const std::string &folder)
{
    BOOST_LEAF_AUTO(declarations, tryReadDeclarationFolder(folder));
    const OperatorClient client(m_options.operatorAddress, m_options.operatorKey);
    BOOST_LEAF_AUTO(current, client.tryGet("/admin/configuration"));
    const auto version = current->getValue<Poco::UInt64>("version");
    const auto count = printDifferences(flattenDocument(current->getValue<std::string>("document")),
        flattenDocument(declarations.document));
    fmt::print("# {} differences from version {}\n", count, version);
    return count == 0 ? ExitCode::Ok : ExitCode::Differs;
}

Base::Result<ExitCode> ControlTool::tryApply(
    const std::string &folder, const std::string &operation, std::int64_t baseVersion)
{
    BOOST_LEAF_AUTO(declarations, tryReadDeclarationFolder(folder));
    const OperatorClient client(m_options.operatorAddress, m_options.operatorKey);
    if (baseVersion < 0) {
        BOOST_LEAF_AUTO(current, client.tryGet("/admin/configuration"));
        baseVersion = current->getValue<Poco::Int64>("version");
    }
    Poco::JSON::Object body;
    body.set("document", declarations.document);
    body.set("base_version", baseVersion);
    body.set("operation", operation);
    BOOST_LEAF_AUTO(response, client.tryPost("/admin/configuration", body));
    if (m_options.isJson) {
        fmt::print("{}\n", Adapters::toJson(*response));
    } else {
        fmt::print("version {} accepted\n", response->getValue<Poco::UInt64>("version"));
    }
    return ExitCode::Ok;
}

Base::Result<ExitCode> ControlTool::tryStatus()
{
    const OperatorClient client(m_options.operatorAddress, m_options.operatorKey);
    BOOST_LEAF_AUTO(health, client.tryGet("/admin/health"));
    const auto members = health->getArray("members");
    Poco::JSON::Array instances;
    for (std::size_t n = 0; n < members->size(); ++n) {
        auto member = members->getObject(static_cast<unsigned>(n));
        const OperatorClient memberClient(
            member->getValue<std::string>("operators"), m_options.operatorKey);
        const auto outcome = Base::toOutcome<Poco::JSON::Object::Ptr>(
            [&] { return memberClient.tryGet("/admin/health"); });
        const auto *memberHealth = std::get_if<Poco::JSON::Object::Ptr>(&outcome);
        const auto version =
            memberHealth ? (*memberHealth)->get("version").toString() : std::string("unreachable");
        member->set("version", version);
        instances.add(member);
        if (!m_options.isJson)
            fmt::print("{}\n", formatInstance(member, version));
    }
    BOOST_LEAF_AUTO(current, client.tryGet("/admin/configuration"));
    const auto parsed = Configuration::parseDeclaration(current->getValue<std::string>("document"));
    std::set<std::string> running;
    for (std::size_t n = 0; n < members->size(); ++n)
        running.insert(members->getObject(static_cast<unsigned>(n))->getValue<std::string>("name"));
    Poco::JSON::Array missing;
    for (const auto &vm : parsed.declaration.entryVms) {
        if (running.contains(vm.name.text()))
            continue;
        missing.add(vm.name.text());
        if (!m_options.isJson) {
            fmt::print(
                "{:<16} {:<8} declared, not running\n", vm.name.text(), vm.dataCentre.text());
        }
    }
    if (m_options.isJson) {
        Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
        object.set("instances", instances);
        object.set("declared_not_running", missing);
        fmt::print("{}\n", Adapters::toJson(object));
    }
    return ExitCode::Ok;
}

Base::Result<ExitCode> ControlTool::tryDump()
{
    const OperatorClient client(m_options.operatorAddress, m_options.operatorKey);
    BOOST_LEAF_AUTO(state, client.tryGet("/admin/state"));
    printPretty(*state);
    return ExitCode::Ok;
}

Base::Result<ExitCode> ControlTool::tryTopUp(
    const std::string &budget, const std::string &id, std::int64_t tokens)
{
    const OperatorClient client(m_options.operatorAddress, m_options.operatorKey);
    Poco::JSON::Object body;
    body.set("budget", budget);
    body.set("id", id);
    body.set("tokens", tokens);
    BOOST_LEAF_AUTO(response, client.tryPost("/admin/top-up", body));
    if (m_options.isJson) {
        fmt::print("{}\n", Adapters::toJson(*response));
    } else {
        fmt::print("budget {} has been topped up to {} tokens in all\n", budget,
            response->getValue<Poco::Int64>("topped_up"));
    }
    return ExitCode::Ok;
}

Base::Result<ExitCode> ControlTool::tryBudgets()
{
    const OperatorClient client(m_options.operatorAddress, m_options.operatorKey);
    BOOST_LEAF_AUTO(budgets, client.tryGet("/admin/budgets"));
    printPretty(*budgets);
    return ExitCode::Ok;
}

Base::Result<ExitCode> ControlTool::tryDrain(const std::string &address)
{
    const OperatorClient client(address, m_options.operatorKey);
    BOOST_LEAF_CHECK(client.tryPost("/admin/drain", Poco::JSON::Object()));
    fmt::print("{} is leaving\n", address);
    return ExitCode::Ok;
}

Base::Result<ExitCode> ControlTool::tryEntry(
    const std::string &callerAddress, const std::string &teamKey)
{
    const OperatorClient client(callerAddress, teamKey);
    BOOST_LEAF_AUTO(entry, client.tryGet("/v1/entry"));
    printPretty(*entry);
    return ExitCode::Ok;
}

Base::Result<ExitCode> ControlTool::hashKey(const std::string &key)
{
    fmt::print("{}\n", Adapters::sha256Hex(key));
    return ExitCode::Ok;
}

} // namespace Carawaykeel::Control
