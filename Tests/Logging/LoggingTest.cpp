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

constexpr Logging::LogLimits Policy{100, 1'000};

/// A pipe whose reading end a test holds.
class Pipe
{
public:
    Pipe() { CPPUNIT_ASSERT_EQUAL(0, ::pipe(m_ends.data())); }
    ~Pipe()
    {
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }

    int writingEnd() const { return m_ends[1]; }

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

/// Lines that stay lines, in bounded number, and never hold up who writes them.
class LoggingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoggingTest);
    CPPUNIT_TEST(lineHasInstanceEventAndFields);
    CPPUNIT_TEST(textCannotForgeALine);
    CPPUNIT_TEST(everyEventHasItsOwnName);
    CPPUNIT_TEST(routineIsLeftOutFirst);
    CPPUNIT_TEST(budgetComesBackWithTime);
    CPPUNIT_TEST(fullQueueDropsAndCounts);
    CPPUNIT_TEST(linesReachTheReaderInOrder);
    CPPUNIT_TEST(silentReaderHoldsUpNobody);
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

    void textCannotForgeALine()
    {
        const auto text =
            Logging::LogFields().add("a", "x\nevent=\"left\"").add("b", "").add("c", "y").text();
        CPPUNIT_ASSERT_EQUAL(std::string(" a=\"x event=\\\"left\\\"\" b=\"\" c=y"), text);
    }

    void everyEventHasItsOwnName()
    {
        std::set<std::string_view> names;
        const auto last = static_cast<int>(Logging::LogEvent::LinesLeftOut);
        for (int n = 0; n <= last; ++n)
            names.insert(nameOf(static_cast<Logging::LogEvent>(n)));
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(last) + 1, names.size());
        CPPUNIT_ASSERT(!names.contains("unknown"));
    }

    /// Pattern: ten times the lines that fit; failures are kept all the same.
    void routineIsLeftOutFirst()
    {
        Logging::LogRateLimiter budget(Policy);
        int routine = 0;
        for (int n = 0; n < 1'000; ++n) {
            routine += budget.tryAdmit(LogPriority::Routine, 10, 0, {}) ? 1 : 0;
            CPPUNIT_ASSERT(budget.tryAdmit(LogPriority::Important, 10, 0, {}));
        }
        CPPUNIT_ASSERT(routine <= 100);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1'000), budget.sampledOut() + routine);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), budget.dropped());
    }

    void budgetComesBackWithTime()
    {
        Logging::LogRateLimiter budget(Policy);
        while (budget.tryAdmit(LogPriority::Routine, 10, 0, {})) { }
        CPPUNIT_ASSERT(!budget.tryAdmit(LogPriority::Routine, 10, 0, Base::Milliseconds(9)));
        CPPUNIT_ASSERT(budget.tryAdmit(LogPriority::Routine, 10, 0, Base::Milliseconds(10)));
    }

    void fullQueueDropsAndCounts()
    {
        Logging::LogRateLimiter budget(Policy);
        CPPUNIT_ASSERT(budget.tryAdmit(LogPriority::Important, 10, 990, {}));
        CPPUNIT_ASSERT(!budget.tryAdmit(LogPriority::Important, 11, 990, {}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), budget.dropped());
    }

    void linesReachTheReaderInOrder()
    {
        const Pipe pipe;
        Logging::StreamLogSink sink(pipe.writingEnd());
        sink.write(LogPriority::Important, "first\n");
        sink.write(LogPriority::Routine, "second\n");
        CPPUNIT_ASSERT(sink.flush(Base::Milliseconds(5'000)));
        CPPUNIT_ASSERT_EQUAL(std::string("first\nsecond\n"), pipe.read());
    }

    /// Pattern: whoever reads the log stands still, and its pipe is full.
    void silentReaderHoldsUpNobody()
    {
        const Pipe pipe;
        Logging::StreamLogSink sink(pipe.writingEnd());
        const std::string line(1'000, 'x');
        const auto start = std::chrono::steady_clock::now();
        for (int n = 0; n < 2'000; ++n)
            sink.write(LogPriority::Important, line);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < std::chrono::seconds(1));
        CPPUNIT_ASSERT(sink.leftOut() > 0);
        CPPUNIT_ASSERT(!sink.flush(Base::Milliseconds(50)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoggingTest);

} // namespace Carawaykeel::Tests
