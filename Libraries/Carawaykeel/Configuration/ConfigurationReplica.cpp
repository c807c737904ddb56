#include <Carawaykeel/Configuration/ConfigurationReplica.h>

#include <Carawaykeel/Configuration/DeclarationParser.h>
#include <Carawaykeel/Platform/RowCodec.h>

#include <fmt/core.h>
#include <random>
#include <utility>

namespace Carawaykeel::Configuration {

namespace {

constexpr Base::Milliseconds MinRetryDelay{50};
constexpr Base::Milliseconds MaxRetryDelay{1'000};
constexpr Base::Milliseconds ApplyTimeout{5'000};

Base::Failure versionConflict(std::uint64_t version)
{
    return {Base::ErrorKind::VersionConflict,
        fmt::format("version {} is in force already", version), {}};
}

} // namespace

ConfigurationReplica::ConfigurationReplica(Base::InstanceContext &context,
    Base::Milliseconds readInterval,
    std::function<void(std::uint64_t, const Declaration &)> onActivated)
    : m_context(context)
    , m_relay(context.scheduler, context.peers)
    , m_readInterval(readInterval)
    , m_onActivated(std::move(onActivated))
{
}

void ConfigurationReplica::start()
{
    readPeriodically();
}

void ConfigurationReplica::readPeriodically()
{
    m_context.table.readRows(
        {ConfigurationRow::rowKey()}, [this](const Platform::RowsReply &reply) {
            if (reply.isReachable && reply.rows.front()) {
                const auto row = Platform::decodeRow<ConfigurationRow>(reply.rows.front()->value);
                activate(row.version, row.document);
            }
            const auto minDelay = m_readInterval.count() / 2;
            std::uniform_int_distribution<std::int64_t> jitteredDelay(
                minDelay, m_readInterval.count());
            const auto delay =
                isReady() ? Base::Milliseconds(jitteredDelay(m_context.random)) : MinRetryDelay * 4;
            m_context.scheduler.schedule(delay, [this] { readPeriodically(); });
        });
}

void ConfigurationReplica::activate(std::uint64_t version, const std::string &document)
{
    if (version <= m_version)
        return;
    auto parsed = parseDeclaration(document);
    // Documents are validated before they are committed, so an invalid one was committed by another
    // version of this program.
    if (!parsed.errors.empty())
        return;
    m_version = version;
    m_document = document;
    m_declaration = std::move(parsed.declaration);
    m_onActivated(m_version, m_declaration);
}

void ConfigurationReplica::apply(const std::string &document, std::uint64_t baseVersion,
    const Base::OperationId &operation, std::function<void(Base::Outcome<ApplyResult>)> callback)
{
    const auto parsed = parseDeclaration(document);
    if (!parsed.errors.empty()) {
        return callback(Base::Failure{
            Base::ErrorKind::InvalidDeclaration, formatErrors(parsed.errors, "declaration"), {}});
    }
    tryApply(std::make_shared<PendingChange>(PendingChange{document, baseVersion, operation,
        std::move(callback), Base::ExponentialBackoff(MinRetryDelay, MaxRetryDelay),
        m_context.scheduler.now() + ApplyTimeout}));
}

void ConfigurationReplica::tryApply(const PendingChangePointer &change)
{
    m_context.table.readRows(
        {ConfigurationRow::rowKey(), ConfigurationRow::operationKey(change->operation)},
        [this, change](const Platform::RowsReply &reply) { onRowsRead(change, reply); });
}

void ConfigurationReplica::onRowsRead(
    const PendingChangePointer &change, const Platform::RowsReply &reply)
{
    if (!reply.isReachable)
        return retryLater(change);
    ConfigurationRow current;
    std::uint64_t rowVersion = Platform::AbsentVersion;
    if (const auto &row = reply.rows.at(0)) {
        current = Platform::decodeRow<ConfigurationRow>(row->value);
        rowVersion = row->version;
        activate(current.version, current.document);
    }
    if (const auto &earlier = reply.rows.at(1)) {
        const auto committed = Platform::decodeRow<ConfigurationRow>(earlier->value);
        return change->callback(ApplyResult{committed.version});
    }
    if (current.version != change->baseVersion)
        return change->callback(versionConflict(current.version));
    commit(change, current.version + 1, rowVersion);
}

void ConfigurationReplica::commit(
    const PendingChangePointer &change, std::uint64_t version, std::uint64_t rowVersion)
{
    Platform::Transaction transaction;
    transaction.put(ConfigurationRow::rowKey(),
        Platform::encodeRow(ConfigurationRow{version, change->operation, change->document}),
        rowVersion);
    transaction.put(ConfigurationRow::operationKey(change->operation),
        Platform::encodeRow(ConfigurationRow{version, change->operation, ""}),
        Platform::AbsentVersion);
    m_context.table.commit(
        std::move(transaction), [this, change, version](Platform::CommitReply reply) {
            if (reply.outcome != Platform::CommitOutcome::Committed)
                return retryLater(change);
            activate(version, change->document);
            change->callback(ApplyResult{version});
        });
}

void ConfigurationReplica::retryLater(const PendingChangePointer &change)
{
    if (m_context.scheduler.now() >= change->deadline) {
        return change->callback(Base::Failure{Base::ErrorKind::PlatformUnreachable,
            "the change may have taken effect; offer the same operation id again",
            Base::Milliseconds(1'000)});
    }
    m_context.scheduler.schedule(
        change->backoff.nextDelay(m_context.random), [this, change] { tryApply(change); });
}

void ConfigurationReplica::onVersionAnnounced(const Base::InstanceId &from, std::uint64_t version)
{
    // The row is read at intervals, so another instance's document usually comes sooner.
    m_relay.onVersionAnnounced(from, version, {m_version, false});
    if (version < m_version)
        m_relay.offer(from, m_version);
}

void ConfigurationReplica::onOffer(
    const Base::InstanceId &from, const Peer::OfferConfiguration &message)
{
    m_relay.onFetchRefused(from);
    onVersionAnnounced(from, message.version);
}

void ConfigurationReplica::onFetchRequest(
    const Base::InstanceId &from, const Peer::FetchConfiguration &message)
{
    m_relay.onFetchRequest(from, message, m_version, m_document);
}

void ConfigurationReplica::onDelivery(const Peer::DeliverConfiguration &message)
{
    activate(message.version, message.document);
}

} // namespace Carawaykeel::Configuration
