#include <Carawaykeel/Adapters/StateDump.h>

#include <Poco/JSON/Array.h>
#include <string_view>

namespace Carawaykeel::Adapters {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Object orderedObject()
{
    return Object(Poco::JSON_PRESERVE_KEY_ORDER);
}

std::string_view phaseName(Budget::ReservationPhase phase)
{
    switch (phase) {
    case Budget::ReservationPhase::Requested:
        return "asked";
    case Budget::ReservationPhase::Recorded:
        return "recorded";
    case Budget::ReservationPhase::Settled:
        break;
    }
    return "settled";
}

std::string_view stateName(Membership::MemberState state)
{
    switch (state) {
    case Membership::MemberState::Alive:
        return "alive";
    case Membership::MemberState::Suspect:
        return "suspect";
    case Membership::MemberState::Failed:
        break;
    }
    return "missed";
}

std::string toText(const Base::InstanceId &id)
{
    return id.name.text() + "." + std::to_string(id.incarnation);
}

Object dumpGrant(const Budget::HeldGrant &grant)
{
    auto object = orderedObject();
    object.set("grant", grant.id.text());
    object.set("budget", grant.row.budget.text());
    object.set("witness", toText(grant.row.witness));
    object.set("amount", grant.row.amount.count());
    object.set("settled", grant.row.settled.count());
    object.set("unflushed", grant.unflushed.count());
    object.set("reserved", grant.reserved.count());
    object.set("unreserved", grant.unreserved().count());
    object.set("retiring", grant.state == Budget::GrantState::Retiring);
    Array reservations;
    for (const auto &[number, reservation] : grant.reservations) {
        auto entry = orderedObject();
        entry.set("number", number);
        entry.set("team", reservation.request.team.text());
        entry.set("request", reservation.request.request.text());
        entry.set("tokens", reservation.tokens.count());
        entry.set("phase", std::string(phaseName(reservation.phase)));
        entry.set("safe", reservation.isDurable);
        reservations.add(entry);
    }
    object.set("reservations", reservations);
    return object;
}

Array dumpGrants(Instance::Instance &instance)
{
    Array grants;
    for (const auto *grant : instance.grantHolder().grants().all())
        grants.add(dumpGrant(*grant));
    return grants;
}

Array dumpWitnessed(Instance::Instance &instance)
{
    Array grants;
    for (const auto &[id, grant] : instance.witness().grants()) {
        auto object = orderedObject();
        object.set("grant", id.text());
        object.set("fenced", grant.isFenced);
        object.set("open", grant.openReservations.size());
        object.set("counted", grant.outstandingTokens().count());
        grants.add(object);
    }
    return grants;
}

Object dumpMember(const Membership::Member &member)
{
    auto object = orderedObject();
    object.set("name", member.id.name.text());
    object.set("incarnation", member.id.incarnation);
    object.set("data_centre", member.dataCentre.text());
    object.set("vm", member.vm);
    object.set("callers", member.callerAddress);
    object.set("operators", member.operatorAddress);
    object.set("state", std::string(stateName(member.state)));
    object.set("leaving", member.isLeaving);
    return object;
}

Array dumpMembers(Instance::Instance &instance)
{
    Array members;
    members.add(dumpMember(instance.membership().self()));
    for (const auto &[name, member] : instance.membership().members())
        members.add(dumpMember(member));
    return members;
}

Array dumpServers(Instance::Instance &instance)
{
    Array servers;
    for (const auto &server : instance.dispatcher().servers()) {
        auto object = orderedObject();
        object.set("name", server.name.text());
        object.set("address", server.address);
        object.set("in_flight", server.inFlight);
        object.set("capacity", server.capacity);
        object.set("reported_load", server.reportedLoad);
        object.set("leaving", server.isLeaving);
        object.set("evacuated", server.isEvacuated);
        object.set("ejected_until_ms", server.ejectedUntil.count());
        servers.add(object);
    }
    return servers;
}

} // namespace

Object dumpHealth(Instance::Instance &instance)
{
    auto object = orderedObject();
    object.set("instance", instance.id().name.text());
    object.set("incarnation", instance.id().incarnation);
    object.set("version", instance.configuration().version());
    object.set("ready", instance.configuration().isReady());
    object.set("shutting_down", instance.isShuttingDown());
    object.set("in_flight", instance.requestCoordinator().inFlightCount());
    object.set("members", dumpMembers(instance));
    return object;
}

Object dumpState(Instance::Instance &instance)
{
    auto object = dumpHealth(instance);
    object.set("grants", dumpGrants(instance));
    object.set("witnessed", dumpWitnessed(instance));
    object.set("servers", dumpServers(instance));
    object.set("queued", instance.dispatcher().queuedRequests());
    object.set("requests_known", instance.requestCoordinator().registry().size());
    Array services;
    for (const auto &service : instance.configuration().declaration().services)
        services.add(service.name.text());
    object.set("services", services);
    return object;
}

} // namespace Carawaykeel::Adapters
