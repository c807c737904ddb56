#include <Carawaykeel/Peer/AuthenticatedCodec.h>

#include <Poco/HMACEngine.h>
#include <Poco/SHA1Engine.h>
#include <utility>

namespace Carawaykeel::Peer {

namespace {

constexpr std::size_t SealLength = Poco::SHA1Engine::DIGEST_SIZE;

/// Takes the same time wherever the texts differ.
bool isSame(std::string_view left, std::string_view right)
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

std::string AuthenticatedCodec::sealOf(std::string_view body) const
{
    Poco::HMACEngine<Poco::SHA1Engine> engine(m_key);
    engine.update(body.data(), body.size());
    const auto &digest = engine.digest();
    return {digest.begin(), digest.end()};
}

std::string AuthenticatedCodec::seal(std::string body) const
{
    return sealOf(body) + body;
}

Base::Result<std::string_view> AuthenticatedCodec::tryOpen(std::string_view bytes) const
{
    if (bytes.size() < SealLength) {
        return Base::fail(
            Base::ErrorKind::MalformedPeerMessage, "message is shorter than its seal");
    }
    const auto body = bytes.substr(SealLength);
    if (!isSame(bytes.substr(0, SealLength), sealOf(body)))
        return Base::fail(
            Base::ErrorKind::InvalidKey, "message is not sealed with this fleet's key");
    return body;
}

} // namespace Carawaykeel::Peer
