#pragma once

#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Forwarding/RouterConfiguration.h>
#include <Carawaykeel/Logging/Logger.h>
#include <Carawaykeel/Platform/ChangeFeed.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Carawaykeel::Ingress {

/// Takes configurations from the table service, and hands on each that is newer than the last.
class ConfigurationSubscriber : public Platform::ChangeListener
{
public:
    using Pointer = std::shared_ptr<const Forwarding::RouterConfiguration>;
    using Decoder = std::function<Base::Result<Pointer>(std::string_view document)>;

    /// The configuration's row has this key.
    ConfigurationSubscriber(std::string key, Base::Scheduler &scheduler, Decoder decoder,
        std::function<void(Pointer)> whenNewer, const Logging::Logger &log);

    void onSnapshot(const std::vector<Platform::Row> &rows) override;
    void onChanges(const std::vector<Platform::RowChange> &changes) override;
    void onReachabilityChanged(bool isReached) override;

    /// Another instance has delivered its configuration.
    void onReceivedFromPeer(const std::string &document) { decode(document); }

    /// The document in force; empty before the first. To be called on the scheduler's thread.
    const std::string &document() const { return m_document; }
    std::uint64_t version() const { return m_version; }

private:
    void decode(const std::string &document);

    const std::string m_key;
    Base::Scheduler &m_scheduler;
    const Decoder m_decoder;
    const std::function<void(Pointer)> m_whenNewer;
    const Logging::Logger &m_log;
    std::uint64_t m_version = 0;
    std::string m_document;
};

} // namespace Carawaykeel::Ingress
