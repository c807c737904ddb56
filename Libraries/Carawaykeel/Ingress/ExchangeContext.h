#pragma once

#include <Carawaykeel/Base/BackOff.h>
#include <Carawaykeel/Budget/TokenPurse.h>
#include <Carawaykeel/Forwarding/Dialect.h>
#include <Carawaykeel/Forwarding/RetryWindow.h>
#include <Carawaykeel/Forwarding/RouterConfiguration.h>
#include <Carawaykeel/Forwarding/ServerFleet.h>
#include <Carawaykeel/Ingress/BacklogReports.h>
#include <Carawaykeel/Ingress/RouterMetrics.h>
#include <Carawaykeel/Ingress/ServerConnections.h>
#include <Carawaykeel/Logging/Logger.h>
#include <Carawaykeel/Net/Reactor.h>

#include <memory>

namespace Carawaykeel::Ingress {

/// State that all exchanges of an instance share. The referenced objects outlive the exchanges.
struct ExchangeContext
{
    Net::Reactor &reactor;
    const Forwarding::Dialect &dialect;
    Forwarding::ServerFleet &servers;
    Forwarding::RetryWindow &retries;
    BacklogReports &backlogs;
    RouterMetrics &metrics;
    ServerConnections &connections;
    Budget::TokenPurse &purse;
    const Logging::Logger &log;
    Base::RandomEngine &random;
    /// Null until the first configuration is known.
    std::shared_ptr<const Forwarding::RouterConfiguration> configuration;
    /// True while the instance shuts down.
    bool isClosing = false;
    /// Number of exchanges that have not ended.
    int active = 0;
};

} // namespace Carawaykeel::Ingress
