#include <Carawaykeel/Membership/GossipMessage.h>
#include <Carawaykeel/Peer/AuthenticatedCodec.h>

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace Carawaykeel::Tests {

namespace {

constexpr int TrialCount = 20'000;
constexpr unsigned Seed = 5;

template <typename T>
bool decodes(const Peer::AuthenticatedCodec &codec, const std::string &bytes)
{
    return std::holds_alternative<T>(Base::toOutcome<T>([&] { return codec.tryDecode<T>(bytes); }));
}

} // namespace

/// Untrusted bytes are accepted only with the fleet's key, and malformed bodies do not crash the
/// decoder.
class AuthenticatedCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AuthenticatedCodecTest);
    CPPUNIT_TEST(wrongKeyAndModifiedBytesAreRejected);
    CPPUNIT_TEST(malformedBodiesDoNotCrashDecoder);
    CPPUNIT_TEST_SUITE_END();

    static Peer::PeerEnvelope sample()
    {
        return {{Base::InstanceName("a"), 1}, {Base::InstanceName("b"), 2},
            Peer::ForgetReservations{Base::GrantId("g"), {1, 2, 3}}};
    }

public:
    void wrongKeyAndModifiedBytesAreRejected()
    {
        const Peer::AuthenticatedCodec codec("key");
        auto bytes = codec.encode(sample());
        CPPUNIT_ASSERT(decodes<Peer::PeerEnvelope>(codec, bytes));
        CPPUNIT_ASSERT(!decodes<Peer::PeerEnvelope>(Peer::AuthenticatedCodec("other"), bytes));
        bytes.back() = static_cast<char>(bytes.back() ^ 1);
        CPPUNIT_ASSERT(!decodes<Peer::PeerEnvelope>(codec, bytes));
        CPPUNIT_ASSERT(!decodes<Peer::PeerEnvelope>(codec, ""));
    }

    void malformedBodiesDoNotCrashDecoder()
    {
        // Malformed bodies behind a valid HMAC, as a sender with the key could send them.
        const Peer::AuthenticatedCodec codec("key");
        const auto body = codec.encode(sample()).substr(20);
        std::mt19937 random(Seed);
        for (int n = 0; n < TrialCount; ++n) {
            auto malformed = body.substr(0, random() % (body.size() + 1));
            for (unsigned flips = random() % 4; flips > 0 && !malformed.empty(); --flips)
                malformed[random() % malformed.size()] = static_cast<char>(random());
            Base::toOutcome<Peer::PeerEnvelope>([&] {
                return Peer::AuthenticatedCodec::tryDecodeBody<Peer::PeerEnvelope>(malformed);
            });
            Base::toOutcome<Membership::GossipMessage>([&] {
                return Peer::AuthenticatedCodec::tryDecodeBody<Membership::GossipMessage>(
                    malformed);
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AuthenticatedCodecTest);

} // namespace Carawaykeel::Tests
