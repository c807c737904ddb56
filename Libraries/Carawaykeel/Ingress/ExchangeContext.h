#pragma once

#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Budget/TokenBudget.h>
#include <Carawaykeel/Forwarding/Dialect.h>
#include <Carawaykeel/Forwarding/RetryBudget.h>
#include <Carawaykeel/Forwarding/RouterConfiguration.h>
#include <Carawaykeel/Forwarding/ServerPool.h>
#include <Carawaykeel/Ingress/BacklogBroadcaster.h>
#include <Carawaykeel/Ingress/RouterMetrics.h>
#include <Carawaykeel/Ingress/ServerConnectionPool.h>
#include <Carawaykeel/Logging/Logger.h>
#include <Carawaykeel/Net/Reactor.h>

#include <memory>

namespace Carawaykeel::Ingress {

/// What all exchanges of an instance share. Borrowed references; they outlive the exchanges.
struct ExchangeContext
{
    Net::Reactor &reactor;
    const Forwarding::Dialect &dialect;
    Forwarding::ServerPool &servers;
    Forwarding::RetryBudget &retries;
    BacklogBroadcaster &backlogBroadcaster;
    RouterMetrics &metrics;
    ServerConnectionPool &connections;
    Budget::TokenBudget &purse;
    const Logging::Logger &log;
    Base::RandomEngine &random;
    /// Null until the first configuration is known.
    std::shared_ptr<const Forwarding::RouterConfiguration> configuration;
    /// New requests are refused.
    bool isRejectingRequests = false;
    /// Exchanges that have not ended.
    int activeExchanges = 0;
};

} // namespace Carawaykeel::Ingress
