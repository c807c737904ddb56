#include <Carawaykeel/Requests/RequestIdIssuer.h>

#include <Poco/HMACEngine.h>
#include <Poco/SHA1Engine.h>
#include <charconv>
#include <fmt/core.h>
#include <utility>
#include <vector>

namespace Carawaykeel::Requests {

namespace {

constexpr std::string_view Prefix = "ck~";
constexpr char Separator = '~';
constexpr std::size_t PartCount = 5;

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (true) {
        const auto n = text.find(Separator);
        parts.push_back(text.substr(0, n));
        if (n == std::string_view::npos)
            return parts;
        text.remove_prefix(n + 1);
    }
}

template <typename Number>
bool parseNumber(std::string_view text, Number &n)
{
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    return ec == std::errc() && end == text.data() + text.size();
}

} // namespace

RequestIdIssuer::RequestIdIssuer(
    Base::InstanceId self, std::string secret, Base::Milliseconds validity)
    : m_self(std::move(self))
    , m_secret(std::move(secret))
    , m_validity(validity)
{
}

Base::RequestId RequestIdIssuer::issue(const Base::TeamId &team, Base::Milliseconds now)
{
    const auto number = ++m_number;
    return Base::RequestId(fmt::format("{}{}~{}~{}~{}~{}", Prefix, m_self.name.text(),
        m_self.incarnation, now.count(), number, sign(team, now, number)));
}

std::optional<MintedId> RequestIdIssuer::parse(const Base::RequestId &id)
{
    std::string_view text = id.text();
    if (!text.starts_with(Prefix))
        return std::nullopt;
    const auto parts = split(text.substr(Prefix.size()));
    if (parts.size() != PartCount)
        return std::nullopt;
    MintedId minted;
    std::int64_t mintedAt = 0;
    minted.owner.name = Base::InstanceName(std::string(parts[0]));
    const bool isWellFormed = parseNumber(parts[1], minted.owner.incarnation)
        && parseNumber(parts[2], mintedAt) && parseNumber(parts[3], minted.number);
    if (!isWellFormed)
        return std::nullopt;
    minted.mintedAt = Base::Milliseconds(mintedAt);
    minted.signature = parts[4];
    return minted;
}

bool RequestIdIssuer::isValid(
    const MintedId &id, const Base::TeamId &team, Base::Milliseconds now) const
{
    if (id.owner != m_self || now - id.mintedAt >= m_validity)
        return false;
    return id.signature == sign(team, id.mintedAt, id.number);
}

std::string RequestIdIssuer::sign(
    const Base::TeamId &team, Base::Milliseconds mintedAt, std::uint64_t number) const
{
    Poco::HMACEngine<Poco::SHA1Engine> engine(m_secret);
    engine.update(fmt::format("{}/{}/{}", team.text(), mintedAt.count(), number));
    return Poco::DigestEngine::digestToHex(engine.digest());
}

} // namespace Carawaykeel::Requests
