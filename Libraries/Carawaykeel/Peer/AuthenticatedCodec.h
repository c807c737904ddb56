#pragma once

#include <Carawaykeel/Base/Result.h>
#include <Carawaykeel/Peer/BoundedInputArchive.h>
#include <Carawaykeel/Peer/PeerEnvelope.h>

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <span>
#include <sstream>
#include <string>
#include <string_view>

namespace Carawaykeel::Peer {

/// Turns typed messages into bytes and back. Each message is sealed with a keyed hash, so that only
/// holders of the instances' key can make one.
class AuthenticatedCodec
{
public:
    explicit AuthenticatedCodec(std::string key);

    template <typename T>
    std::string encode(const T &message) const
    {
        std::ostringstream stream;
        cereal::BinaryOutputArchive archive(stream);
        archive(message);
        return seal(stream.str());
    }

    /// Fails with WrongKey when the seal is not right, with MalformedPeerMessage when the bytes are
    /// not such a message.
    template <typename T>
    Base::Result<T> tryDecode(std::string_view bytes) const
    {
        BOOST_LEAF_AUTO(body, tryOpen(bytes));
        return tryDecodeBody<T>(body);
    }

    /// Decodes the bytes inside a seal.
    template <typename T>
    static Base::Result<T> tryDecodeBody(std::string_view body)
    {
        try {
            BoundedInputArchive archive(std::span<const char>(body.data(), body.size()));
            T message;
            archive(message);
            return message;
        } catch (const std::exception &ex) {
            return Base::fail(Base::ErrorKind::MalformedPeerMessage, ex.what());
        }
    }

private:
    std::string seal(std::string body) const;
    Base::Result<std::string_view> tryOpen(std::string_view bytes) const;
    std::string sealOf(std::string_view body) const;

    const std::string m_key;
};

} // namespace Carawaykeel::Peer
