#pragma once

#include <Carawaykeel/Budget/AllotmentHolder.h>
#include <Support/FakeNetwork.h>
#include <Support/FakeTable.h>
#include <Support/VirtualWorld.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Carawaykeel::Tests {

/// Holds by outcome.
struct HoldOutcomeCounts
{
    std::int64_t granted = 0;
    std::int64_t exhausted = 0;
    std::int64_t unavailable = 0;

    std::int64_t refused() const { return exhausted + unavailable; }
};

/// Instances that hold allotments of some teams in virtual time, and a record of the tokens
/// actually used. All teams have the same number of prepaid tokens.
class AllotmentFleet
{
public:
    AllotmentFleet(VirtualWorld &world, int instances, std::int64_t prepaid, int teams = 1);
    ~AllotmentFleet();

    /// Sends a request to an instance. It uses some or all of the held tokens and ends later.
    void request(int instance, std::int64_t tokens, int team = 0);

    /// Sends a request that uses some of the held tokens and ends after a span.
    void requestUsing(int instance, std::int64_t tokens, std::int64_t used, Base::Milliseconds span,
        int team = 0);

    /// Kills an instance. The tokens used by its requests have been counted already.
    void kill(int instance);
    void start(int instance);
    void killAll();
    void startAll();
    void pause(int instance, Base::Milliseconds span);
    void topUp(std::int64_t tokens);
    /// Announces teams to all instances, as a change of the configuration does.
    void setTeamCount(int teams);

    bool isAlive(int instance) const;
    std::int64_t used(int team = 0) const { return m_used.at(static_cast<std::size_t>(team)); }
    int teamCount() const { return static_cast<int>(m_used.size()); }
    std::int64_t prepaid() const { return m_prepaid; }
    /// Number of times that an instance had spent more than its allotment in the table.
    int overdrafts() const { return m_overdrafts; }
    /// Tokens of a team that live instances may spend now or hold for requests that will not use
    /// them.
    std::int64_t tokensInMemory(int team = 0) const;
    /// Tokens in messages between instances that were sent and not received.
    std::int64_t tokensInMessages() const { return m_tokensInMessages; }
    const HoldOutcomeCounts &counts() const { return m_counts; }
    Budget::AllotmentHolder &holder(int instance);
    FakeTable &table() { return m_table; }
    FakeNetwork &network() { return m_network; }

    static std::string nameOf(int instance) { return "entry-" + std::to_string(instance); }

private:
    class Incarnation;

    /// The tokens that a request uses, and the time from its hold to its end.
    struct RequestUse
    {
        std::int64_t tokens;
        Base::Milliseconds span;
    };

    std::vector<Base::InstanceId> peersOf(const Base::InstanceId &self) const;

    std::vector<Budget::PrepaidTokens> prepaidByTeam() const;
    /// Holds tokens for a request. The callback draws what it uses and how long it takes.
    void hold(int instance, std::int64_t tokens, int team, std::function<RequestUse()> drawUse);
    void onHold(const std::shared_ptr<Incarnation> &incarnation, int team,
        const std::function<RequestUse()> &drawUse, Base::Outcome<Budget::TokenHold> outcome);

    VirtualWorld &m_world;
    FakeTable m_table;
    FakeNetwork m_network;
    std::vector<std::shared_ptr<Incarnation>> m_instances;
    std::int64_t m_prepaid;
    std::vector<std::int64_t> m_used;
    std::uint64_t m_lastIncarnation = 0;
    HoldOutcomeCounts m_counts;
    int m_overdrafts = 0;
    std::int64_t m_tokensInMessages = 0;
};

} // namespace Carawaykeel::Tests
