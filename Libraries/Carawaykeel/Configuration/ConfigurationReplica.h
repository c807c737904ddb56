#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Configuration/ConfigurationRelay.h>
#include <Carawaykeel/Configuration/ConfigurationRow.h>
#include <Carawaykeel/Configuration/Declaration.h>

#include <functional>
#include <string>

namespace Carawaykeel::Configuration {

/// Result of a change that an operator applied.
struct ApplyResult
{
    std::uint64_t version = 0;
};

/// Holds the configuration that is in force at this instance. Newer versions come from the row in
/// the table service or from a peer; the version never decreases. A document takes effect as a
/// whole or not at all.
class ConfigurationReplica
{
public:
    /// `onActivated` is called with each version that comes into force.
    ConfigurationReplica(Base::InstanceContext &context, Base::Milliseconds readInterval,
        std::function<void(std::uint64_t version, const Declaration &)> onActivated);

    /// Starts to poll the row in the table service. Call once.
    void start();

    /// Commits a document as the version after `baseVersion`, the version that the operator's
    /// change is based on. Fails with InvalidDeclaration, VersionConflict or PlatformUnreachable.
    /// After PlatformUnreachable the change may be retried with the same operation id; it takes
    /// effect once.
    void apply(const std::string &document, std::uint64_t baseVersion,
        const Base::OperationId &operation,
        std::function<void(Base::Outcome<ApplyResult>)> callback);

    /// Handles the version that a peer announced: fetches the peer's configuration if it is newer,
    /// and offers this instance's configuration if the peer's is older.
    void onVersionAnnounced(const Base::InstanceId &from, std::uint64_t version);
    void onOffer(const Base::InstanceId &from, const Peer::OfferConfiguration &message);
    void onFetchRequest(const Base::InstanceId &from, const Peer::FetchConfiguration &message);
    void onDelivery(const Peer::DeliverConfiguration &message);

    std::uint64_t version() const { return m_version; }
    const std::string &document() const { return m_document; }
    const Declaration &declaration() const { return m_declaration; }

    /// True once a version is in force. Until then the instance serves no requests.
    bool isReady() const { return m_version > 0; }

private:
    struct PendingChange
    {
        std::string document;
        std::uint64_t baseVersion;
        Base::OperationId operation;
        std::function<void(Base::Outcome<ApplyResult>)> callback;
        Base::ExponentialBackoff backoff;
        Base::Milliseconds deadline;
    };
    using PendingChangePointer = std::shared_ptr<PendingChange>;

    void readPeriodically();
    void activate(std::uint64_t version, const std::string &document);
    void tryApply(const PendingChangePointer &change);
    void onRowsRead(const PendingChangePointer &change, const Platform::RowsReply &reply);
    void commit(
        const PendingChangePointer &change, std::uint64_t version, std::uint64_t rowVersion);
    void retryLater(const PendingChangePointer &change);

    Base::InstanceContext &m_context;
    ConfigurationRelay m_relay;
    const Base::Milliseconds m_readInterval;
    std::function<void(std::uint64_t, const Declaration &)> m_onActivated;
    std::uint64_t m_version = 0;
    std::string m_document;
    Declaration m_declaration;
};

} // namespace Carawaykeel::Configuration
