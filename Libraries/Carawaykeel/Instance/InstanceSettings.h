#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Budget/BudgetPolicy.h>
#include <Carawaykeel/Membership/Member.h>
#include <Carawaykeel/Membership/MembershipPolicy.h>
#include <Carawaykeel/Routing/RoutingPolicy.h>

#include <string>
#include <vector>

namespace Carawaykeel::Instance {

/// What the decisions of one instance are set up with.
struct InstanceSettings
{
    Membership::Member self;
    /// Gossip addresses of some other instances.
    std::vector<std::string> seeds;
    Budget::BudgetPolicy budget;
    Membership::MembershipPolicy membership;
    Routing::RoutingPolicy routing;
    /// The platform's configuration row is read at least this often.
    Base::Milliseconds configurationInterval{1'000};
    /// How long callers keep an answer of GET /v1/entry; a leaving instance serves that long.
    Base::Milliseconds entryCacheTime{5'000};
    /// Instances that a team's callers are sent to.
    std::size_t instancesPerTeam = 3;
    /// Secret of the ids that this life mints.
    std::string requestIdSecret;
    Base::Milliseconds requestIdValidity{600'000};
};

} // namespace Carawaykeel::Instance
