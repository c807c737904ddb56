#include <Carawaykeel/Configuration/ConfigurationRelay.h>

#include <Support/RecordingTransport.h>
#include <Support/WorldScheduler.h>

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

/// Requirement: an accepted change is in force on all instances within this time.
constexpr std::int64_t ActivationBoundMs = 3'000;

using Configuration::ConfigurationRelay;
using Configuration::ConfigurationRelayPolicy;

Base::InstanceId makePeer(int n)
{
    return {Base::InstanceName(fmt::format("peer-{}", n)), 1};
}

/// A fleet in which each instance announces its version to random others, as datagrams do, and
/// whose links carry one document at a time.
class RelayFleet : public Base::Scheduler
{
public:
    /// Announcements that each instance sends in a millisecond, as backlog reports of a busy fleet.
    static constexpr int AnnouncementsPerMillisecond = 1;
    static constexpr std::int64_t LinkBytesPerMillisecond = 1'250;

    RelayFleet(int instanceCount, std::size_t documentBytes)
        : m_world(1)
        , m_document(documentBytes, 'x')
    {
        for (int n = 0; n < instanceCount; ++n)
            m_nodes.push_back(std::make_unique<Node>(*this, n));
    }

    Base::Milliseconds now() const override { return m_world.now(); }
    void schedule(Base::Milliseconds delay, std::function<void()> task) override
    {
        m_world.schedule(delay, std::move(task));
    }

    void setVersion(int n, std::uint64_t version) { m_nodes.at(n)->version = version; }

    /// Runs until all instances have the version. Returns how long that took.
    Base::Milliseconds runUntilAllHave(std::uint64_t version)
    {
        const auto startedAt = now();
        while (!allHave(version) && now() - startedAt < Base::Milliseconds(60'000)) {
            announceOnce();
            m_world.run(Base::Milliseconds(1));
        }
        return now() - startedAt;
    }

    int deliveries() const { return m_deliveries; }

private:
    struct Node : public Peer::PeerTransport
    {
        Node(RelayFleet &owner, int n)
            : fleet(owner)
            , index(n)
            , relay(owner, *this)
        {
        }

        void send(const Base::InstanceId &to, Peer::PeerMessage message) override
        {
            fleet.carry(index, to, std::move(message));
        }

        RelayFleet &fleet;
        const int index;
        ConfigurationRelay relay;
        std::uint64_t version = 0;
        Base::Milliseconds linkBusyUntil;
    };

    bool allHave(std::uint64_t version) const
    {
        return std::ranges::all_of(
            m_nodes, [version](const auto &node) { return node->version >= version; });
    }

    void announceOnce()
    {
        for (const auto &from : m_nodes) {
            for (int n = 0; n < AnnouncementsPerMillisecond; ++n) {
                const auto last = static_cast<std::int64_t>(m_nodes.size()) - 1;
                auto &to = *m_nodes.at(static_cast<std::size_t>(m_world.draw(0, last)));
                to.relay.onVersionAnnounced(
                    makePeer(from->index), from->version, {to.version, false});
            }
        }
    }

    void carry(int from, const Base::InstanceId &to, Peer::PeerMessage message)
    {
        const int receiver = std::stoi(to.name.text().substr(std::string("peer-").size()));
        if (const auto *request = std::get_if<Peer::FetchConfiguration>(&message)) {
            schedule(Base::Milliseconds(2), [this, from, receiver, request = *request] {
                auto &node = *m_nodes.at(receiver);
                node.relay.onFetchRequest(makePeer(from), request, node.version, m_document);
            });
        }
        if (std::holds_alternative<Peer::OfferConfiguration>(message)) {
            schedule(Base::Milliseconds(2), [this, from, receiver] {
                m_nodes.at(receiver)->relay.onFetchRefused(makePeer(from));
            });
        }
        if (const auto *delivery = std::get_if<Peer::DeliverConfiguration>(&message)) {
            ++m_deliveries;
            auto &sender = *m_nodes.at(from);
            const Base::Milliseconds duration(
                static_cast<std::int64_t>(delivery->document.size()) / LinkBytesPerMillisecond);
            sender.linkBusyUntil = std::max(sender.linkBusyUntil, now()) + duration;
            schedule(sender.linkBusyUntil - now(), [this, receiver, version = delivery->version] {
                auto &node = *m_nodes.at(receiver);
                node.version = std::max(node.version, version);
            });
        }
    }

    VirtualWorld m_world;
    const std::string m_document;
    std::vector<std::unique_ptr<Node>> m_nodes;
    int m_deliveries = 0;
};

} // namespace

