#include <Carawaykeel/Configuration/DeclarationParser.h>

#include <Carawaykeel/Configuration/JsonObjectReader.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Carawaykeel::Configuration {

namespace {

constexpr std::int64_t MaxTokens = 1'000'000'000'000'000;
constexpr std::int64_t MaxCapacity = 100'000;
constexpr std::size_t DigestHexLength = 64;

const std::vector<std::string_view> PriorityNames{"urgent", "high", "normal", "low"};
const std::vector<std::string_view> KindNames{"models", "plain"};
const std::vector<std::string_view> RoleNames{"entry", "server"};

/// Reports names that occur more than once.
class UniqueNames
{
public:
    void add(JsonObjectReader &reader, std::string_view key, const std::string &name)
    {
        if (!name.empty() && !m_names.insert(name).second)
            reader.addError(key, "a name that stands only once, not \"" + name + "\" again");
    }
    bool contains(const std::string &name) const { return m_names.contains(name); }

private:
    std::set<std::string> m_names;
};

/// Builds a declaration from a document and validates references between its parts.
class DeclarationBuilder
{
public:
    DeclarationBuilder(Declaration &declaration, ValidationErrors &errors)
        : m_declaration(declaration)
        , m_errors(errors)
    {
    }

    void read(std::string_view document)
    {
        auto root = JsonObjectReader::parse(document, m_errors);
        if (!m_errors.empty())
            return;
        auto rules = root.requireObject("rules");
        for (auto &reader : rules.optionalObjects("budgets"))
            readBudget(reader);
        for (auto &reader : rules.optionalObjects("teams"))
            readTeam(reader);
        for (auto &reader : rules.optionalObjects("services"))
            readService(reader);
        auto inventory = root.requireObject("inventory");
        for (auto &reader : inventory.optionalObjects("vms"))
            readVm(reader);
        readLeavingServers(rules);
        readEvacuatedDataCentres(rules);
        rules.rejectUnknownKeys();
        inventory.rejectUnknownKeys();
        root.rejectUnknownKeys();
    }

private:
    void readBudget(JsonObjectReader &reader)
    {
        BudgetDeclaration budget;
        budget.id = Base::BudgetId(reader.requireName("id"));
        m_budgets.add(reader, "id", budget.id.text());
        UniqueNames ids;
        for (auto &entry : reader.optionalObjects("top_ups")) {
            TopUp topUp;
            topUp.id = Base::TopUpId(entry.requireName("id"));
            ids.add(entry, "id", topUp.id.text());
            topUp.tokens = Base::Tokens(entry.requireInteger("tokens", 1, MaxTokens));
            entry.rejectUnknownKeys();
            budget.topUps.push_back(std::move(topUp));
        }
        reader.rejectUnknownKeys();
        m_declaration.budgets.push_back(std::move(budget));
    }

    void readTeam(JsonObjectReader &reader)
    {
        TeamDeclaration team;
        team.id = Base::TeamId(reader.requireName("id"));
        m_teams.add(reader, "id", team.id.text());
        team.budget = Base::BudgetId(reader.requireName("budget"));
        if (!m_budgets.contains(team.budget.text())) {
            reader.addError(
                "budget", "the id of a declared budget, not \"" + team.budget.text() + "\"");
        }
        for (const auto &digest : reader.optionalStrings("key_sha256")) {
            const bool isDigest = digest.size() == DigestHexLength
                && digest.find_first_not_of("0123456789abcdef") == std::string::npos;
            if (!isDigest) {
                reader.addError("key_sha256", "64 hexadecimal digits in lower case");
            } else if (!m_keyDigests.insert(digest).second) {
                reader.addError("key_sha256", "a key that only one team has");
            }
            team.keyDigests.push_back(digest);
        }
        if (reader.has("priority")) {
            team.priority =
                static_cast<Routing::Priority>(reader.requireChoice("priority", PriorityNames));
        }
        reader.rejectUnknownKeys();
        m_declaration.teams.push_back(std::move(team));
    }

