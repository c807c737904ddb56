#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Configuration/ConfigurationRow.h>
#include <Carawaykeel/Configuration/Declaration.h>

#include <functional>
#include <string>

namespace Carawaykeel::Configuration {

/// How a change that an operator offered ended.
struct ApplyResult
{
    std::uint64_t version = 0;
};

/// Keeps the configuration that is in force here. It only moves forward in version: from the
/// platform's row, or from a peer that has a newer one. Nothing partial is ever in force.
class ConfigurationReplica
{
public:
    /// The callback is told each version that comes into force.
    ConfigurationReplica(Base::InstanceContext &context, Base::Milliseconds readInterval,
        std::function<void(std::uint64_t version, const Declaration &)> onForce);

    /// Begins to read the platform's row. Call once.
    void start();

    /// Offers a document as the version after the one that the operator saw. Fails with
    /// InvalidDeclaration, VersionConflict or PlatformUnreachable; in the last case the same
    /// operation id may be offered again and takes effect once.
    void apply(const std::string &document, std::uint64_t baseVersion,
        const Base::OperationId &operation, std::function<void(Base::Outcome<ApplyResult>)> answer);

    /// A peer says which version it has.
    void onVersionAnnounced(const Base::InstanceId &from, std::uint64_t version);
    void onFetchRequest(const Base::InstanceId &from, const Peer::FetchConfiguration &message);
    void onDelivery(const Peer::DeliverConfiguration &message);

    std::uint64_t version() const { return m_version; }
    const std::string &document() const { return m_document; }
    const Declaration &declaration() const { return m_declaration; }

    /// True once some version is in force; before that an instance serves nothing.
    bool isReady() const { return m_version > 0; }

private:
    struct Application
    {
        std::string document;
        std::uint64_t baseVersion;
        Base::OperationId operation;
        std::function<void(Base::Outcome<ApplyResult>)> answer;
        Base::ExponentialBackoff backOff;
        Base::Milliseconds deadline;
    };
    using ApplicationPointer = std::shared_ptr<Application>;

    void readPeriodically();
    void force(std::uint64_t version, const std::string &document);
    void tryApply(const ApplicationPointer &application);
    void decide(const ApplicationPointer &application, const Platform::RowsReply &reply);
    void commit(
        const ApplicationPointer &application, std::uint64_t version, std::uint64_t rowVersion);
    void tryLater(const ApplicationPointer &application);

    Base::InstanceContext &m_context;
    const Base::Milliseconds m_readInterval;
    std::function<void(std::uint64_t, const Declaration &)> m_onForce;
    std::uint64_t m_version = 0;
    std::string m_document;
    Declaration m_declaration;
};

} // namespace Carawaykeel::Configuration
