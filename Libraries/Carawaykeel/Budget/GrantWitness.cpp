#include <Carawaykeel/Budget/GrantWitness.h>

namespace Carawaykeel::Budget {

namespace {

/// Finished reservations that are remembered per grant. Duplicate messages are late by a few
/// seconds at most, so older ones are not needed.
constexpr std::size_t MaxRememberedFinished = 4'096;

void rememberFinished(WitnessedGrant &grant, std::uint64_t reservation)
{
    grant.finished.insert(reservation);
    if (grant.finished.size() > MaxRememberedFinished)
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
    const bool isKnown = grant.openReservations.contains(message.reservation);
    const bool isAccepted =
        isKnown || (!grant.isFenced && !grant.finished.contains(message.reservation));
    if (isAccepted && !isKnown) {
        grant.openReservations.emplace(message.reservation,
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
        forget(message.grant, message.reservation);
    } else {
        const auto it = grant.openReservations.find(message.reservation);
        if (it != grant.openReservations.end())
            it->second.bill = message.bill;
    }
    m_context.peers.send(from, Peer::SettlementRecorded{message.grant, message.reservation});
}

void GrantWitness::onForgetReservations(const Peer::ForgetReservations &message)
{
    for (const auto reservation : message.reservations)
        forget(message.grant, reservation);
}

WitnessedGrant &GrantWitness::fence(const Base::GrantId &id)
{
    auto &grant = m_grants[id];
    grant.isFenced = true;
    return grant;
}

void GrantWitness::forget(const Base::GrantId &id, std::uint64_t reservation)
{
    auto &grant = m_grants[id];
    grant.openReservations.erase(reservation);
    rememberFinished(grant, reservation);
}

} // namespace Carawaykeel::Budget
