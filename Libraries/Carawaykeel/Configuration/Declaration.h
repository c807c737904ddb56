#pragma once

#include <Carawaykeel/Base/Identifier.h>
#include <Carawaykeel/Base/Tokens.h>
#include <Carawaykeel/Routing/Dispatcher.h>
#include <Carawaykeel/Routing/Priority.h>

#include <string>
#include <vector>

namespace Carawaykeel::Configuration {

/// Tokens added to a budget once, whoever says so how often.
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
    /// SHA-256 of the team's key, in hexadecimal digits; the key itself is never declared.
    std::vector<std::string> keyDigests;
    Routing::Priority priority = Routing::Priority::Normal;
};

/// What kind of back end a service has.
enum class ServiceKind { Models, Plain };

/// A route of a plain service whose calls may or may not be repeated.
struct RouteDeclaration
{
    std::string method;
    /// Paths that begin with this.
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
    /// What a call of a plain service costs the team.
    Base::Tokens tokensPerRequest;
    /// The supplier's busiest minute may not pass this; zero means no ceiling.
    Base::Tokens tokensPerMinuteLimit;
    /// The answer's limit where the caller gives none.
    Base::Tokens defaultMaxTokens{1'024};
    /// The least that a caller without a limit is served with when the budget runs low.
    Base::Tokens minDefaultMaxTokens{64};
    bool checksFencing = false;
    /// True when a request of this service goes before all others of its team's priority.
    bool isUrgent = false;
    /// True when the engines answer what became of an attempt.
    bool supportsAttemptStatus = false;
};

/// An entry VM of the asset register.
struct EntryVm
{
    Base::InstanceName name;
    Base::DataCentre dataCentre;
};

/// Everything the operators declare, checked whole.
struct Declaration
{
    std::vector<BudgetDeclaration> budgets;
    std::vector<TeamDeclaration> teams;
    std::vector<ServiceDeclaration> services;
    std::vector<EntryVm> entryVms;
    /// Backend servers that are leaving.
    std::vector<Base::ServerName> leavingServers;
};

} // namespace Carawaykeel::Configuration
