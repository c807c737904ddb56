#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Tokens.h>
#include <Carawaykeel/Routing/Dispatcher.h>
#include <Carawaykeel/Routing/Priority.h>

#include <string>
#include <vector>

namespace Carawaykeel::Configuration {

/// Tokens added to a budget. Applied once per id, however often it is submitted.
struct TopUp
{
    Base::TopUpId id;
    Base::Tokens tokens;
};

struct BudgetDeclaration
{
    Base::BudgetId id;
    std::vector<TopUp> topUps;
};

struct TeamDeclaration
{
    Base::TeamId id;
    Base::BudgetId budget;
    /// SHA-256 digests of the team's keys in hexadecimal; the keys themselves are never declared.
    std::vector<std::string> keyDigests;
    Routing::Priority priority = Routing::Priority::Normal;
};

/// The kind of back end that a service has.
enum class ServiceKind { Models, Plain };

/// A route of a plain service; declares whether its calls may be retried.
struct RouteDeclaration
{
    std::string method;
    /// Matches all paths that begin with it.
    std::string pathPrefix;
    bool isIdempotent = false;
};

struct ServiceDeclaration
{
    Base::ServiceName name;
    ServiceKind kind = ServiceKind::Plain;
    std::vector<Base::ModelName> models;
    std::vector<RouteDeclaration> routes;
    std::vector<Routing::ServerDefinition> servers;
    /// Cost of one call of a plain service.
    Base::Tokens tokensPerRequest;
    /// Maximum tokens used at the supplier in any minute; zero means no limit.
    Base::Tokens tokensPerMinuteLimit;
    /// Response limit, in tokens, of requests that set none.
    Base::Tokens defaultMaxTokens{1'024};
    /// Lowest limit that such requests are given when the budget runs low.
    Base::Tokens minDefaultMaxTokens{64};
    bool checksFencing = false;
    /// True if requests of this service get at least priority High, whatever the team's priority.
    bool isUrgent = false;
    /// True if the engines report the status of an attempt.
    bool supportsAttemptStatus = false;
};

/// An entry VM from the asset register.
struct EntryVm
{
    Base::InstanceName name;
    Base::DataCentre dataCentre;
};

/// Everything that the operators declare. It is validated as a whole.
struct Declaration
{
    std::vector<BudgetDeclaration> budgets;
    std::vector<TeamDeclaration> teams;
    std::vector<ServiceDeclaration> services;
    std::vector<EntryVm> entryVms;
    std::vector<Base::ServerName> leavingServers;
    std::vector<Base::DataCentre> evacuatedDataCentres;
};

} // namespace Carawaykeel::Configuration
