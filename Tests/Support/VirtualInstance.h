#pragma once

#include <Carawaykeel/Instance/Instance.h>
#include <Support/FakeEngines.h>
#include <Support/FakeNetwork.h>
#include <Support/FakeTable.h>
#include <Support/Mutation.h>

#include <deque>
#include <memory>

namespace Carawaykeel::Tests {

/// One incarnation of an instance in virtual time. It can be paused between any two tasks;
/// destroying it kills the instance.
class VirtualInstance : public Base::Scheduler,
                        public Peer::PeerTransport,
                        public Membership::GossipTransport,
                        public Budget::AttemptLookup
{
public:
    VirtualInstance(VirtualWorld &world, FakeTable &table, FakeNetwork &network,
        FakeEngines &engines, Instance::InstanceSettings settings);
    ~VirtualInstance() override;

    Base::Milliseconds now() const override;
    void schedule(Base::Milliseconds delay, std::function<void()> task) override;
    void send(const Base::InstanceId &to, Peer::PeerMessage message) override;
    void send(std::string_view address, const Membership::GossipMessage &message) override;
    void lookUp(const Base::ServiceName &service, const Base::GrantId &grant,
        std::uint64_t reservation,
        std::function<void(Budget::AttemptLookupResult)> callback) override;

    /// While the instance is paused no task runs. Tasks that become due and messages that arrive
    /// are deferred, and resume() runs them in order.
    void pause() { m_isPaused = true; }
    void resume();

    Mutation mutation = Mutation::None;

    Instance::Instance &instance() { return *m_instance; }
    const std::string &name() const { return m_name; }
    bool isPaused() const { return m_isPaused; }

private:
    void runOrDefer(std::function<void()> task);

    VirtualWorld &m_world;
    FakeNetwork &m_network;
    FakeEngines &m_engines;
    const std::string m_name;
    const Base::InstanceId m_id;
    /// Set to false by the destructor. Tasks that are still scheduled then do nothing.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    bool m_isPaused = false;
    std::deque<std::function<void()>> m_deferredTasks;
    FakeTableClient m_table;
    std::unique_ptr<Instance::Instance> m_instance;
};

} // namespace Carawaykeel::Tests
