#include <Support/RelayFleet.h>

#include <algorithm>
#include <fmt/core.h>
#include <utility>
#include <variant>

namespace Carawaykeel::Tests {

namespace {

/// The bandwidth of the smallest VM of the users' fleets, 10 Mbit/s.
constexpr std::size_t LinkBytesPerMillisecond = 1'250;
constexpr Base::Milliseconds MessageDelay{2};
constexpr Base::Milliseconds MaxDuration{60'000};
constexpr std::string_view NamePrefix = "instance-";

Base::InstanceId makeId(std::size_t instance)
{
    return {Base::InstanceName(fmt::format("{}{}", NamePrefix, instance)), 1};
}

} // namespace

class RelayFleet::Node : public Peer::PeerTransport
{
public:
    Node(RelayFleet &fleet, std::size_t instance)
        : relay(fleet, *this)
        , id(makeId(instance))
        , m_fleet(fleet)
        , m_instance(instance)
    {
    }

    void send(const Base::InstanceId &to, Peer::PeerMessage message) override
    {
        m_fleet.carry(m_instance, to, message);
    }

    Configuration::ConfigurationRelay relay;
    const Base::InstanceId id;
    std::uint64_t version = 0;
    Base::Milliseconds linkBusyUntil;

private:
    RelayFleet &m_fleet;
    const std::size_t m_instance;
};

RelayFleet::RelayFleet(std::size_t instanceCount, std::size_t documentBytes)
    : m_world(1)
    , m_document(documentBytes, 'x')
{
    for (std::size_t n = 0; n < instanceCount; ++n)
        m_nodes.push_back(std::make_unique<Node>(*this, n));
}

RelayFleet::~RelayFleet() = default;

void RelayFleet::setVersion(std::size_t instance, std::uint64_t version)
{
    m_nodes.at(instance)->version = version;
}

Base::Milliseconds RelayFleet::runUntilAllHave(std::uint64_t version)
{
    const auto startedAt = now();
    while (!allHave(version) && now() - startedAt < MaxDuration) {
        announceAll();
        m_world.run(Base::Milliseconds(1));
    }
    return now() - startedAt;
}

bool RelayFleet::allHave(std::uint64_t version) const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(),
        [version](const auto &node) { return node->version >= version; });
}

void RelayFleet::announceAll()
{
    const auto last = static_cast<std::int64_t>(m_nodes.size()) - 1;
    for (const auto &from : m_nodes) {
        auto &to = *m_nodes.at(static_cast<std::size_t>(m_world.draw(0, last)));
        to.relay.onVersionAnnounced(from->id, from->version, {to.version, false});
    }
}

void RelayFleet::carry(
    std::size_t from, const Base::InstanceId &to, const Peer::PeerMessage &message)
{
    auto &sender = *m_nodes.at(from);
    auto &receiver = *m_nodes.at(std::stoul(to.name.text().substr(NamePrefix.size())));
    if (const auto *request = std::get_if<Peer::FetchConfiguration>(&message)) {
        schedule(MessageDelay, [this, &sender, &receiver, request = *request] {
            receiver.relay.onFetchRequest(sender.id, request, receiver.version, m_document);
        });
    } else if (std::holds_alternative<Peer::OfferConfiguration>(message)) {
        schedule(MessageDelay, [&sender, &receiver] { receiver.relay.onFetchRefused(sender.id); });
    } else if (const auto *delivery = std::get_if<Peer::DeliverConfiguration>(&message)) {
        ++m_documentsSent;
        const Base::Milliseconds duration(
            static_cast<std::int64_t>(delivery->document.size() / LinkBytesPerMillisecond));
        sender.linkBusyUntil = std::max(sender.linkBusyUntil, now()) + duration;
        schedule(sender.linkBusyUntil - now(), [&receiver, version = delivery->version] {
            receiver.version = std::max(receiver.version, version);
        });
    }
}

} // namespace Carawaykeel::Tests
