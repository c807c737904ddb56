#include <Carawaykeel/Ingress/ConfigurationSubscriber.h>

#include <utility>

namespace Carawaykeel::Ingress {

using Logging::LogEvent;
using Logging::LogFields;

ConfigurationSubscriber::ConfigurationSubscriber(std::string key, Base::Scheduler &scheduler,
    Decoder decoder, std::function<void(Pointer)> whenNewer, const Logging::Logger &log)
    : m_key(std::move(key))
    , m_scheduler(scheduler)
    , m_decoder(std::move(decoder))
    , m_whenNewer(std::move(whenNewer))
    , m_log(log)
{
}

void ConfigurationSubscriber::onSnapshot(const std::vector<Platform::Row> &rows)
{
    for (const auto &row : rows) {
        if (row.key == m_key)
            decode(row.value);
    }
}

void ConfigurationSubscriber::onChanges(const std::vector<Platform::RowChange> &changes)
{
    // Only the newest matters of those that came together.
    const Platform::RowChange *newest = nullptr;
    for (const auto &change : changes) {
        if (change.key == m_key && change.value)
            newest = &change;
    }
    if (newest)
        decode(*newest->value);
}

void ConfigurationSubscriber::onReachabilityChanged(bool isReached)
{
    m_log.info(isReached ? LogEvent::ConfigurationReached : LogEvent::ConfigurationLost,
        LogFields().add("version", m_version));
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
            m_whenNewer(configuration);
        });
}

} // namespace Carawaykeel::Ingress
