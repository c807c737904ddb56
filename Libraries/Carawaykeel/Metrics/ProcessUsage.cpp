#include <Carawaykeel/Metrics/ProcessUsage.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>
#include <unistd.h>

namespace Carawaykeel::Metrics {

namespace {

std::size_t countEntries(const std::string &folder)
{
    std::error_code ec;
    const std::filesystem::directory_iterator entries(folder, ec);
    if (ec)
        return 0;
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace

ProcessUsage ProcessUsage::now()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t totalPages = 0;
    std::size_t residentPages = 0;
    statm >> totalPages >> residentPages;
    return {countEntries("/proc/self/task"), countEntries("/proc/self/fd"),
        residentPages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE))};
}

void writeProcessUsage(PrometheusWriter &writer)
{
    const auto usage = ProcessUsage::now();
    writer.writeGauge(
        "threads", "Threads of the process.", static_cast<std::int64_t>(usage.threads));
    writer.writeGauge("descriptors", "Open descriptors of the process.",
        static_cast<std::int64_t>(usage.descriptors));
    writer.writeGauge("resident_bytes", "Resident memory of the process, in bytes.",
        static_cast<std::int64_t>(usage.residentBytes));
}

} // namespace Carawaykeel::Metrics
