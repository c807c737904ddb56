#include <Carawaykeel/Logging/LogFields.h>
#include <Carawaykeel/Logging/LogRateLimiter.h>
#include <Carawaykeel/Logging/Logger.h>
#include <Carawaykeel/Logging/StreamLogSink.h>
#include <Support/MemoryLogSink.h>

#include <array>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <set>
#include <string>
#include <unistd.h>

namespace Carawaykeel::Tests {

using Logging::LogPriority;

namespace {

constexpr Logging::LogLimits Limits{100, 1'000};

/// A pipe that the test reads from.
class Pipe
{
public:
    Pipe() { CPPUNIT_ASSERT_EQUAL(0, ::pipe(m_ends.data())); }
    ~Pipe()
    {
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }

    int writeEnd() const { return m_ends[1]; }

    std::string read() const
    {
        std::string buf(65'536, '\0');
        const auto n = ::read(m_ends[0], buf.data(), buf.size());
        buf.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return buf;
    }

private:
    std::array<int, 2> m_ends{};
};

} // namespace

/// Log lines are well formed and limited in rate, and writing them never blocks.
class LoggingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoggingTest);
    CPPUNIT_TEST(lineHasInstanceEventAndFields);
    CPPUNIT_TEST(valueCannotInjectALine);
    CPPUNIT_TEST(everyEventHasAUniqueName);
    CPPUNIT_TEST(routineLinesAreSuppressedFirst);
    CPPUNIT_TEST(rateLimitRefillsWithTime);
    CPPUNIT_TEST(fullQueueDropsAndCountsLines);
    CPPUNIT_TEST(linesAreWrittenInOrder);
    CPPUNIT_TEST(blockedReaderDoesNotBlockWriters);
    CPPUNIT_TEST_SUITE_END();

public:
    void lineHasInstanceEventAndFields()
    {
        MemoryLogSink sink;
        const Logging::Logger log({Base::InstanceName("entry-1"), 7}, sink);
        log.info(Logging::LogEvent::Request, Logging::LogFields().add("id", "a").add("ms", 12));
        const auto line = sink.lines().front();
        CPPUNIT_ASSERT(line.starts_with("time="));
        CPPUNIT_ASSERT(line.ends_with(
            " level=info instance=entry-1 incarnation=7 event=request id=a ms=12\n"));
    }

    void valueCannotInjectALine()
    {
        const auto text =
            Logging::LogFields().add("a", "x\nevent=\"left\"").add("b", "").add("c", "y").text();
        CPPUNIT_ASSERT_EQUAL(std::string(" a=\"x event=\\\"left\\\"\" b=\"\" c=y"), text);
    }

    void everyEventHasAUniqueName()
    {
        std::set<std::string_view> names;
        const auto last = static_cast<int>(Logging::LogEvent::LinesLeftOut);
        for (int n = 0; n <= last; ++n)
            names.insert(nameOf(static_cast<Logging::LogEvent>(n)));
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(last) + 1, names.size());
        CPPUNIT_ASSERT(!names.contains("unknown"));
    }

    /// Ten times as many routine lines as the limit allows; important lines are all kept.
    void routineLinesAreSuppressedFirst()
    {
        Logging::LogRateLimiter limiter(Limits);
        int admittedRoutineLines = 0;
        for (int n = 0; n < 1'000; ++n) {
            admittedRoutineLines += limiter.tryAdmit(LogPriority::Routine, 10, 0, {}) ? 1 : 0;
            CPPUNIT_ASSERT(limiter.tryAdmit(LogPriority::Important, 10, 0, {}));
        }
        CPPUNIT_ASSERT(admittedRoutineLines <= 100);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1'000), limiter.sampledOut() + admittedRoutineLines);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), limiter.dropped());
    }

    void rateLimitRefillsWithTime()
    {
        Logging::LogRateLimiter limiter(Limits);
        while (limiter.tryAdmit(LogPriority::Routine, 10, 0, {})) { }
        CPPUNIT_ASSERT(!limiter.tryAdmit(LogPriority::Routine, 10, 0, Base::Milliseconds(9)));
        CPPUNIT_ASSERT(limiter.tryAdmit(LogPriority::Routine, 10, 0, Base::Milliseconds(10)));
    }

    void fullQueueDropsAndCountsLines()
    {
        Logging::LogRateLimiter limiter(Limits);
        CPPUNIT_ASSERT(limiter.tryAdmit(LogPriority::Important, 10, 990, {}));
        CPPUNIT_ASSERT(!limiter.tryAdmit(LogPriority::Important, 11, 990, {}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), limiter.dropped());
    }

    void linesAreWrittenInOrder()
    {
        const Pipe pipe;
        Logging::StreamLogSink sink(pipe.writeEnd());
        sink.write(LogPriority::Important, "first\n");
        sink.write(LogPriority::Routine, "second\n");
        CPPUNIT_ASSERT(sink.flush(Base::Milliseconds(5'000)));
        CPPUNIT_ASSERT_EQUAL(std::string("first\nsecond\n"), pipe.read());
    }

    /// The reader of the log stops reading and its pipe fills up.
    void blockedReaderDoesNotBlockWriters()
    {
        const Pipe pipe;
        Logging::StreamLogSink sink(pipe.writeEnd());
        const std::string line(1'000, 'x');
        const auto start = std::chrono::steady_clock::now();
        for (int n = 0; n < 2'000; ++n)
            sink.write(LogPriority::Important, line);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < std::chrono::seconds(1));
        CPPUNIT_ASSERT(sink.suppressedLines() > 0);
        CPPUNIT_ASSERT(!sink.flush(Base::Milliseconds(50)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoggingTest);

} // namespace Carawaykeel::Tests
