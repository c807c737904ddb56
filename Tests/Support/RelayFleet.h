#pragma once

#include <Carawaykeel/Configuration/ConfigurationRelay.h>
#include <Support/VirtualWorld.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Carawaykeel::Tests {

/// Instances in virtual time that pass one configuration to each other. Each announces its version
/// to random others, as datagrams do, and sends one document at a time over its link.
class RelayFleet : public Base::Scheduler
{
public:
    RelayFleet(std::size_t instanceCount, std::size_t documentBytes);
    ~RelayFleet() override;

    Base::Milliseconds now() const override { return m_world.now(); }
    void schedule(Base::Milliseconds delay, std::function<void()> task) override
    {
        m_world.schedule(delay, std::move(task));
    }

    /// Puts a version in force at one instance.
    void setVersion(std::size_t instance, std::uint64_t version);

    /// Runs until all instances have the version, or for a minute. Returns how long that took.
    Base::Milliseconds runUntilAllHave(std::uint64_t version);

    /// Lets every instance announce its version to a random other one.
    void announceAll();

    std::size_t documentsSent() const { return m_documentsSent; }

private:
    class Node;

    bool allHave(std::uint64_t version) const;
    void carry(std::size_t from, const Base::InstanceId &to, const Peer::PeerMessage &message);

    VirtualWorld m_world;
    const std::string m_document;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::size_t m_documentsSent = 0;
};

} // namespace Carawaykeel::Tests
