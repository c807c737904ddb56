#pragma once

#include <Carawaykeel/Base/ExponentialBackoff.h>
#include <Carawaykeel/Forwarding/KnownServer.h>

#include <optional>
#include <span>
#include <vector>

namespace Carawaykeel::Forwarding {

/// A server that may get a request, with the work that is ahead of it there.
struct ServerWork
{
    const KnownServer *server = nullptr;
    /// Estimated number of requests at the server.
    double requests = 0;
    /// Prompt tokens to be processed before the request's, with the server's other work as an
    /// equivalent number of tokens. Only set for a request with a prompt.
    double tokensAhead = 0;
    /// The request's own tokens to be processed, and a penalty for parts that would be cached
    /// twice.
    double uncachedTokens = 0;
    double penaltyTokens = 0;
    /// Costs in requests, such as those of another data centre and of failures. They only count for
    /// a request without a prompt.
    double penaltyRequests = 0;
};

/// Properties of the request whose completion is estimated.
struct RequestWork
{
    bool hasPrompt = false;
    /// Tokens to be expected in the response; empty when unknown.
    std::optional<double> responseTokens;
};

/// Estimates when servers would complete a request, and chooses among the best. Used for services
/// whose servers report their work time.
class CompletionTime
{
public:
    /// Number of servers that are drawn for a request without a prompt; it goes to the best of
    /// them. Drawing spreads the requests of many instances that know the same late reports, and a
    /// few samples already avoid most of the slow servers (Mitzenmacher 2001).
    static constexpr int Samples = 3;

    explicit CompletionTime(Base::RandomEngine &random);

    /// Returns the server to send the request to. There must be at least one.
    const KnownServer *selectServer(
        std::span<const ServerWork> servers, const RequestWork &request, Base::Milliseconds now);

    /// Returns the milliseconds until each server would have completed the request. `trust` is
    /// the trust in the last reported work times, from 0 to 1.
    std::vector<double> estimate(std::span<const ServerWork> servers, const RequestWork &request,
        Base::Milliseconds now, double trust = 1) const;

private:
    Base::RandomEngine &m_random;
};

} // namespace Carawaykeel::Forwarding
