#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace Carawaykeel::Base {

/// A string identifier that cannot be mixed with identifiers of another Tag. Empty means unset.
template <typename Tag>
class Identifier
{
public:
    Identifier() = default;
    explicit Identifier(std::string text)
        : m_text(std::move(text))
    {
    }

    const std::string &text() const { return m_text; }
    bool isEmpty() const { return m_text.empty(); }

    auto operator<=>(const Identifier &) const = default;

    template <class Archive>
    std::string save_minimal(const Archive &) const
    {
        return m_text;
    }
    template <class Archive>
    void load_minimal(const Archive &, const std::string &text)
    {
        m_text = text;
    }

private:
    std::string m_text;
};

struct TeamIdTag;
struct BudgetIdTag;
struct RequestIdTag;
struct GrantIdTag;
struct AttemptIdTag;
struct InstanceNameTag;
struct ServiceNameTag;
struct ServerNameTag;
struct DataCentreTag;
struct ModelNameTag;
struct TopUpIdTag;
struct OperationIdTag;

using TeamId = Identifier<TeamIdTag>;
using BudgetId = Identifier<BudgetIdTag>;
/// The caller's Idempotency-Key, or the id that the instance issued for the request.
using RequestId = Identifier<RequestIdTag>;
/// The key of a grant's row: budget, holder, incarnation and sequence number.
using GrantId = Identifier<GrantIdTag>;
/// One dispatch of a request to one backend server.
using AttemptId = Identifier<AttemptIdTag>;
using InstanceName = Identifier<InstanceNameTag>;
using ServiceName = Identifier<ServiceNameTag>;
using ServerName = Identifier<ServerNameTag>;
using DataCentre = Identifier<DataCentreTag>;
using ModelName = Identifier<ModelNameTag>;
using TopUpId = Identifier<TopUpIdTag>;
/// Identifies an operator's change across retries, so that its outcome can be determined after a
/// lost reply.
using OperationId = Identifier<OperationIdTag>;

} // namespace Carawaykeel::Base

template <typename Tag>
struct std::hash<Carawaykeel::Base::Identifier<Tag>>
{
    std::size_t operator()(const Carawaykeel::Base::Identifier<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.text());
    }
};
