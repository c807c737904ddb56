#include <Carawaykeel/Adapters/EventStreamRelay.h>

#include <Carawaykeel/Adapters/HttpResponses.h>

namespace Carawaykeel::Adapters {

namespace {

constexpr std::size_t MaxEventSize = 1'024 * 1'024;
constexpr std::string_view DataPrefix = "data:";

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\n'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r' || text.back() == ' '))
        text.remove_suffix(1);
    return text;
}

std::string_view dataOf(std::string_view event)
{
    return event.starts_with(DataPrefix) ? trimmed(event.substr(DataPrefix.size()))
                                         : std::string_view();
}

/// Returns the value of the "id" key of a chunk; empty if there is none. Events are
/// machine-generated, so a text search is used instead of a JSON parser.
std::string_view findId(std::string_view data)
{
    constexpr std::string_view Key = "\"id\":";
    const auto n = data.find(Key);
    if (n == std::string_view::npos)
        return {};
    const auto rest = trimmed(data.substr(n + Key.size()));
    if (rest.empty() || rest.front() != '"')
        return {};
    return rest.substr(1, rest.find('"', 1) - 1);
}

std::optional<Base::Tokens> findUsage(std::string_view data)
{
    if (data.find("\"usage\"") == std::string_view::npos)
        return std::nullopt;
    const auto outcome =
        Base::toOutcome<Poco::JSON::Object::Ptr>([&] { return tryParseObject(data); });
    const auto *object = std::get_if<Poco::JSON::Object::Ptr>(&outcome);
    if (!object || !(*object)->isObject("usage"))
        return std::nullopt;
    return Base::Tokens((*object)->getObject("usage")->optValue<Poco::Int64>("total_tokens", 0));
}

} // namespace

EventStreamRelay::EventStreamRelay(std::istream &from, std::ostream &to, Base::Tokens limit,
    bool includeUsage, std::size_t storedBodyLimit)
    : m_from(from)
    , m_to(to)
    , m_limit(limit)
    , m_includeUsage(includeUsage)
    , m_storedBodyLimit(storedBodyLimit)
{
}

RelayResult EventStreamRelay::run()
{
    std::string event;
    while (readEvent(event)) {
        if (handle(event) == Step::Stop)
            break;
    }
    if (!m_isBodyStored)
        m_result.body.clear();
    return std::move(m_result);
}

bool EventStreamRelay::readEvent(std::string &event)
{
    event.clear();
    std::string line;
    while (std::getline(m_from, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (line.empty() && !event.empty()) {
            event += '\n';
            return true;
        }
        if (line.empty())
            continue;
        event += line;
        event += '\n';
        if (event.size() > MaxEventSize)
            return false;
    }
    return false;
}

EventStreamRelay::Step EventStreamRelay::handle(const std::string &event)
{
    const auto data = dataOf(event);
    if (data == "[DONE]") {
        m_result.outcome = RelayOutcome::Complete;
        return Step::Stop;
    }
    if (!hasSameResponseId(data)) {
        m_result.outcome = RelayOutcome::Mismatch;
        return Step::Stop;
    }
    if (const auto usage = findUsage(data)) {
        m_result.usage = usage;
        const bool isUsageOnly = data.find("\"choices\":[]") != std::string_view::npos;
        if (m_includeUsage || !isUsageOnly)
            forward(event);
        return Step::Continue;
    }
    if (data.find("\"content\"") != std::string_view::npos) {
        m_contentEvents += Base::Tokens(1);
        if (m_contentEvents > m_limit + Base::Tokens(1)) {
            m_result.outcome = RelayOutcome::LimitExceeded;
            return Step::Stop;
        }
    }
    forward(event);
    if (m_to.good())
        return Step::Continue;
    m_result.outcome = RelayOutcome::CallerDisconnected;
    return Step::Stop;
}

bool EventStreamRelay::hasSameResponseId(std::string_view data)
{
    const auto id = findId(data);
    if (id.empty())
        return true;
    if (m_responseId.empty())
        m_responseId = id;
    return m_responseId == id;
}

void EventStreamRelay::forward(const std::string &event)
{
    m_to << event << std::flush;
    if (m_isBodyStored)
        m_result.body += event;
    m_isBodyStored = m_isBodyStored && m_result.body.size() <= m_storedBodyLimit;
}

} // namespace Carawaykeel::Adapters
