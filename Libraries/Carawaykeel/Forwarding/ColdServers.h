#pragma once

#include <Carawaykeel/Forwarding/RouterConfiguration.h>
#include <Carawaykeel/Forwarding/ServerEntry.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Carawaykeel::Forwarding {

/// The requests that all instances together may send to a cold server in one second: the number
/// that the server tolerates, times `overFactor`, plus `slack`.
struct ColdServerPolicy
{
    double overFactor = 1.5;
    double slack = 5;
};

/// Identifies one life of a server.
struct ServerIncarnation
{
    Base::ServerName name;
    std::int64_t startedAt = 0;

    bool operator==(const ServerIncarnation &) const = default;
};

/// Why a server counts as cold.
enum class ColdCause {
    /// Its entry says so.
    Announced,
    /// One of its responses says so.
    Answered,
    /// Another incarnation was seen, and its entry does not say how long it is cold.
    Restarted,
    /// The evacuation of its data centre was lifted.
    Returned,
    /// It refused or lost connections.
    Failed,
};

/// Returns the name of a cause in logs.
std::string_view nameOf(ColdCause cause);

/// A server that became cold or warm.
struct ColdTransition
{
    ServerIncarnation server;
    bool isCold = false;
    /// Why it became cold.
    ColdCause cause = ColdCause::Announced;
    /// The time until it is warm.
    Base::Milliseconds remaining;
};

/// Knows which servers are cold and for how long, and spaces the requests that this instance may
/// send to them under its permits. Without a policy, and for services without a limit for cold
/// servers, no server is cold.
class ColdServers
{
public:
    /// Longer times that servers or the configuration state are reduced to this one, so that a
    /// faulty server does not exclude itself for good.
    static constexpr Base::Milliseconds MaxColdTime{60'000};

    void setPolicy(const std::optional<ColdServerPolicy> &policy) { m_policy = policy; }
    void setConfiguration(std::shared_ptr<const RouterConfiguration> configuration);

    /// Records that an entry was received. Ends the suspicion that its server failed.
    void onEntry(const ServerEntry &entry, Base::Milliseconds now);
    /// Records that a response stated how much longer its server is cold.
    void onStated(const ServerEntry &entry, Base::Milliseconds duration, Base::Milliseconds now);
    /// Records that the evacuation of the server's data centre was lifted.
    void onReturned(const ServerEntry &entry, Base::Milliseconds now);
    /// Records that the server refused or lost a connection.
    void onConnectionFailed(const ServerEntry &entry, Base::Milliseconds now);

    bool isCold(const ServerEntry &entry, Base::Milliseconds now) const;
    /// Returns the time until the server is warm; zero if it is.
    Base::Milliseconds remainingColdTime(const ServerEntry &entry, Base::Milliseconds now) const;
    /// Returns how far the server is from taking its full load after it became warm: falls from 1
    /// to 0 over a period as long as its cold time.
    double slowStartShare(const ServerEntry &entry, Base::Milliseconds now) const;

    /// Allows this instance to send requests to a cold server until a time.
    void setPermit(const ServerIncarnation &server, Base::Milliseconds until);
    /// Returns true if this instance may send a request to a cold server now.
    bool hasRoom(const ServerEntry &entry, Base::Milliseconds now) const;
    /// Records that this instance sends a request.
    void onRequestSent(const ServerEntry &entry, Base::Milliseconds now);

    /// Returns the servers that became cold or warm since the last call, and forgets those that
    /// have taken their full load again. Call periodically.
    std::vector<ColdTransition> takeTransitions(Base::Milliseconds now);

private:
    struct Record
    {
        std::int64_t startedAt = 0;
        Base::ServiceName service;
        ColdCause cause = ColdCause::Announced;
        /// The latest end that the server stated, and the longest time.
        Base::Milliseconds statedUntil;
        Base::Milliseconds longestStated;
        /// The server is cold for the declared time from here.
        std::optional<Base::Milliseconds> declaredAt;
        std::optional<Base::Milliseconds> failedAt;
        /// This instance holds a permit until then.
        Base::Milliseconds permitUntil;
        Base::Milliseconds nextSendAt;
        /// The server was reported as cold by takeTransitions().
        bool isReportedCold = false;
    };

    /// Returns the record of the entry's incarnation; null if there is none.
    const Record *find(const ServerEntry &entry) const;
    Record &recordOf(const ServerEntry &entry);
    /// Returns true if the entry belongs to another incarnation than the one known so far.
    bool isRestarted(const ServerEntry &entry);
    /// Returns the service's definition if it limits requests to cold servers; null otherwise.
    const ServiceDefinition *limitedService(const Base::ServiceName &name) const;
    static Base::Milliseconds coldTimeOf(const ServiceDefinition &service);
    static Base::Milliseconds slowStartTimeOf(
        const Record &record, const ServiceDefinition &service);
    static Base::Milliseconds coldUntil(const Record &record, const ServiceDefinition &service);

    std::optional<ColdServerPolicy> m_policy;
    std::shared_ptr<const RouterConfiguration> m_configuration;
    std::map<Base::ServerName, Record> m_records;
    /// The incarnations seen last, by name and by address.
    std::map<Base::ServerName, std::int64_t> m_startTimes;
    std::map<std::string, ServerIncarnation> m_incarnationsByAddress;
};

} // namespace Carawaykeel::Forwarding
