#pragma once

#include <Carawaykeel/Base/InstanceId.h>
#include <Carawaykeel/Base/Tokens.h>
#include <Carawaykeel/Billing/Bill.h>
#include <Carawaykeel/Forwarding/ServerEntry.h>

#include <cereal/types/optional.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Carawaykeel::Peer {

/// Requests that a grant's witness record a reservation before its request is dispatched.
/// Idempotent.
struct RecordReservation
{
    Base::GrantId grant;
    Base::BudgetId budget;
    std::uint64_t reservation = 0;
    Base::TeamId team;
    Base::RequestId request;
    Base::ServiceName service;
    Base::Tokens tokens;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(grant, budget, reservation, team, request, service, tokens);
    }
};

/// The witness's reply. Not accepted when the grant is fenced, or when the receiver is not the
/// incarnation of the witness that the grant names.
struct ReservationRecorded
{
    Base::GrantId grant;
    std::uint64_t reservation = 0;
    bool isAccepted = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(grant, reservation, isAccepted);
    }
};

/// Sends the outcome of a reservation to the witness. If `hasRun` is false, the request never ran
/// and there is no bill.
struct RecordSettlement
{
    Base::GrantId grant;
    std::uint64_t reservation = 0;
    bool hasRun = false;
    Billing::Bill bill;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(grant, reservation, hasRun, bill);
    }
};

/// The witness has recorded the settlement and keeps it until the platform has it.
struct SettlementRecorded
{
    Base::GrantId grant;
    std::uint64_t reservation = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(grant, reservation);
    }
};

/// The platform has these settlements, so the witness can discard them.
struct ForgetReservations
{
    Base::GrantId grant;
    std::vector<std::uint64_t> reservations;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(grant, reservations);
    }
};

/// Requests that a holder return its unreserved tokens of a budget that is running low.
struct RecallTokens
{
    Base::BudgetId budget;
    std::uint64_t round = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(budget, round);
    }
};

/// The holder has returned all tokens that it could.
struct TokensReturned
{
    Base::BudgetId budget;
    std::uint64_t round = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(budget, round);
    }
};

/// Queries the status of a request at the receiver, and its response if it is finished.
struct QueryRequestStatus
{
    Base::TeamId team;
    Base::RequestId request;
    std::uint64_t queryId = 0;
    /// Set when the sender requests permission to run a request whose id the receiver issued.
    bool requestsPermission = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(team, request, queryId, requestsPermission);
    }
};

/// The status of a request at the instance that was queried.
enum class RequestStatus : std::uint8_t {
    NotFound,
    Running,
    Finished,
    PermissionGranted,
    OutcomeUnknown
};

/// The reply to QueryRequestStatus. HTTP status, content type and body are set when finished.
struct RequestStatusReply
{
    std::uint64_t queryId = 0;
    RequestStatus status = RequestStatus::NotFound;
    int httpStatus = 0;
    std::string contentType;
    std::string body;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(queryId, status, httpStatus, contentType, body);
    }
};

/// Announces the configuration in force at the sender; a receiver with an older one fetches it.
struct OfferConfiguration
{
    std::uint64_t version = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(version);
    }
};

/// Requests the configuration in force at the receiver.
struct FetchConfiguration
{
    std::uint64_t version = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(version);
    }
};

/// The complete configuration in force at the sender.
struct DeliverConfiguration
{
    std::uint64_t version = 0;
    std::string document;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(version, document);
    }
};

/// Requests a loan from the tokens that the receiver may spend for a team.
struct BorrowTokens
{
    std::uint64_t loanId = 0;
    Base::TeamId team;
    /// The lender lends at least this amount or nothing.
    Base::Tokens minimum;
    Base::Tokens requested;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(loanId, team, minimum, requested);
    }
};

/// The reply to BorrowTokens; the lender counts the tokens as spent. Zero if it has too few.
struct TokensLent
{
    std::uint64_t loanId = 0;
    Base::TeamId team;
    Base::Tokens tokens;
    /// The team's remaining balance as the lender last read it from the table. Empty while the
    /// table is unreachable for the lender, or when the lender does not read the team's row.
    std::optional<Base::Tokens> remainingBalance;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(loanId, team, tokens, remainingBalance);
    }
};

/// Repays the unspent tokens of a loan, in parts as the requests that use it end.
struct LoanRepayment
{
    std::uint64_t loanId = 0;
    /// Numbered from 1; a duplicate part is ignored.
    std::uint32_t part = 0;
    Base::Tokens tokens;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(loanId, part, tokens);
    }
};

/// Transfers the tokens of a team that the sender, which is shutting down, may still spend. Counted
/// once for each incarnation of a sender.
struct TransferTokens
{
    Base::TeamId team;
    /// Zero for receivers that only get the amount spent.
    Base::Tokens tokens;
    /// Total spent by the sender's incarnation, including the tokens transferred. It is final.
    Base::Tokens spent;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(team, tokens, spent);
    }
};

/// Requests the backend servers that the receiver knows.
struct FetchServers
{
    template <class Archive>
    void serialize(Archive &)
    {
    }
};

/// The backend servers that the sender knows.
struct DeliverServers
{
    std::vector<Forwarding::ServerEntry> servers;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(servers);
    }
};

/// All messages between instances over TCP.
using PeerMessage = std::variant<RecordReservation, ReservationRecorded, RecordSettlement,
    SettlementRecorded, ForgetReservations, RecallTokens, TokensReturned, QueryRequestStatus,
    RequestStatusReply, OfferConfiguration, FetchConfiguration, DeliverConfiguration, BorrowTokens,
    TokensLent, LoanRepayment, TransferTokens, FetchServers, DeliverServers>;

} // namespace Carawaykeel::Peer
