#pragma once

#include <Carawaykeel/Base/Milliseconds.h>

#include <optional>

namespace Carawaykeel::Forwarding {

/// Times of one request that a server has served, and what was ahead of it when it was sent.
struct ServedAttempt
{
    /// Time from sending until the first part of the response, and until its end.
    Base::Milliseconds timeToFirstPart;
    Base::Milliseconds duration;
    /// Estimated number of requests at the server when this one was sent.
    double requestsAhead = 0;
    /// Prompt tokens that the server processed until the first part: those ahead and the request's
    /// own uncached ones. 0 for a request without a prompt.
    double promptTokens = 0;
    /// Tokens of the response; 0 when it has none.
    double responseTokens = 0;
};

/// How fast one incarnation of a server works, learned from its responses to this instance. All
/// figures are those at the server's average work time, so that a short slowdown does not count
/// against it afterwards.
class LearnedSpeed
{
public:
    /// Weight of the newest response in the moving averages.
    static constexpr double ResponseWeight = 0.1;
    /// The weight of a reported work time falls to 1/e in this time. Work times change many times a
    /// second, so that an older report says nothing of the next request.
    static constexpr Base::Milliseconds ReportFadeTime{300};
    /// The average of the reported work times follows a change to 1 - 1/e in this time.
    static constexpr Base::Milliseconds AverageTime{10'000};

    /// Records a reported work time in percent of the usual one.
    void onWorkTime(int percent, Base::Milliseconds now);
    /// Records a served request of a server with this number of slots.
    void onServed(const ServedAttempt &attempt, int slots);

    /// Milliseconds of a request that has the server for itself; empty until one was served.
    std::optional<double> requestTime() const { return m_requestTime; }
    /// Milliseconds for each prompt token, and for each token of a response.
    std::optional<double> promptTokenTime() const { return m_promptTokenTime; }
    std::optional<double> responseTokenTime() const { return m_responseTokenTime; }
    /// Average number of tokens in a response.
    std::optional<double> responseTokens() const { return m_responseTokens; }

    /// Returns how much longer than on average a request takes that is sent now, as a factor. The
    /// last report counts with the given trust, from 0 to 1, and fades.
    double slowdownAt(Base::Milliseconds now, double trust) const;

private:
    std::optional<double> m_requestTime;
    std::optional<double> m_promptTokenTime;
    std::optional<double> m_responseTokenTime;
    std::optional<double> m_responseTokens;
    /// The last reported work time over the average one.
    double m_reportedSlowdown = 1;
    double m_averagePercent = 0;
    Base::Milliseconds m_reportedAt;
};

} // namespace Carawaykeel::Forwarding
