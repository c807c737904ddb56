#include <Carawaykeel/Configuration/ConfigurationKeeper.h>

#include <Carawaykeel/Configuration/DeclarationParser.h>
#include <Carawaykeel/Platform/RowCodec.h>

#include <fmt/core.h>
#include <random>
#include <utility>

namespace Carawaykeel::Configuration {

namespace {

constexpr Base::Milliseconds MinBackOff{50};
constexpr Base::Milliseconds MaxBackOff{1'000};
constexpr Base::Milliseconds ApplyTimeout{5'000};

Base::Failure versionConflict(std::uint64_t version)
{
    return {Base::ErrorKind::VersionConflict,
        fmt::format("version {} is in force already", version), {}};
}

} // namespace

ConfigurationKeeper::ConfigurationKeeper(Base::InstanceContext &context,
    Base::Milliseconds readInterval,
    std::function<void(std::uint64_t, const Declaration &)> onActivated)
    : m_context(context)
    , m_readInterval(readInterval)
    , m_onActivated(std::move(onActivated))
{
}

void ConfigurationKeeper::start()
{
    readPeriodically();
}

void ConfigurationKeeper::readPeriodically()
{
    m_context.table.readRows(
        {ConfigurationRow::rowKey()}, [this](const Platform::RowsReply &reply) {
            if (reply.reached && reply.rows.front()) {
                const auto row = Platform::decodeRow<ConfigurationRow>(reply.rows.front()->value);
                activate(row.version, row.document);
            }
            const auto minDelay = m_readInterval.count() / 2;
            std::uniform_int_distribution<std::int64_t> jitteredDelay(
                minDelay, m_readInterval.count());
            const auto delay =
                isReady() ? Base::Milliseconds(jitteredDelay(m_context.random)) : MinBackOff * 4;
            m_context.scheduler.schedule(delay, [this] { readPeriodically(); });
        });
}

void ConfigurationKeeper::activate(std::uint64_t version, const std::string &document)
{
    if (version <= m_version)
        return;
    auto parsed = parseDeclaration(document);
    // Documents are validated before they are committed, so an invalid one was committed by another
    // version of this program.
    if (!parsed.faults.empty())
        return;
    m_version = version;
    m_document = document;
    m_declaration = std::move(parsed.declaration);
    m_onActivated(m_version, m_declaration);
}

void ConfigurationKeeper::apply(const std::string &document, std::uint64_t baseVersion,
    const Base::OperationId &operation, std::function<void(Base::Outcome<ApplyAnswer>)> callback)
{
    const auto parsed = parseDeclaration(document);
    if (!parsed.faults.empty()) {
        return callback(Base::Failure{
            Base::ErrorKind::InvalidDeclaration, describeFaults(parsed.faults, "declaration"), {}});
    }
    tryApply(std::make_shared<PendingChange>(
        PendingChange{document, baseVersion, operation, std::move(callback),
            Base::BackOff(MinBackOff, MaxBackOff), m_context.scheduler.now() + ApplyTimeout}));
}

void ConfigurationKeeper::tryApply(const PendingChangePointer &change)
{
    m_context.table.readRows(
        {ConfigurationRow::rowKey(), ConfigurationRow::operationKey(change->operation)},
        [this, change](const Platform::RowsReply &reply) { onRowsRead(change, reply); });
}

void ConfigurationKeeper::onRowsRead(
    const PendingChangePointer &change, const Platform::RowsReply &reply)
{
    if (!reply.reached)
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
        return change->callback(ApplyAnswer{committed.version});
    }
    if (current.version != change->baseVersion)
        return change->callback(versionConflict(current.version));
    commit(change, current.version + 1, rowVersion);
}

void ConfigurationKeeper::commit(
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
            change->callback(ApplyAnswer{version});
        });
}

void ConfigurationKeeper::retryLater(const PendingChangePointer &change)
{
    if (m_context.scheduler.now() >= change->deadline) {
        return change->callback(Base::Failure{Base::ErrorKind::PlatformUnreachable,
            "the change may have taken effect; offer the same operation id again",
            Base::Milliseconds(1'000)});
    }
    m_context.scheduler.schedule(
        change->backOff.next(m_context.random), [this, change] { tryApply(change); });
}

void ConfigurationKeeper::onVersion(const Base::InstanceId &from, std::uint64_t version)
{
    if (version > m_version) {
        m_context.peers.send(from, Peer::FetchConfiguration{m_version});
    } else if (version < m_version) {
        m_context.peers.send(from, Peer::OfferConfiguration{m_version});
    }
}

void ConfigurationKeeper::onFetch(
    const Base::InstanceId &from, const Peer::FetchConfiguration &message)
{
    if (m_version > message.version)
        m_context.peers.send(from, Peer::DeliverConfiguration{m_version, m_document});
}

void ConfigurationKeeper::onDelivery(const Peer::DeliverConfiguration &message)
{
    activate(message.version, message.document);
}

} // namespace Carawaykeel::Configuration
