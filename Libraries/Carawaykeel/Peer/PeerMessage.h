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

/// Asks a grant's witness to record a reservation before its request is dispatched. Idempotent.
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

/// The witness's answer. Not accepted: the grant is fenced, or this is not the life of the witness
/// that the grant names.
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

/// Tells the witness what a reservation came to. With no bill the request never ran.
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

/// The witness holds the settlement until the platform has it.
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

/// The platform has these settlements, so the witness need not keep them.
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

/// Asks a holder to return what it has not reserved of a budget that has run low.
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

/// The holder has returned what it could.
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

/// Asks whether the receiver knows a request, and what it answered.
struct AskRequest
{
    Base::TeamId team;
    Base::RequestId request;
    std::uint64_t question = 0;
    /// Set when the asker wants the right to run an id that the receiver minted.
    bool wantsToRun = false;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(team, request, question, wantsToRun);
    }
};

/// What the receiver of AskRequest knows.
enum class RequestKnowledge : std::uint8_t { Unknown, Running, Finished, MayRun, Uncertain };

/// The answer to AskRequest. Status, content type and body are set when finished.
struct TellRequest
{
    std::uint64_t question = 0;
    RequestKnowledge knowledge = RequestKnowledge::Unknown;
    int httpStatus = 0;
    std::string contentType;
    std::string body;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(question, knowledge, httpStatus, contentType, body);
    }
};

/// Offers the configuration in force at the sender; a receiver with an older one fetches it.
struct OfferConfiguration
{
    std::uint64_t version = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(version);
    }
};

/// Asks for the configuration in force at the receiver.
struct FetchConfiguration
{
    std::uint64_t version = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(version);
    }
};

/// A whole accepted configuration.
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

/// Asks for a part of what the receiver may spend of a team's tokens.
struct BorrowTokens
{
    std::uint64_t loanId = 0;
    Base::TeamId team;
    /// Less is of no use.
    Base::Tokens minimum;
    Base::Tokens requested;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(loanId, team, minimum, requested);
    }
};

/// Answers BorrowTokens; the lender counts the tokens as spent. None: it has not enough.
struct TokensLent
{
    std::uint64_t loanId = 0;
    Base::TeamId team;
    Base::Tokens tokens;
    /// What the team has left in all, as the lender last read in the table. Empty while the lender
    /// does not reach the table, or does not read the team's row.
    std::optional<Base::Tokens> remainingBalance;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(loanId, team, tokens, remainingBalance);
    }
};

/// Gives back what was not spent of a loan, in parts as the requests end that were to spend it.
struct LoanReturned
{
    std::uint64_t loanId = 0;
    /// Counts from 1; each part counts once.
    std::uint32_t part = 0;
    Base::Tokens tokens;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(loanId, part, tokens);
    }
};

/// Hands on what the sender, which ends, may spend of a team's tokens now. Counts once for each
/// life of a sender.
struct TransferTokens
{
    Base::TeamId team;
    /// None for those that are only told what the sender has spent.
    Base::Tokens tokens;
    /// Spent by the sender's life in all, what it hands on counted: it spends no more.
    Base::Tokens spent;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(team, tokens, spent);
    }
};

/// Asks for the backend servers that the receiver knows.
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

/// Everything that instances say to one another over TCP.
using PeerMessage = std::variant<RecordReservation, ReservationRecorded, RecordSettlement,
    SettlementRecorded, ForgetReservations, RecallTokens, TokensReturned, AskRequest, TellRequest,
    OfferConfiguration, FetchConfiguration, DeliverConfiguration, BorrowTokens, TokensLent,
    LoanReturned, TransferTokens, FetchServers, DeliverServers>;

} // namespace Carawaykeel::Peer
