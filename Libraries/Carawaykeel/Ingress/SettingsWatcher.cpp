#include <Carawaykeel/Ingress/SettingsWatcher.h>

#include <fstream>
#include <iterator>
#include <utility>

namespace Carawaykeel::Ingress {

SettingsWatcher::SettingsWatcher(
    std::string file, std::string document, Base::Scheduler &scheduler, Listener listener)
    : m_file(std::move(file))
    , m_document(std::move(document))
    , m_scheduler(scheduler)
    , m_listener(std::move(listener))
{
}

void SettingsWatcher::start()
{
    m_scheduler.schedule(PollInterval, [this] {
        poll();
        start();
    });
}

void SettingsWatcher::poll()
{
    std::ifstream stream(m_file);
    // A file that is being replaced is there again at the next look.
    if (!stream)
        return;
    std::string document{std::istreambuf_iterator<char>(stream), {}};
    if (document.empty() || document == m_document)
        return;
    m_document = std::move(document);
    m_listener(parseRouterSettings(m_document));
}

} // namespace Carawaykeel::Ingress
