#include "DaemonProcess.h"
#include "Misbehaviour.h"

#include <cppunit/TestCase.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <fmt/core.h>
#include <functional>
#include <memory>
#include <utility>

namespace Carawaykeel::Tests {

namespace {

constexpr std::size_t BytesPerMegabyte = 1'048'576;
/// A tenth of the descriptors is left free, so that a file can be opened at any time.
constexpr std::size_t MaxOpenDescriptors = 360;

/// Where a crowd sends its requests.
struct Target
{
    std::string name;
    CallerAddress address;
    std::string path;
};

const std::vector<Target> &targets()
{
    static const std::vector<Target> All{
        {"AtRoute", CallerAddress::Requests, "/unsafe/x"},
        {"WithoutRoute", CallerAddress::Requests, "/none"},
        {"AtReadiness", CallerAddress::Readiness, "/carawaykeel/ready"},
        {"AtEntry", CallerAddress::Entry, "/carawaykeel/resolve?name=a.example&zone=dc"},
        {"AtMetrics", CallerAddress::Metrics, "/metrics"},
    };
    return All;
}

/// Starts a daemon, lets crowds loose on it, and checks the process while they stay open: it
/// lives, keeps within its memory and descriptors, and serves ordinary callers at all addresses.
/// Guards against the loss of processes to callers that nobody controls.
class CallerCrowdTest : public CppUnit::TestCase
{
public:
    using Fill = std::function<void(CallerCrowd &, const DaemonProcess &)>;

    CallerCrowdTest(const std::string &name, Fill fill)
        : CppUnit::TestCase("Carawaykeel::Tests::CallerCrowdTest::" + name)
        , m_fill(std::move(fill))
    {
    }

    void runTest() override
    {
        const DaemonLimits limits;
        const auto process = takeDaemon(limits);
        auto &daemon = *process;
        CPPUNIT_ASSERT_MESSAGE("the daemon does not start", daemon.waitUntilReady());
        CallerCrowd crowd;
        m_fill(crowd, daemon);
        crowd.run();
        const auto descriptors = daemon.openDescriptors();
        std::string unserved;
        for (const auto &target : targets()) {
            if (!daemon.isServing(target.address))
                unserved += " " + target.name;
        }
        const bool isAlive = daemon.isAlive();
        const auto peak = daemon.peakResidentBytes();
        const auto measured = fmt::format("alive {}, peak {:.1f} MB, {} descriptors, unserved:{}",
            isAlive, static_cast<double>(peak) / BytesPerMegabyte, descriptors, unserved);
        if (std::getenv("CALLER_CROWDS_VERBOSE") != nullptr)
            fmt::print(stderr, "{}: {}\n", getName(), measured);
        CPPUNIT_ASSERT_MESSAGE(measured, isAlive);
        CPPUNIT_ASSERT_MESSAGE(
            measured, peak < static_cast<std::size_t>(limits.memoryMegabytes) * BytesPerMegabyte);
        CPPUNIT_ASSERT_MESSAGE(measured, descriptors < MaxOpenDescriptors);
        CPPUNIT_ASSERT_MESSAGE(measured, unserved.empty());
    }

private:
    /// Returns a daemon and starts the one of the next case: a new instance answers entry queries
    /// only after a second.
    static std::unique_ptr<DaemonProcess> takeDaemon(const DaemonLimits &limits)
    {
        static std::unique_ptr<DaemonProcess> next;
        auto daemon = next ? std::move(next) : std::make_unique<DaemonProcess>(limits);
        next = std::make_unique<DaemonProcess>(limits);
        return daemon;
    }

    const Fill m_fill;
};

CallerCrowdTest::Fill fillOf(const Misbehaviour &kind, const Target &target)
{
    return [kind, target](CallerCrowd &crowd, const DaemonProcess &daemon) {
        crowd.add(daemon.address(target.address), kind.makeScript(target.path), kind.callers);
    };
}

CallerCrowdTest::Fill unreadResponses(const std::string &path)
{
    return [path](CallerCrowd &crowd, const DaemonProcess &daemon) {
        constexpr int Callers = 100;
        crowd.add(daemon.address(CallerAddress::Requests), makeSingleRequest(path), Callers);
    };
}

/// Half of the callers show one kind, the other half another.
CallerCrowdTest::Fill twoKinds(const std::string &first, const Target &firstTarget,
    const std::string &second, const Target &secondTarget)
{
    return [=](CallerCrowd &crowd, const DaemonProcess &daemon) {
        constexpr int Callers = 75;
        crowd.add(daemon.address(firstTarget.address),
            misbehaviour(first).makeScript(firstTarget.path), Callers);
        crowd.add(daemon.address(secondTarget.address),
            misbehaviour(second).makeScript(secondTarget.path), Callers);
    };
}

CallerCrowdTest::Fill connectionsAtAllAddresses()
{
    return [](CallerCrowd &crowd, const DaemonProcess &daemon) {
        constexpr int Callers = 130;
        for (const auto &target : targets())
            crowd.add(daemon.address(target.address), {}, Callers);
    };
}

} // namespace

/// Names all cases.
class CallerCrowdSuite : public CppUnit::TestFixture
{
public:
    static CppUnit::TestSuite *suite()
    {
        auto *suite = new CppUnit::TestSuite("Carawaykeel::Tests::CallerCrowdTest");
        const auto add = [suite](const std::string &name, const CallerCrowdTest::Fill &fill) {
            suite->addTest(new CallerCrowdTest(name, fill));
        };
        for (const auto &kind : misbehaviours()) {
            for (const auto &target : targets())
                add(kind.name + target.name, fillOf(kind, target));
        }
        add("unreadResponsesAtRoute", unreadResponses("/unsafe/large"));
        add("unreadStreamsAtRoute", unreadResponses("/stream/x"));
        const auto &all = targets();
        add("shortBodiesAndPipelines",
            twoKinds("bodyOneByteShort", all[0], "pipelinedRequests", all[4]));
        add("fieldsAndSmallChunks", twoKinds("manyFields", all[3], "chunksOfOneByte", all[0]));
        add("connectionsAtAllAddresses", connectionsAtAllAddresses());
        return suite;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerCrowdSuite);

} // namespace Carawaykeel::Tests
