#include <Carawaykeel/Forwarding/CompletionTime.h>

#include <algorithm>
#include <random>

namespace Carawaykeel::Forwarding {

namespace {

/// Times of a service none of whose servers has served a request yet, in milliseconds. Only their
/// ratio matters then, since they are the same for all servers.
constexpr double DefaultRequestTime = 100;
constexpr double DefaultPromptTokenTime = 0.02;
constexpr double DefaultResponseTokenTime = 10;
/// Range of the trust in the last report of the work time. It differs from choice to choice, so
/// that instances which know the same late report choose different servers.
constexpr double MinTrust = 0.6;
/// Random addition to the estimate for a prompt, as a part of its waiting and processing time.
constexpr double PromptNoise = 0.1;

/// Weight of the time in which a server generates the response. Callers of streams wait for the
/// first event; at full weight a server that generates faster outweighs one that has the prompt
/// cached.
constexpr double ResponseTimeWeight = 0.02;

using Figure = std::optional<double> (LearnedSpeed::*)() const;

/// Returns the middle of what the servers have; the fallback if none has the figure.
double medianOf(std::span<const ServerWork> servers, Figure figure, double fallback)
{
    std::vector<double> values;
    for (const auto &work : servers) {
        if (const auto value = (work.server->speed.*figure)())
            values.push_back(*value);
    }
    if (values.empty())
        return fallback;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

} // namespace

CompletionTime::CompletionTime(Base::RandomEngine &random)
    : m_random(random)
{
}

std::vector<double> CompletionTime::estimate(std::span<const ServerWork> servers,
    const RequestWork &request, Base::Milliseconds now, double trust) const
{
    const auto requestTime = medianOf(servers, &LearnedSpeed::requestTime, DefaultRequestTime);
    const auto promptTokenTime =
        medianOf(servers, &LearnedSpeed::promptTokenTime, DefaultPromptTokenTime);
    const auto responseTokenTime =
        medianOf(servers, &LearnedSpeed::responseTokenTime, DefaultResponseTokenTime);
    const auto responseTokens =
        request.responseTokens.value_or(medianOf(servers, &LearnedSpeed::responseTokens, 0));
    std::vector<double> times;
    for (const auto &work : servers) {
        const auto &speed = work.server->speed;
        const auto slots = std::max(work.server->entry.slots, 1);
        double time = 0;
        if (request.hasPrompt) {
            const auto queued = std::max(work.requests + 1 - slots, 0.0);
            time = (work.tokensAhead + work.uncachedTokens + work.penaltyTokens)
                    * speed.promptTokenTime().value_or(promptTokenTime)
                + ResponseTimeWeight * responseTokens
                    * speed.responseTokenTime().value_or(responseTokenTime)
                + queued / slots * speed.requestTime().value_or(requestTime);
        } else {
            time = speed.requestTime().value_or(requestTime)
                * (1 + (work.requests + work.penaltyRequests) / slots);
        }
        times.push_back(time * speed.slowdownAt(now, trust));
    }
    return times;
}

const KnownServer *CompletionTime::selectServer(
    std::span<const ServerWork> servers, const RequestWork &request, Base::Milliseconds now)
{
    std::uniform_real_distribution<double> trust(MinTrust, 1);
    auto times = estimate(servers, request, now, trust(m_random));
    if (request.hasPrompt) {
        // Sampling would lose the cached parts; peers' backlogs keep instances apart here.
        std::uniform_real_distribution<double> noise(0, PromptNoise);
        const auto tokenTime =
            medianOf(servers, &LearnedSpeed::promptTokenTime, DefaultPromptTokenTime);
        for (std::size_t n = 0; n < servers.size(); ++n) {
            times[n] +=
                noise(m_random) * (servers[n].tokensAhead + servers[n].uncachedTokens) * tokenTime;
        }
        return servers[static_cast<std::size_t>(std::ranges::min_element(times) - times.begin())]
            .server;
    }
    // A server that responds within the clock's resolution still has a finite speed.
    constexpr double MinTime = 1e-3;
    const auto fastest = std::max(*std::ranges::min_element(times), MinTime);
    std::vector<double> weights;
    for (const auto time : times)
        weights.push_back(fastest / std::max(time, fastest));
    std::discrete_distribution<std::size_t> sample(weights.begin(), weights.end());
    auto best = sample(m_random);
    for (int n = 1; n < Samples; ++n) {
        const auto other = sample(m_random);
        if (times[other] < times[best])
            best = other;
    }
    return servers[best].server;
}

} // namespace Carawaykeel::Forwarding
