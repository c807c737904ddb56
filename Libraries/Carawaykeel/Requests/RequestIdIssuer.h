#pragma once

#include <Carawaykeel/Base/InstanceId.h>
#include <Carawaykeel/Base/Milliseconds.h>
#include <Carawaykeel/Base/Result.h>

#include <optional>
#include <string>
#include <string_view>

namespace Carawaykeel::Requests {

/// An id that some instance minted, taken apart.
struct MintedId
{
    Base::InstanceId owner;
    Base::Milliseconds mintedAt;
    std::uint64_t number = 0;
    std::string signature;
};

/// Mints request ids that only this life may run, so that a fresh id needs no claim in the
/// platform. They are signed, so that a caller cannot make up one that was never handed out.
class RequestIdIssuer
{
public:
    /// The secret is drawn anew by each life. Ids are good for the validity on this life's clock.
    RequestIdIssuer(Base::InstanceId self, std::string secret, Base::Milliseconds validity);

    /// A fresh id for one team.
    Base::RequestId issue(const Base::TeamId &team, Base::Milliseconds now);

    /// Takes an id apart; empty when it does not have the form of a minted id.
    static std::optional<MintedId> parse(const Base::RequestId &id);

    /// True when this life handed the id out to the team and it is still good.
    bool isValid(const MintedId &id, const Base::TeamId &team, Base::Milliseconds now) const;

private:
    std::string sign(
        const Base::TeamId &team, Base::Milliseconds mintedAt, std::uint64_t number) const;

    const Base::InstanceId m_self;
    const std::string m_secret;
    const Base::Milliseconds m_validity;
    std::uint64_t m_number = 0;
};

} // namespace Carawaykeel::Requests
