#pragma once

#include <Carawaykeel/Adapters/BackendClient.h>
#include <Carawaykeel/Adapters/WorkerPool.h>
#include <Carawaykeel/Base/Scheduler.h>
#include <Carawaykeel/Budget/AttemptLookup.h>
#include <Carawaykeel/Configuration/Declaration.h>

#include <map>
#include <string>
#include <vector>

namespace Carawaykeel::Adapters {

/// Queries all servers of a service about the attempts of a dead holder's reservation and cancels
/// them, if the service is declared to support attempt status.
class EngineAttemptLookup : public Budget::AttemptLookup
{
public:
    EngineAttemptLookup(BackendClient &backends, Base::Scheduler &scheduler);

    /// Replaces the servers by those of the configuration in force. Called on the scheduler's
    /// thread.
    void setDeclaration(const Configuration::Declaration &declaration);

    void lookUp(const Base::ServiceName &service, const Base::GrantId &grant,
        std::uint64_t reservation,
        std::function<void(Budget::AttemptLookupResult)> callback) override;

    void stop() { m_pool.stop(); }

private:
    BackendClient &m_backends;
    Base::Scheduler &m_scheduler;
    /// Addresses of the servers of services that support attempt status.
    std::map<Base::ServiceName, std::vector<std::string>> m_servers;
    WorkerPool m_pool;
};

} // namespace Carawaykeel::Adapters
