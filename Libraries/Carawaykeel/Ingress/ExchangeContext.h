#pragma once

#include <Carawaykeel/Base/CancellableTimers.h>
#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Budget/TokenBudget.h>
#include <Carawaykeel/Forwarding/Dialect.h>
#include <Carawaykeel/Forwarding/RetryBudget.h>
#include <Carawaykeel/Forwarding/RouterConfiguration.h>
#include <Carawaykeel/Forwarding/ServerPool.h>
#include <Carawaykeel/Ingress/BacklogBroadcaster.h>
#include <Carawaykeel/Ingress/BufferAccount.h>
#include <Carawaykeel/Ingress/DelayAccount.h>
#include <Carawaykeel/Ingress/PromptGuard.h>
#include <Carawaykeel/Ingress/RouterMetrics.h>
#include <Carawaykeel/Ingress/ServerConnectionPool.h>
#include <Carawaykeel/Logging/Logger.h>
#include <Carawaykeel/Net/Reactor.h>

#include <memory>

namespace Carawaykeel::Ingress {

/// State that all exchanges of an instance share. The referenced objects outlive the exchanges.
struct ExchangeContext
{
    Net::Reactor &reactor;
    const Forwarding::Dialect &dialect;
    Forwarding::ServerPool &serverPool;
    Forwarding::RetryBudget &retryBudget;
    BacklogBroadcaster &backlogBroadcaster;
    PromptGuard &promptGuard;
    RouterMetrics &metrics;
    ServerConnectionPool &serverConnections;
    BufferAccount &buffers;
    Budget::TokenBudget &tokenBudget;
    const Logging::Logger &log;
    Base::RandomEngine &random;
    /// Null until the first configuration is known.
    std::shared_ptr<const Forwarding::RouterConfiguration> configuration;
    /// Set late in the shutdown; new requests are then rejected.
    bool isRejectingRequests = false;
    /// Number of exchanges that have not ended.
    int activeExchanges = 0;
    /// Number of requests since the start.
    std::uint64_t startedExchanges = 0;
    /// Number of requests that were rejected because only cold servers without room were left.
    std::uint64_t heldBackRequests = 0;
    DelayAccount delays = {};
    /// Expected and measured times of the served attempts that had an expected time. The expected
    /// times are in milliseconds.
    double expectedTimeTotal = 0;
    Base::Milliseconds measuredTimeTotal = {};
    /// Timeouts of the exchanges.
    Base::CancellableTimers timers{reactor};
};

} // namespace Carawaykeel::Ingress
