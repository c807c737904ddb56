#include <Support/DecoderCatalog.h>
#include <Support/SeedRange.h>

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace Carawaykeel::Tests {

namespace {

constexpr int Seeds = 20;
constexpr int InputsPerSeed = 100;
constexpr std::size_t MaxRandomBytes = 300;

std::string randomBytes(std::mt19937_64 &random)
{
    std::string bytes(random() % MaxRandomBytes, '\0');
    for (auto &byte : bytes)
        byte = static_cast<char>(random());
    return bytes;
}

/// Replaces, repeats and removes some bytes.
std::string mutated(std::string bytes, std::mt19937_64 &random)
{
    for (auto n = random() % 5; n > 0 && !bytes.empty(); --n) {
        const auto at = random() % bytes.size();
        const auto length = random() % (bytes.size() - at);
        switch (random() % 4) {
        case 0:
            bytes.insert(at, bytes.substr(at, length));
            break;
        case 1:
            bytes.erase(at, length);
            break;
        default:
            bytes[at] = static_cast<char>(random());
            break;
        }
    }
    return bytes;
}

} // namespace

/// Guards against bytes of others that end the process or make a decoder throw.
class RandomBytesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RandomBytesTest);
    CPPUNIT_TEST(decodersTakeAnyBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    void decodersTakeAnyBytes()
    {
        forEachSeed(Seeds, [](int seed) {
            std::mt19937_64 random(static_cast<std::uint64_t>(seed));
            for (const auto &decoder : decoderCatalog()) {
                for (const auto &sample : decoder.samples) {
                    decoder.decode(sample);
                    for (int n = 0; n < InputsPerSeed; ++n)
                        decoder.decode(mutated(sample, random));
                }
                for (int n = 0; n < InputsPerSeed; ++n)
                    decoder.decode(randomBytes(random));
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RandomBytesTest);

} // namespace Carawaykeel::Tests