    void readService(JsonObjectReader &reader)
    {
        ServiceDeclaration service;
        service.name = Base::ServiceName(reader.requireName("name"));
        m_services.add(reader, "name", service.name.text());
        service.kind = static_cast<ServiceKind>(reader.requireChoice("kind", KindNames));
        for (const auto &model : reader.optionalStrings("models")) {
            if (!isName(model))
                reader.addError("models", "names of models");
            m_models.add(reader, "models", model);
            service.models.emplace_back(model);
        }
        for (auto &entry : reader.optionalObjects("routes"))
            service.routes.push_back(readRoute(entry));
        const auto tokens = [&](std::string_view key, Base::Tokens fallback, std::int64_t minimum) {
            return Base::Tokens(reader.optionalInteger(key, fallback.count(), minimum, MaxTokens));
        };
        service.tokensPerRequest = tokens("tokens_per_request", service.tokensPerRequest, 0);
        service.tokensPerMinuteLimit = tokens("minute_ceiling", service.tokensPerMinuteLimit, 0);
        service.defaultMaxTokens = tokens("default_max_tokens", service.defaultMaxTokens, 1);
        service.minDefaultMaxTokens = tokens("least_max_tokens", service.minDefaultMaxTokens, 1);
        service.checksFencing = reader.optionalBool("checks_fencing", false);
        service.isUrgent = reader.optionalBool("urgent", false);
        service.supportsAttemptStatus = reader.optionalBool("keeps_attempts", false);
        m_capacities.push_back(
            static_cast<int>(reader.optionalInteger("capacity_per_server", 8, 1, MaxCapacity)));
        if (service.kind == ServiceKind::Models && service.models.empty())
            reader.addError("models", "at least one model");
        reader.rejectUnknownKeys();
        m_declaration.services.push_back(std::move(service));
    }

    static RouteDeclaration readRoute(JsonObjectReader &reader)
    {
        RouteDeclaration route;
        route.method = reader.requireString("method");
        route.pathPrefix = reader.requireString("path");
        route.isIdempotent = reader.optionalBool("idempotent", false);
        if (!route.pathPrefix.starts_with('/'))
            reader.addError("path", "a path that begins with /");
        reader.rejectUnknownKeys();
        return route;
    }

    void readVm(JsonObjectReader &reader)
    {
        const auto name = reader.requireName("name");
        m_vms.add(reader, "name", name);
        const Base::DataCentre dataCentre(reader.requireName("data_centre"));
        m_dataCentres.insert(dataCentre);
        const auto role = reader.requireChoice("role", RoleNames);
        if (role == 0) {
            m_declaration.entryVms.push_back({Base::InstanceName(name), dataCentre});
            return reader.rejectUnknownKeys();
        }
        const auto service = reader.requireName("service");
        const auto address = reader.requireAddress("address");
        m_serverNames.insert(name);
        auto &services = m_declaration.services;
        const auto it = std::find_if(services.begin(), services.end(),
            [&](const ServiceDeclaration &declared) { return declared.name.text() == service; });
        if (it == services.end()) {
            reader.addError("service", "the name of a declared service, not \"" + service + "\"");
        } else {
            const auto capacity = m_capacities.at(static_cast<std::size_t>(it - services.begin()));
            it->servers.push_back({Base::ServerName(name), address, dataCentre, capacity});
        }
        reader.rejectUnknownKeys();
    }

    void readLeavingServers(JsonObjectReader &rules)
    {
        for (const auto &name : rules.optionalStrings("leaving")) {
            if (!m_serverNames.contains(name)) {
                rules.addError(
                    "leaving", "names of servers in the inventory, not \"" + name + "\"");
            }
            m_declaration.leavingServers.emplace_back(name);
        }
    }

    void readEvacuatedDataCentres(JsonObjectReader &rules)
    {
        constexpr std::string_view Key = "evacuated_data_centres";
        for (const auto &name : rules.optionalStrings(Key)) {
            const Base::DataCentre dataCentre(name);
            if (!m_dataCentres.contains(dataCentre)) {
                rules.addError(Key, "names of data centres in the inventory, not \"" + name + "\"");
            }
            m_declaration.evacuatedDataCentres.push_back(dataCentre);
        }
    }

    Declaration &m_declaration;
    ValidationErrors &m_errors;
    UniqueNames m_budgets;
    UniqueNames m_teams;
    UniqueNames m_services;
    UniqueNames m_models;
    UniqueNames m_vms;
    std::set<std::string> m_keyDigests;
    std::set<std::string> m_serverNames;
    std::set<Base::DataCentre> m_dataCentres;
    std::vector<int> m_capacities;
};

} // namespace

ParsedDeclaration parseDeclaration(std::string_view document)
{
    ParsedDeclaration parsed;
    DeclarationBuilder(parsed.declaration, parsed.errors).read(document);
    return parsed;
}

} // namespace Carawaykeel::Configuration
