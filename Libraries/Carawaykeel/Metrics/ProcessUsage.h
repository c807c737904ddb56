#pragma once

#include <Carawaykeel/Metrics/PrometheusWriter.h>

#include <cstddef>

namespace Carawaykeel::Metrics {

/// Resources of this process; a figure that the system does not tell is 0.
struct ProcessUsage
{
    std::size_t threads = 0;
    std::size_t descriptors = 0;
    std::size_t residentBytes = 0;

    static ProcessUsage now();
};

/// Appends the current resources of this process to a metrics page.
void writeProcessUsage(PrometheusWriter &writer);

} // namespace Carawaykeel::Metrics
