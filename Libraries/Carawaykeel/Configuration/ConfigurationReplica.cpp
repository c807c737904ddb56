#include <Carawaykeel/Configuration/ConfigurationReplica.h>

#include <Carawaykeel/Configuration/DeclarationParser.h>
#include <Carawaykeel/Platform/RowCodec.h>

#include <fmt/core.h>
#include <random>
#include <utility>

namespace Carawaykeel::Configuration {

namespace {

constexpr Base::Milliseconds SmallestBackOff{50};
constexpr Base::Milliseconds LargestBackOff{1'000};
constexpr Base::Milliseconds ApplyDeadline{5'000};

Base::Failure conflict(std::uint64_t version)
{
    return {Base::ErrorKind::VersionConflict,
        fmt::format("version {} is in force already", version), {}};
}

} // namespace

ConfigurationReplica::ConfigurationReplica(Base::InstanceContext &context,
    Base::Milliseconds readInterval,
    std::function<void(std::uint64_t, const Declaration &)> onForce)
    : m_context(context)
    , m_readInterval(readInterval)
    , m_onForce(std::move(onForce))
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
                force(row.version, row.document);
            }
            const auto half = m_readInterval.count() / 2;
            std::uniform_int_distribution<std::int64_t> pause(half, m_readInterval.count());
            const auto wait =
                isReady() ? Base::Milliseconds(pause(m_context.random)) : SmallestBackOff * 4;
            m_context.scheduler.schedule(wait, [this] { readPeriodically(); });
        });
}

void ConfigurationReplica::force(std::uint64_t version, const std::string &document)
{
    if (version <= m_version)
        return;
    auto parsed = parseDeclaration(document);
    // A document is checked before it is offered, so faults mean another version of this program.
    if (!parsed.errors.empty())
        return;
    m_version = version;
    m_document = document;
    m_declaration = std::move(parsed.declaration);
    m_onForce(m_version, m_declaration);
}

void ConfigurationReplica::apply(const std::string &document, std::uint64_t baseVersion,
    const Base::OperationId &operation, std::function<void(Base::Outcome<ApplyResult>)> answer)
{
    const auto parsed = parseDeclaration(document);
    if (!parsed.errors.empty()) {
        return answer(Base::Failure{
            Base::ErrorKind::InvalidDeclaration, formatErrors(parsed.errors, "declaration"), {}});
    }
    tryApply(std::make_shared<Application>(Application{document, baseVersion, operation,
        std::move(answer), Base::ExponentialBackoff(SmallestBackOff, LargestBackOff),
        m_context.scheduler.now() + ApplyDeadline}));
}

void ConfigurationReplica::tryApply(const ApplicationPointer &application)
{
    m_context.table.readRows(
        {ConfigurationRow::rowKey(), ConfigurationRow::operationKey(application->operation)},
        [this, application](const Platform::RowsReply &reply) { decide(application, reply); });
}

void ConfigurationReplica::decide(
    const ApplicationPointer &application, const Platform::RowsReply &reply)
{
    if (!reply.isReachable)
        return tryLater(application);
    ConfigurationRow current;
    std::uint64_t rowVersion = Platform::AbsentVersion;
    if (const auto &row = reply.rows.at(0)) {
        current = Platform::decodeRow<ConfigurationRow>(row->value);
        rowVersion = row->version;
        force(current.version, current.document);
    }
    if (const auto &done = reply.rows.at(1)) {
        const auto landed = Platform::decodeRow<ConfigurationRow>(done->value);
        return application->answer(ApplyResult{landed.version});
    }
    if (current.version != application->baseVersion)
        return application->answer(conflict(current.version));
    commit(application, current.version + 1, rowVersion);
}

void ConfigurationReplica::commit(
    const ApplicationPointer &application, std::uint64_t version, std::uint64_t rowVersion)
{
    Platform::Transaction transaction;
    transaction.put(ConfigurationRow::rowKey(),
        Platform::encodeRow(
            ConfigurationRow{version, application->operation, application->document}),
        rowVersion);
    transaction.put(ConfigurationRow::operationKey(application->operation),
        Platform::encodeRow(ConfigurationRow{version, application->operation, ""}),
        Platform::AbsentVersion);
    m_context.table.commit(
        std::move(transaction), [this, application, version](Platform::CommitReply reply) {
            if (reply.outcome != Platform::CommitOutcome::Committed)
                return tryLater(application);
            force(version, application->document);
            application->answer(ApplyResult{version});
        });
}

void ConfigurationReplica::tryLater(const ApplicationPointer &application)
{
    if (m_context.scheduler.now() >= application->deadline) {
        return application->answer(Base::Failure{Base::ErrorKind::PlatformUnreachable,
            "the change may have taken effect; offer the same operation id again",
            Base::Milliseconds(1'000)});
    }
    m_context.scheduler.schedule(application->backOff.nextDelay(m_context.random),
        [this, application] { tryApply(application); });
}

void ConfigurationReplica::onVersionAnnounced(const Base::InstanceId &from, std::uint64_t version)
{
    if (version > m_version) {
        m_context.peers.send(from, Peer::FetchConfiguration{m_version});
    } else if (version < m_version) {
        m_context.peers.send(from, Peer::OfferConfiguration{m_version});
    }
}

void ConfigurationReplica::onFetchRequest(
    const Base::InstanceId &from, const Peer::FetchConfiguration &message)
{
    if (m_version > message.version)
        m_context.peers.send(from, Peer::DeliverConfiguration{m_version, m_document});
}

void ConfigurationReplica::onDelivery(const Peer::DeliverConfiguration &message)
{
    force(message.version, message.document);
}

} // namespace Carawaykeel::Configuration
