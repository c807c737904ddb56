#include <Carawaykeel/Ingress/ConfigurationSubscriber.h>

#include <utility>

namespace Carawaykeel::Ingress {

using Logging::LogEvent;
using Logging::LogFields;

ConfigurationSubscriber::ConfigurationSubscriber(std::string key, Base::Scheduler &scheduler,
    Decoder decoder, std::function<void(Pointer)> onNewer, const Logging::Logger &log)
    : m_key(std::move(key))
    , m_scheduler(scheduler)
    , m_decoder(std::move(decoder))
    , m_onNewer(std::move(onNewer))
    , m_log(log)
{
}

void ConfigurationSubscriber::onSnapshot(const std::vector<Platform::Row> &rows, std::uint64_t)
{
    for (const auto &row : rows) {
        if (row.key == m_key)
            decode(row.value);
    }
}

void ConfigurationSubscriber::onChanges(const std::vector<Platform::RowChange> &changes)
{
    // Of several changes in one batch, only the newest matters.
    const Platform::RowChange *newest = nullptr;
    for (const auto &change : changes) {
        if (change.key == m_key && change.value)
            newest = &change;
    }
    if (newest)
        decode(*newest->value);
}

void ConfigurationSubscriber::onReachabilityChanged(bool isReachable)
{
    m_scheduler.schedule(Base::Milliseconds(), [this, isReachable] {
        m_isConnected = isReachable;
        m_log.info(isReachable ? LogEvent::ConfigurationReached : LogEvent::ConfigurationLost,
            LogFields().add("version", m_version));
    });
}

void ConfigurationSubscriber::onReceivedFromPeer(std::uint64_t version, const std::string &document)
{
    // Decoding a large document takes so long that copies of the active one must not be decoded.
    if (version > m_version)
        decode(document);
}

void ConfigurationSubscriber::decode(const std::string &document)
{
    auto outcome = Base::toOutcome<Pointer>([&] { return m_decoder(document); });
    auto *configuration = std::get_if<Pointer>(&outcome);
    if (!configuration) {
        m_log.warn(LogEvent::ConfigurationUnusable,
            LogFields().add("reason", std::get<Base::Failure>(outcome).message));
        return;
    }
    m_scheduler.schedule(
        Base::Milliseconds(), [this, configuration = std::move(*configuration), document] {
            if (configuration->version() <= m_version)
                return;
            m_version = configuration->version();
            m_document = document;
            m_log.info(LogEvent::ConfigurationInForce, LogFields().add("version", m_version));
            m_onNewer(configuration);
        });
}

} // namespace Carawaykeel::Ingress