/// When instances ask each other for a configuration, and when they send theirs.
class ConfigurationRelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationRelayTest);
    CPPUNIT_TEST(largeDocumentReachesSixtyInstancesInTime);
    CPPUNIT_TEST(waitsForTheTableServiceFirst);
    CPPUNIT_TEST(asksAnotherInstanceWhenNoDocumentArrives);
    CPPUNIT_TEST(sendsOnlyWhatArrivesInTime);
    CPPUNIT_TEST(sendsDocumentsOfAnySize);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a fetch storm in a fleet whose links take a third of a second for a document:
    /// one instance has a new version, and no other can reach the table service.
    void largeDocumentReachesSixtyInstancesInTime()
    {
        constexpr int InstanceCount = 60;
        RelayFleet fleet(InstanceCount, 420'000);
        fleet.setVersion(0, 1);
        const auto duration = fleet.runUntilAllHave(1);
        CPPUNIT_ASSERT_LESSEQUAL(ActivationBoundMs, duration.count());
        // Each instance but the first needs one; few are sent twice because the first was slow.
        CPPUNIT_ASSERT_LESSEQUAL(InstanceCount * 3 / 2, fleet.deliveries());
    }

    void waitsForTheTableServiceFirst()
    {
        VirtualWorld world(1);
        WorldScheduler scheduler(world);
        RecordingTransport transport;
        ConfigurationRelay relay(scheduler, transport);
        const ConfigurationRelayPolicy policy;
        CPPUNIT_ASSERT(!relay.onVersionAnnounced(makePeer(1), 2, {1, true}));
        world.run(policy.directSourceDelay - Base::Milliseconds(1));
        CPPUNIT_ASSERT(!relay.onVersionAnnounced(makePeer(1), 2, {1, true}));
        world.run(Base::Milliseconds(1));
        CPPUNIT_ASSERT(relay.onVersionAnnounced(makePeer(1), 2, {1, true}));
        // A later version starts the wait anew, because the table service delivered the one before.
        CPPUNIT_ASSERT(!relay.onVersionAnnounced(makePeer(1), 3, {2, true}));
    }

    void asksAnotherInstanceWhenNoDocumentArrives()
    {
        VirtualWorld world(1);
        WorldScheduler scheduler(world);
        RecordingTransport transport;
        ConfigurationRelay relay(scheduler, transport);
        const ConfigurationRelayPolicy policy;
        CPPUNIT_ASSERT(relay.onVersionAnnounced(makePeer(1), 2, {1, false}));
        CPPUNIT_ASSERT(!relay.onVersionAnnounced(makePeer(2), 2, {1, false}));
        world.run(policy.fetchTimeout);
        CPPUNIT_ASSERT(relay.onVersionAnnounced(makePeer(2), 2, {1, false}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), transport.messages.size());
    }

    /// A document that arrives after the receiver has asked another instance is sent in vain.
    void sendsOnlyWhatArrivesInTime()
    {
        VirtualWorld world(1);
        WorldScheduler scheduler(world);
        RecordingTransport transport;
        ConfigurationRelay relay(scheduler, transport);
        const ConfigurationRelayPolicy policy;
        const auto bytesInTime = policy.assumedBytesPerSecond
            * static_cast<std::size_t>(policy.fetchTimeout.count()) / 1'000;
        const std::string document(bytesInTime / 2, 'x');
        CPPUNIT_ASSERT(!relay.onFetchRequest(makePeer(1), {5}, 5, document));
        CPPUNIT_ASSERT(relay.onFetchRequest(makePeer(1), {4}, 5, document));
        CPPUNIT_ASSERT(relay.onFetchRequest(makePeer(2), {4}, 5, document));
        CPPUNIT_ASSERT(!relay.onFetchRequest(makePeer(3), {4}, 5, document));
        world.run(policy.fetchTimeout / 2);
        CPPUNIT_ASSERT(relay.onFetchRequest(makePeer(3), {4}, 5, document));
    }

    void sendsDocumentsOfAnySize()
    {
        VirtualWorld world(1);
        WorldScheduler scheduler(world);
        RecordingTransport transport;
        ConfigurationRelay relay(scheduler, transport);
        const std::string document(2 * ConfigurationRelayPolicy().assumedBytesPerSecond, 'x');
        CPPUNIT_ASSERT(relay.onFetchRequest(makePeer(1), {4}, 5, document));
        CPPUNIT_ASSERT(!relay.onFetchRequest(makePeer(2), {4}, 5, document));
        world.run(Base::Milliseconds(2'000));
        CPPUNIT_ASSERT(relay.onFetchRequest(makePeer(2), {4}, 5, document));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationRelayTest);

} // namespace Carawaykeel::Tests
