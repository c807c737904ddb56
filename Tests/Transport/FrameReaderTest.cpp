#include <Carawaykeel/Transport/FrameReader.h>

#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <string>
#include <vector>

namespace Carawaykeel::Tests {

class FrameReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FrameReaderTest);
    CPPUNIT_TEST(framesAreSplitWhereverReadsEnd);
    CPPUNIT_TEST(longFrameIsRefusedByItsHeader);
    CPPUNIT_TEST(randomBytesNeverPassTheLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    void framesAreSplitWhereverReadsEnd()
    {
        std::mt19937_64 random(3);
        for (int round = 0; round < 200; ++round) {
            std::vector<std::string> sent;
            std::string bytes;
            for (int n = 0; n < 5; ++n) {
                sent.emplace_back(random() % 40, static_cast<char>('a' + n));
                bytes += Transport::encodeFrameHeader(sent.back().size()) + sent.back();
            }
            Transport::FrameReader frames(40);
            std::vector<std::string> received;
            while (!bytes.empty()) {
                const auto n = std::min<std::size_t>(1 + random() % 50, bytes.size());
                frames.buffer().append(bytes, 0, n);
                bytes.erase(0, n);
                while (const auto message = frames.next())
                    received.emplace_back(*message);
            }
            CPPUNIT_ASSERT(received == sent);
            CPPUNIT_ASSERT(!frames.hasPartialFrame() && !frames.isOverLimit());
        }
    }

    void longFrameIsRefusedByItsHeader()
    {
        Transport::FrameReader frames(100);
        frames.buffer() = Transport::encodeFrameHeader(101);
        CPPUNIT_ASSERT(!frames.next());
        CPPUNIT_ASSERT(frames.isOverLimit());
    }

    void randomBytesNeverPassTheLimit()
    {
        std::mt19937_64 random(4);
        for (int round = 0; round < 2'000; ++round) {
            Transport::FrameReader frames(64);
            for (int n = 0; n < 40; ++n)
                frames.buffer().push_back(static_cast<char>(random() % 3));
            while (const auto message = frames.next())
                CPPUNIT_ASSERT(message->size() <= 64);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrameReaderTest);

} // namespace Carawaykeel::Tests
