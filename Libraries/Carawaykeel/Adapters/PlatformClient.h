#pragma once

#include <Carawaykeel/Adapters/DaemonSettings.h>
#include <Carawaykeel/Adapters/HttpSession.h>
#include <Carawaykeel/Adapters/WorkerPool.h>
#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Platform/TableService.h>
#include <Carawaykeel/Platform/VmList.h>

#include <Poco/JSON/Object.h>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Carawaykeel::Adapters {

/// Client of the platform's table service and VM list, with JSON over HTTP. Blocking calls run on
/// separate threads; callbacks run on the scheduler's thread.
class PlatformClient : public Platform::TableService, public Platform::VmList
{
public:
    /// The client's name is sent with each request, for the platform's logs.
    PlatformClient(
        const PlatformSettings &settings, std::string clientName, Base::Scheduler &scheduler);

    void readRows(
        std::vector<std::string> keys, std::function<void(Platform::RowsReply)> callback) override;
    void readRange(std::string prefix, std::function<void(Platform::RangeReply)> callback) override;
    void commit(Platform::Transaction transaction,
        std::function<void(Platform::CommitReply)> callback) override;
    void readVms(std::function<void(Platform::VmListReply)> callback) override;

    /// Ends the threads; queued calls get no callback.
    void stop() { m_pool.stop(); }

    std::uint64_t reads() const { return m_reads; }
    std::uint64_t writes() const { return m_writes; }
    std::uint64_t failures() const { return m_failures; }

private:
    template <typename Reply>
    void run(std::function<Reply(std::size_t)> call, std::function<void(Reply)> callback);
    std::optional<HttpReply> exchange(std::size_t thread, const std::string &method,
        const std::string &path, const std::string &body);

    const PlatformSettings m_settings;
    const std::string m_clientName;
    Base::Scheduler &m_scheduler;
    /// One session per thread.
    std::vector<HttpSession> m_sessions;
    std::atomic<std::uint64_t> m_reads = 0;
    std::atomic<std::uint64_t> m_writes = 0;
    std::atomic<std::uint64_t> m_failures = 0;
    WorkerPool m_pool;
};

} // namespace Carawaykeel::Adapters
