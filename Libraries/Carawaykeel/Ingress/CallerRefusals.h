#pragma once

#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Logging/Logger.h>
#include <Carawaykeel/Metrics/PrometheusWriter.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Carawaykeel::Ingress {

/// Why a caller was refused or its connection closed.
enum class RefusalKind : std::uint8_t {
    /// The request was not admitted, or was given up, because too much memory is held.
    Memory,
    /// The connection was closed for another one.
    Connections,
    /// The caller did not read a response whose server had to wait for it.
    Unread,
    /// The caller sent more after a refusal than is discarded.
    Overrun,
};

/// Counts refusals by kind and address and logs some of them.
class CallerRefusals
{
public:
    explicit CallerRefusals(const Logging::Logger &log);

    /// `address` is the name of the address at which the caller connected, `peer` the caller's.
    void record(
        RefusalKind kind, std::string_view address, std::string_view peer, Base::Milliseconds now);

    void writeTo(Metrics::PrometheusWriter &writer) const;

private:
    struct Count
    {
        std::uint64_t total = 0;
        std::uint64_t unlogged = 0;
        Base::Milliseconds loggedAt;
    };

    const Logging::Logger &m_log;
    /// By address, of which there are four, and kind.
    std::map<std::string, std::array<Count, 4>, std::less<>> m_counts;
};

} // namespace Carawaykeel::Ingress
