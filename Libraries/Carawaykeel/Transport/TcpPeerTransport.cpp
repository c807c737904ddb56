#include <Carawaykeel/Transport/TcpPeerTransport.h>

#include <algorithm>
#include <utility>

namespace Carawaykeel::Transport {

using Logging::LogEvent;
using Logging::LogFields;

namespace {

/// Violations of the protocol by peers are logged at most once in this time.
constexpr Base::Milliseconds ViolationLogInterval{1'000};

} // namespace

TcpPeerTransport::TcpPeerTransport(Base::InstanceId self, const std::string &address,
    std::size_t frameLimit, const Peer::AuthenticatedCodec &codec, Net::Reactor &reactor,
    const Logging::Logger &log, Resolver resolver, Receiver receiver, PeerConnectionPolicy policy)
    : m_self(std::move(self))
    , m_frameLimit(frameLimit)
    , m_policy(policy)
    , m_codec(codec)
    , m_reactor(reactor)
    , m_log(log)
    , m_resolver(std::move(resolver))
    , m_receiver(std::move(receiver))
    , m_lifetime(std::make_shared<char>())
    , m_usage(policy.maxOutgoing, policy.idleTimeout)
    , m_listener(
          reactor, address, [this](const Poco::Net::StreamSocket &stream) { accept(stream); })
{
    scheduleChecks();
}

TcpPeerTransport::~TcpPeerTransport() = default;

void TcpPeerTransport::send(const Base::InstanceId &to, Peer::PeerMessage message)
{
    const auto address = m_resolver(to.name);
    if (address.empty())
        return;
    auto &sender = senderFor(to.name, address);
    if (sender.send(m_codec.encode(Peer::PeerEnvelope{m_self, to, std::move(message)}))) {
        ++m_messagesSent;
    } else {
        ++m_messagesDropped;
    }
}

PeerSender &TcpPeerTransport::senderFor(const Base::InstanceName &name, const std::string &address)
{
    if (const auto closed = m_usage.use(name, m_reactor.now()))
        closeSender(*closed);
    auto &sender = m_senders[name];
    if (!sender || sender->address() != address)
        sender = std::make_shared<PeerSender>(m_reactor, m_policy, address);
    return *sender;
}

void TcpPeerTransport::closeSender(const Base::InstanceName &name)
{
    auto sender = std::move(m_senders.at(name));
    m_senders.erase(name);
    const bool isFinishing = sender->queuedBytes() > 0;
    if (isFinishing && m_finishingSenders.size() < m_policy.maxFinishing)
        m_finishingSenders.push_back(std::move(sender));
}

void TcpPeerTransport::accept(const Poco::Net::StreamSocket &stream)
{
    if (m_receivers.size() >= m_policy.maxIncoming) {
        reportViolation("too many connections");
        return Poco::Net::StreamSocket(stream).close();
    }
    auto receiver = std::make_shared<PeerReceiver>(
        m_reactor, stream, m_policy, m_frameLimit,
        [this](std::string_view bytes) { return receive(bytes); },
        [this](PeerReceiver &closed, std::string_view violation) {
            onReceiverClosed(closed, violation);
        });
    m_receivers.emplace(receiver.get(), receiver);
}

bool TcpPeerTransport::receive(std::string_view bytes)
{
    auto outcome = Base::toOutcome<Peer::PeerEnvelope>(
        [&] { return m_codec.tryDecode<Peer::PeerEnvelope>(bytes); });
    const auto *envelope = std::get_if<Peer::PeerEnvelope>(&outcome);
    if (!envelope) {
        ++m_malformed;
        return false;
    }
    const bool isForThisIncarnation = envelope->to.incarnation == 0 || envelope->to == m_self;
    if (isForThisIncarnation)
        m_receiver(*envelope);
    return true;
}

void TcpPeerTransport::onReceiverClosed(PeerReceiver &receiver, std::string_view violation)
{
    if (!violation.empty())
        reportViolation(violation);
    // The receiver is on the call stack, so the reactor destroys it later.
    const auto it = m_receivers.find(&receiver);
    m_reactor.post([keptAlive = std::move(it->second)] {});
    m_receivers.erase(it);
}

void TcpPeerTransport::reportViolation(std::string_view violation)
{
    if (m_reactor.now() < m_nextViolationLogAt)
        return;
    m_nextViolationLogAt = m_reactor.now() + ViolationLogInterval;
    m_log.warn(LogEvent::PeerConnectionRefused,
        LogFields().add("reason", violation).add("malformed", m_malformed.load()));
}

void TcpPeerTransport::scheduleChecks()
{
    m_reactor.schedule(m_policy.checkInterval, [this, weak = std::weak_ptr(m_lifetime)] {
        if (weak.expired())
            return;
        checkTimeouts();
        scheduleChecks();
    });
}

void TcpPeerTransport::checkTimeouts()
{
    for (const auto &name : m_usage.takeIdle(m_reactor.now()))
        closeSender(name);
    for (const auto &[name, sender] : m_senders)
        sender->checkTimeouts();
    for (const auto &sender : m_finishingSenders)
        sender->checkTimeouts();
    std::erase_if(
        m_finishingSenders, [](const auto &sender) { return sender->queuedBytes() == 0; });
    std::vector<std::shared_ptr<PeerReceiver>> receivers;
    for (const auto &[key, receiver] : m_receivers)
        receivers.push_back(receiver);
    for (const auto &receiver : receivers)
        receiver->checkTimeouts();
}

std::size_t TcpPeerTransport::outgoingCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_senders, [](const auto &entry) { return entry.second->isOpen(); }));
}

std::size_t TcpPeerTransport::bufferedBytes() const
{
    std::size_t n = 0;
    for (const auto &[name, sender] : m_senders)
        n += sender->queuedBytes();
    for (const auto &sender : m_finishingSenders)
        n += sender->queuedBytes();
    for (const auto &[key, receiver] : m_receivers)
        n += receiver->bufferedBytes();
    return n;
}

} // namespace Carawaykeel::Transport
