#include <Carawaykeel/Peer/AuthenticatedCodec.h>

#include <Poco/HMACEngine.h>
#include <Poco/SHA1Engine.h>
#include <utility>

namespace Carawaykeel::Peer {

namespace {

constexpr std::size_t HmacLength = Poco::SHA1Engine::DIGEST_SIZE;

/// Compares two strings in constant time, independent of where they differ.
bool isEqualInConstantTime(std::string_view left, std::string_view right)
{
    unsigned char difference = left.size() == right.size() ? 0 : 1;
    for (std::size_t n = 0; n < left.size() && n < right.size(); ++n)
        difference |= static_cast<unsigned char>(left[n] ^ right[n]);
    return difference == 0;
}

} // namespace

AuthenticatedCodec::AuthenticatedCodec(std::string key)
    : m_key(std::move(key))
{
}

std::string AuthenticatedCodec::computeHmac(std::string_view body) const
{
    Poco::HMACEngine<Poco::SHA1Engine> engine(m_key);
    engine.update(body.data(), body.size());
    const auto &digest = engine.digest();
    return {digest.begin(), digest.end()};
}

std::string AuthenticatedCodec::authenticate(std::string body) const
{
    return computeHmac(body) + body;
}

Base::Result<std::string_view> AuthenticatedCodec::tryVerify(std::string_view bytes) const
{
    if (bytes.size() < HmacLength) {
        return Base::fail(
            Base::ErrorKind::MalformedPeerMessage, "message is shorter than its seal");
    }
    const auto body = bytes.substr(HmacLength);
    if (!isEqualInConstantTime(bytes.substr(0, HmacLength), computeHmac(body))) {
        return Base::fail(
            Base::ErrorKind::InvalidKey, "message is not sealed with this fleet's key");
    }
    return body;
}

} // namespace Carawaykeel::Peer
