#pragma once

#include <Carawaykeel/Budget/AllotmentHolder.h>
#include <Support/FakeNetwork.h>
#include <Support/FakeTable.h>
#include <Support/VirtualWorld.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Carawaykeel::Tests {

/// What callers were told.
struct HoldOutcomeCounts
{
    std::int64_t granted = 0;
    std::int64_t exhausted = 0;
    std::int64_t unreachable = 0;

    std::int64_t refused() const { return exhausted + unreachable; }
};

/// Instances that hold allotments of one team, in virtual time, with the truth of what was used.
class AllotmentFleet
{
public:
    AllotmentFleet(VirtualWorld &world, int instances, std::int64_t prepaid);
    ~AllotmentFleet();

    /// A request arrives at an instance; it uses some or all of what it asked for, and ends later.
    void request(int instance, std::int64_t tokens);

    /// Ends an instance's life at once. What its requests use by then is drawn.
    void kill(int instance);
    void start(int instance);
    void killAll();
    void startAll();
    void freeze(int instance, Base::Milliseconds span);
    void topUp(std::int64_t tokens);

    bool isAlive(int instance) const;
    std::int64_t used() const { return m_used; }
    std::int64_t prepaid() const { return m_prepaid; }
    /// Times that an instance was found to have spent more than the table sets aside for it.
    int overdrafts() const { return m_overdrafts; }
    const HoldOutcomeCounts &counts() const { return m_counts; }
    Budget::AllotmentHolder &holder(int instance);
    FakeTable &table() { return m_table; }
    FakeNetwork &network() { return m_network; }

    static std::string nameOf(int instance) { return "entry-" + std::to_string(instance); }

private:
    class Life;

    std::vector<Base::InstanceId> peersOf(const Base::InstanceId &self) const;

    void onHold(const std::shared_ptr<Life> &life, std::int64_t tokens,
        Base::Outcome<Budget::TokenHold> outcome);

    VirtualWorld &m_world;
    FakeTable m_table;
    FakeNetwork m_network;
    std::vector<std::shared_ptr<Life>> m_lives;
    std::int64_t m_prepaid;
    std::int64_t m_used = 0;
    std::uint64_t m_incarnations = 0;
    HoldOutcomeCounts m_counts;
    int m_overdrafts = 0;
};

} // namespace Carawaykeel::Tests
