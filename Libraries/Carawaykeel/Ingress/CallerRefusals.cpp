#include <Carawaykeel/Ingress/CallerRefusals.h>

#include <fmt/core.h>
#include <utility>

namespace Carawaykeel::Ingress {

namespace {

/// At most one line for each kind and address in this time.
constexpr Base::Milliseconds LogInterval{1'000};

std::string_view nameOf(std::size_t kind)
{
    switch (static_cast<RefusalKind>(kind)) {
    case RefusalKind::Memory:
        return "memory";
    case RefusalKind::Connections:
        return "connections";
    case RefusalKind::Unread:
        return "unread";
    case RefusalKind::Overrun:
        break;
    }
    return "overrun";
}

} // namespace

CallerRefusals::CallerRefusals(const Logging::Logger &log)
    : m_log(log)
{
}

void CallerRefusals::record(
    RefusalKind kind, std::string_view address, std::string_view peer, Base::Milliseconds now)
{
    const auto index = static_cast<std::size_t>(kind);
    auto &count = m_counts[std::string(address)].at(index);
    ++count.total;
    ++count.unlogged;
    if (count.total > 1 && now - count.loggedAt < LogInterval)
        return;
    count.loggedAt = now;
    m_log.warn(Logging::LogEvent::CallerRefused,
        Logging::LogFields()
            .add("kind", nameOf(index))
            .add("address", address)
            .add("peer", peer)
            .add("count", std::exchange(count.unlogged, 0)));
}

void CallerRefusals::writeTo(Metrics::PrometheusWriter &writer) const
{
    writer.writeHeader("callers_refused_total",
        "Callers that were refused or whose connection was closed to keep the limits.", "counter");
    for (const auto &[address, counts] : m_counts) {
        for (std::size_t kind = 0; kind < counts.size(); ++kind) {
            writer.writeSample("callers_refused_total",
                fmt::format("kind=\"{}\",address=\"{}\"", nameOf(kind), address),
                static_cast<std::int64_t>(counts.at(kind).total));
        }
    }
}

} // namespace Carawaykeel::Ingress
