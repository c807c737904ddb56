#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Budget/BudgetPolicy.h>
#include <Carawaykeel/Membership/Member.h>
#include <Carawaykeel/Membership/MembershipPolicy.h>
#include <Carawaykeel/Routing/RoutingPolicy.h>

#include <string>
#include <vector>

namespace Carawaykeel::Instance {

/// The settings of one instance's decision logic.
struct InstanceSettings
{
    Membership::Member self;
    /// Gossip addresses of some other instances.
    std::vector<std::string> seeds;
    Budget::BudgetPolicy budget;
    Membership::MembershipPolicy membership;
    Routing::RoutingPolicy routing;
    /// Maximum interval between reads of the configuration row in the table.
    Base::Milliseconds configurationInterval{1'000};
    /// How long callers may cache a response of GET /v1/entry; a leaving instance accepts requests
    /// for this long.
    Base::Milliseconds entryCacheTime{5'000};
    /// Number of instances that a team's callers are directed to.
    std::size_t instancesPerTeam = 3;
    /// Secret for signing the request ids that this incarnation issues.
    std::string requestIdSecret;
    Base::Milliseconds requestIdValidity{600'000};
};

} // namespace Carawaykeel::Instance
