#pragma once

#include <Carawaykeel/Instance/Instance.h>
#include <Support/FakeEngines.h>
#include <Support/FakeNetwork.h>
#include <Support/FakeTable.h>
#include <Support/Mutation.h>

#include <deque>
#include <memory>

namespace Carawaykeel::Tests {

/// One life of an instance in virtual time. It can be frozen and killed between any two tasks.
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
        std::function<void(Budget::AttemptLookupResult)> answer) override;

    /// While frozen nothing runs; all that came meanwhile runs at the thaw, in its order.
    void pause() { m_isFrozen = true; }
    void resume();

    Mutation mutation = Mutation::None;

    Instance::Instance &instance() { return *m_instance; }
    const std::string &name() const { return m_name; }
    bool isPaused() const { return m_isFrozen; }

private:
    void runOrHold(std::function<void()> task);

    VirtualWorld &m_world;
    FakeNetwork &m_network;
    FakeEngines &m_engines;
    const std::string m_name;
    const Base::InstanceId m_id;
    /// Tasks of a life that is over find it empty and do nothing.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    bool m_isFrozen = false;
    std::deque<std::function<void()>> m_held;
    FakeTableClient m_table;
    std::unique_ptr<Instance::Instance> m_instance;
};

} // namespace Carawaykeel::Tests
