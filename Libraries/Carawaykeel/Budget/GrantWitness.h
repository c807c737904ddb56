#pragma once

#include <Carawaykeel/Base/InstanceContext.h>
#include <Carawaykeel/Budget/BudgetPolicy.h>
#include <Carawaykeel/Budget/WitnessedGrant.h>

#include <map>

namespace Carawaykeel::Budget {

/// The witness's record of reservations. It answers its holders and can be fenced; the reclaimer
/// reads from it. Everything in it is lost with the process, and a later life of the instance
/// witnesses none of the grants that name an earlier one.
class GrantWitness
{
public:
    GrantWitness(Base::InstanceContext &context);

    void onRecordReservation(const Base::InstanceId &from, const Peer::RecordReservation &message);
    void onRecordSettlement(const Base::InstanceId &from, const Peer::RecordSettlement &message);
    void onForgetReservations(const Peer::ForgetReservations &message);

    /// From now on no reservation of this grant is recorded.
    WitnessedGrant &fence(const Base::GrantId &id);

    /// Forgets one reservation of which the platform has the bill, or which never ran.
    void finish(const Base::GrantId &id, std::uint64_t reservation);

    const std::map<Base::GrantId, WitnessedGrant> &grants() const { return m_grants; }

private:
    Base::InstanceContext &m_context;
    std::map<Base::GrantId, WitnessedGrant> m_grants;
};

} // namespace Carawaykeel::Budget
