#include <Support/VirtualInstance.h>

#include <utility>

namespace Carawaykeel::Tests {

VirtualInstance::VirtualInstance(VirtualWorld &world, FakeTable &table, FakeNetwork &network,
    FakeEngines &engines, Instance::InstanceSettings settings)
    : m_world(world)
    , m_network(network)
    , m_engines(engines)
    , m_name(settings.self.id.name.text())
    , m_id(settings.self.id)
    , m_table(world, table, m_name,
          [this, isAlive = m_isAlive](std::function<void()> task) {
              if (*isAlive)
                  runOrDefer(std::move(task));
          })
    , m_instance(std::make_unique<Instance::Instance>(std::move(settings), *this, m_table, *this,
          *this, *this, world.random(),
          Instance::InstanceEvents{[](std::uint64_t, const Configuration::Declaration &) {},
              [](const Base::InstanceId &) {}}))
{
    m_network.attach(m_name,
        {[this](const Peer::PeerEnvelope &envelope) {
             const bool isForThisIncarnation = envelope.to.incarnation == 0 || envelope.to == m_id;
             if (isForThisIncarnation)
                 runOrDefer([this, envelope] { m_instance->onPeerMessage(envelope); });
         },
            [this](const Membership::GossipMessage &message) {
                runOrDefer([this, message] { m_instance->onGossip(message); });
            }});
    m_instance->start();
}

VirtualInstance::~VirtualInstance()
{
    *m_isAlive = false;
    m_network.detach(m_name);
}

Base::Milliseconds VirtualInstance::now() const
{
    return m_world.now();
}

void VirtualInstance::schedule(Base::Milliseconds delay, std::function<void()> task)
{
    m_world.schedule(delay, [this, isAlive = m_isAlive, task = std::move(task)] {
        if (*isAlive)
            runOrDefer(task);
    });
}

void VirtualInstance::runOrDefer(std::function<void()> task)
{
    if (m_isPaused) {
        m_deferredTasks.push_back(std::move(task));
    } else {
        task();
    }
}

void VirtualInstance::resume()
{
    m_isPaused = false;
    while (!m_deferredTasks.empty() && !m_isPaused) {
        auto task = std::move(m_deferredTasks.front());
        m_deferredTasks.pop_front();
        task();
    }
}

void VirtualInstance::send(const Base::InstanceId &to, Peer::PeerMessage message)
{
    const auto *request = std::get_if<Peer::RecordReservation>(&message);
    if (mutation == Mutation::NoWitness && request) {
        const Peer::ReservationRecorded recorded{request->grant, request->reservation, true};
        return schedule(Base::Milliseconds(1), [this, recorded] {
            m_instance->onPeerMessage({m_id, m_id, recorded});
        });
    }
    auto *recorded = std::get_if<Peer::ReservationRecorded>(&message);
    if (mutation == Mutation::NoFence && recorded)
        recorded->isAccepted = true;
    m_network.sendPeer({m_id, to, std::move(message)});
}

void VirtualInstance::send(std::string_view address, const Membership::GossipMessage &message)
{
    // On the fake network an instance's address is its name.
    m_network.sendGossip(m_name, std::string(address), message);
}

void VirtualInstance::lookUp(const Base::ServiceName &, const Base::GrantId &grant,
    std::uint64_t reservation, std::function<void(Budget::AttemptLookupResult)> callback)
{
    schedule(Base::Milliseconds(2),
        [this, key = grant.text() + ":" + std::to_string(reservation), callback] {
            callback(m_engines.lookUpAttempts(key));
        });
}

} // namespace Carawaykeel::Tests
