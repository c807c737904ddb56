#include <Carawaykeel/Budget/GrantWitness.h>

namespace Carawaykeel::Budget {

namespace {

/// Numbers of finished reservations that are kept for each grant. Copies of a message are late by
/// seconds at most, so older numbers need not be known.
constexpr std::size_t FinishedKept = 4'096;

void keepFinished(WitnessedGrant &grant, std::uint64_t reservation)
{
    grant.finished.insert(reservation);
    if (grant.finished.size() > FinishedKept)
        grant.finished.erase(grant.finished.begin());
}

} // namespace

GrantWitness::GrantWitness(Base::InstanceContext &context)
    : m_context(context)
{
}

void GrantWitness::onRecordReservation(
    const Base::InstanceId &from, const Peer::RecordReservation &message)
{
    auto &grant = m_grants[message.grant];
    const bool isKnown = grant.open.contains(message.reservation);
    const bool isAccepted =
        isKnown || (!grant.isFenced && !grant.finished.contains(message.reservation));
    if (isAccepted && !isKnown) {
        grant.open.emplace(message.reservation,
            WitnessedReservation{message.budget, message.team, message.request, message.service,
                message.tokens, m_context.scheduler.now(), std::nullopt});
    }
    m_context.peers.send(
        from, Peer::ReservationRecorded{message.grant, message.reservation, isAccepted});
}

void GrantWitness::onRecordSettlement(
    const Base::InstanceId &from, const Peer::RecordSettlement &message)
{
    auto &grant = m_grants[message.grant];
    if (!message.hasRun) {
        finish(message.grant, message.reservation);
    } else {
        const auto it = grant.open.find(message.reservation);
        if (it != grant.open.end())
            it->second.bill = message.bill;
    }
    m_context.peers.send(from, Peer::SettlementRecorded{message.grant, message.reservation});
}

void GrantWitness::onForgetReservations(const Peer::ForgetReservations &message)
{
    for (const auto reservation : message.reservations)
        finish(message.grant, reservation);
}

WitnessedGrant &GrantWitness::fence(const Base::GrantId &id)
{
    auto &grant = m_grants[id];
    grant.isFenced = true;
    return grant;
}

void GrantWitness::finish(const Base::GrantId &id, std::uint64_t reservation)
{
    auto &grant = m_grants[id];
    grant.open.erase(reservation);
    keepFinished(grant, reservation);
}

} // namespace Carawaykeel::Budget
