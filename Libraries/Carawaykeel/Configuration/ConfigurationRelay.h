#pragma once

#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Peer/PeerTransport.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Carawaykeel::Configuration {

/// Bounds on the documents that instances send to each other.
struct ConfigurationRelayPolicy
{
    /// Time after which a fetch request without a document counts as lost and another instance may
    /// be asked.
    Base::Milliseconds fetchTimeout{700};
    /// Delay after a refused fetch request before another instance is asked.
    Base::Milliseconds refusalDelay{100};
    /// How long an instance that is connected to the table service waits for a newer version from
    /// there before it asks another instance.
    Base::Milliseconds directSourceDelay{600};
    /// Assumed bandwidth for documents. A document that would not be sent within the fetch timeout
    /// is sent only if no other one is being sent.
    std::size_t assumedBytesPerSecond = 1'250'000;
};

/// The configuration in force at this instance, and how it learns of newer ones.
struct LocalConfiguration
{
    std::uint64_t version = 0;
    /// True while newer versions also arrive from the table service.
    bool hasDirectSource = false;
};

/// Passes configurations between instances: decides when to fetch the newer one that another
/// instance announces, and when to send the own one. Versions are announced with every datagram, so
/// the number of documents sent must not depend on the number of announcements.
class ConfigurationRelay
{
public:
    ConfigurationRelay(Base::Scheduler &scheduler, Peer::PeerTransport &peers,
        const ConfigurationRelayPolicy &policy = {});

    /// Handles the version that another instance announced. Returns true if it was asked for its
    /// document.
    bool onVersionAnnounced(
        const Base::InstanceId &from, std::uint64_t announced, const LocalConfiguration &local);

    /// Handles another instance's request. Returns true if the document was sent to it; otherwise
    /// the request is refused with the announcement of the own version.
    bool onFetchRequest(const Base::InstanceId &from, const Peer::FetchConfiguration &request,
        std::uint64_t localVersion, const std::string &document);

    /// Handles the refusal of this instance's request.
    void onFetchRefused(const Base::InstanceId &from);

    /// Announces the own version to an instance with an older one.
    void offer(const Base::InstanceId &to, std::uint64_t localVersion);

private:
    /// A time and the version in force at that time. It is obsolete once another version is.
    struct Mark
    {
        Base::Milliseconds at;
        std::uint64_t localVersion = 0;
    };

    /// The last request that was sent. It is obsolete once another version is in force.
    struct FetchRequest
    {
        Base::InstanceId to;
        std::uint64_t localVersion = 0;
        /// When the request counts as lost.
        Base::Milliseconds deadline;
    };

    Base::Scheduler &m_scheduler;
    Peer::PeerTransport &m_peers;
    const ConfigurationRelayPolicy m_policy;
    /// When this instance learned that its version is outdated.
    std::optional<Mark> m_outdatedSince;
    std::optional<FetchRequest> m_lastFetch;
    /// When the documents sent so far have left this instance at the assumed bandwidth.
    Base::Milliseconds m_sendingUntil;
    std::map<Base::InstanceName, Mark> m_lastOffers;
};

} // namespace Carawaykeel::Configuration
