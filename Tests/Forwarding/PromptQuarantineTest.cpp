#include <Carawaykeel/Forwarding/PromptQuarantine.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

using Forwarding::PromptQuarantine;
using Forwarding::PromptQuarantinePolicy;
using Forwarding::PromptReport;
using Forwarding::PromptVerdict;
using Parts = std::vector<std::uint64_t>;

constexpr std::uint64_t Deadly = 0xdead;
constexpr std::uint64_t First = 0xaa;
constexpr std::uint64_t Companion = 0xbb;

Base::ServerName makeServer(int n)
{
    return Base::ServerName(fmt::format("server-{}", n));
}

} // namespace

/// Which prompt parts are blamed for crashes of servers.
class PromptQuarantineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PromptQuarantineTest);
    CPPUNIT_TEST(partIsQuarantinedAfterThreeCrashes);
    CPPUNIT_TEST(crashSeenByManyCountsOnce);
    CPPUNIT_TEST(responseClearsAPart);
    CPPUNIT_TEST(companionOfDeadlyPartIsNotQuarantined);
    CPPUNIT_TEST(furtherCrashTellsPartsApart);
    CPPUNIT_TEST(unrelatedCrashesQuarantineNothing);
    CPPUNIT_TEST(allInstancesLearnOfAQuarantine);
    CPPUNIT_TEST(restartedInstanceLearnsWhatCannotBeToldApart);
    CPPUNIT_TEST(repeatedEvidenceIsTheSameCrash);
    CPPUNIT_TEST(otherInstancesContradictAWrongQuarantine);
    CPPUNIT_TEST(expiredQuarantineStartsAgainWithOneCrash);
    CPPUNIT_TEST(crashesApartInTimeHaveNoCommonCause);
    CPPUNIT_TEST(suspectsAreBounded);
    CPPUNIT_TEST_SUITE_END();

    Base::Milliseconds m_now{10'000};

    /// A server crashes with requests of these parts; some time passes.
    std::vector<PromptReport> crash(PromptQuarantine &quarantine, int server, const Parts &parts)
    {
        m_now += Base::Milliseconds(100);
        return quarantine.onServerCrashed(makeServer(server), parts, m_now);
    }

public:
    void partIsQuarantinedAfterThreeCrashes()
    {
        PromptQuarantine quarantine;
        crash(quarantine, 1, {Deadly});
        crash(quarantine, 2, {Deadly});
        CPPUNIT_ASSERT(!quarantine.isRejected(Parts{First, Deadly}, m_now));
        const auto reports = crash(quarantine, 3, {Deadly});
        CPPUNIT_ASSERT(quarantine.isRejected(Parts{First, Deadly}, m_now));
        CPPUNIT_ASSERT(!quarantine.isRejected(Parts{First}, m_now));
        CPPUNIT_ASSERT(
            reports.back() == (PromptReport{Deadly, PromptVerdict::Quarantined, {}, {}}));
    }

    void crashSeenByManyCountsOnce()
    {
        PromptQuarantine quarantine;
        for (int n = 0; n < 5; ++n) {
            crash(quarantine, 1, {Deadly});
            quarantine.onReports(
                std::vector<PromptReport>{{Deadly, PromptVerdict::Suspected, makeServer(1), {}}},
                m_now);
        }
        CPPUNIT_ASSERT(!quarantine.isRejected(Parts{Deadly}, m_now));
    }

    void responseClearsAPart()
    {
        PromptQuarantine quarantine;
        crash(quarantine, 1, {First});
        crash(quarantine, 2, {First});
        const auto reports = quarantine.onResponded(Parts{First}, m_now);
        CPPUNIT_ASSERT(reports.at(0) == (PromptReport{First, PromptVerdict::Sound, {}, {}}));
        m_now += PromptQuarantinePolicy().soundWindow;
        crash(quarantine, 3, {First});
        CPPUNIT_ASSERT(!quarantine.isRejected(Parts{First}, m_now));
    }

    /// Guards against rejecting sound requests for a part that they share with deadly ones.
    void companionOfDeadlyPartIsNotQuarantined()
    {
        PromptQuarantine quarantine;
        for (int n = 0; n < 3; ++n)
            crash(quarantine, n, {Companion, Deadly});
        CPPUNIT_ASSERT(quarantine.isRejected(Parts{Companion, Deadly}, m_now));
        CPPUNIT_ASSERT(!quarantine.isRejected(Parts{Companion}, m_now));
        quarantine.onResponded(Parts{Companion}, m_now);
        CPPUNIT_ASSERT(quarantine.isRejected(Parts{Deadly}, m_now));
        CPPUNIT_ASSERT(!quarantine.isRejected(Parts{Companion}, m_now));
    }

    void furtherCrashTellsPartsApart()
    {
        PromptQuarantine quarantine;
        for (int n = 0; n < 3; ++n)
            crash(quarantine, n, {Companion, Deadly});
        CPPUNIT_ASSERT(!quarantine.isRejected(Parts{First, Deadly}, m_now));
        crash(quarantine, 4, {First, Deadly});
        CPPUNIT_ASSERT(quarantine.isRejected(Parts{First, Deadly}, m_now));
        CPPUNIT_ASSERT(!quarantine.isRejected(Parts{Companion}, m_now));
        CPPUNIT_ASSERT(!quarantine.isRejected(Parts{First}, m_now));
    }

    /// Servers that crash for another reason have different requests, most of which share parts
    /// with requests that are served elsewhere.
    void unrelatedCrashesQuarantineNothing()
    {
        PromptQuarantine quarantine;
        for (int n = 0; n < 40; ++n) {
            const auto subject = static_cast<std::uint64_t>(1'000 + n % 20);
            crash(quarantine, n, {First, subject});
            quarantine.onResponded(Parts{First}, m_now);
            if (n % 20 == 19) {
                for (std::uint64_t served = 1'000; served < 1'020; ++served)
                    quarantine.onResponded(Parts{First, served}, m_now);
            }
        }
        CPPUNIT_ASSERT(quarantine.allEvidence(100, m_now).empty());
    }

    void allInstancesLearnOfAQuarantine()
    {
        PromptQuarantine witness;
        PromptQuarantine other;
        PromptQuarantine late;
        std::vector<PromptReport> relayed;
        for (int n = 0; n < 3; ++n)
            relayed = other.onReports(crash(witness, n, {Deadly}), m_now).relayed;
        CPPUNIT_ASSERT(other.isRejected(Parts{Deadly}, m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), relayed.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), late.onReports(relayed, m_now).relayed.size());
        CPPUNIT_ASSERT(late.isRejected(Parts{Deadly}, m_now));
        // What is known is not relayed again.
        CPPUNIT_ASSERT(late.onReports(relayed, m_now).relayed.empty());
    }

    /// Guards against a restarted instance that crashes servers on parts which the others reject
    /// only together.
    void restartedInstanceLearnsWhatCannotBeToldApart()
    {
        PromptQuarantine witness;
        for (int n = 0; n < 4; ++n)
            crash(witness, n, {Companion, Deadly});
        PromptQuarantine restarted;
        restarted.onReports(witness.allEvidence(100, m_now), m_now);
        CPPUNIT_ASSERT(restarted.isRejected(Parts{Companion, Deadly}, m_now));
        CPPUNIT_ASSERT(!restarted.isRejected(Parts{Companion}, m_now));
        PromptQuarantine unaware;
        const auto reports = crash(unaware, 9, {Companion, Deadly});
        unaware.onReports(witness.onReports(reports, m_now).answered, m_now);
        CPPUNIT_ASSERT(unaware.isRejected(Parts{Companion, Deadly}, m_now));
    }

    /// Guards against evidence that grows as instances repeat it to each other.
    void repeatedEvidenceIsTheSameCrash()
    {
        PromptQuarantine one;
        PromptQuarantine two;
        for (int n = 0; n < 3; ++n)
            two.onReports(crash(one, n, {Companion, Deadly}), m_now);
        const auto count = one.allEvidence(1'000, m_now).size();
        for (int n = 0; n < 20; ++n) {
            m_now += Base::Milliseconds(2'000);
            CPPUNIT_ASSERT(two.onReports(one.allEvidence(1'000, m_now), m_now).answered.empty());
            CPPUNIT_ASSERT(one.onReports(two.allEvidence(1'000, m_now), m_now).answered.empty());
        }
        CPPUNIT_ASSERT_EQUAL(count, one.allEvidence(1'000, m_now).size());
        CPPUNIT_ASSERT_EQUAL(count, two.allEvidence(1'000, m_now).size());
    }

    /// Guards against an instance that rejects sound requests for good because it saw three crashes
    /// and no response, for example just after all processes were restarted.
    void otherInstancesContradictAWrongQuarantine()
    {
        PromptQuarantine wrong;
        PromptQuarantine other;
        std::vector<PromptReport> reports;
        for (int n = 0; n < 3; ++n)
            reports = crash(wrong, n, {First});
        CPPUNIT_ASSERT(wrong.isRejected(Parts{First}, m_now));
        other.onResponded(Parts{First}, m_now);
        const auto replies = other.onReports(reports, m_now);
        CPPUNIT_ASSERT(replies.relayed.empty());
        CPPUNIT_ASSERT(!other.isRejected(Parts{First}, m_now));
        wrong.onReports(replies.answered, m_now);
        CPPUNIT_ASSERT(!wrong.isRejected(Parts{First}, m_now));
    }

    void expiredQuarantineStartsAgainWithOneCrash()
    {
        PromptQuarantine quarantine;
        for (int n = 0; n < 3; ++n)
            crash(quarantine, n, {Deadly});
        m_now += PromptQuarantinePolicy().quarantineLifetime;
        CPPUNIT_ASSERT(quarantine.isRejected(Parts{Deadly}, m_now));
        m_now += PromptQuarantinePolicy().quarantineLifetime + Base::Milliseconds(1);
        CPPUNIT_ASSERT(!quarantine.isRejected(Parts{Deadly}, m_now));
        crash(quarantine, 7, {Deadly});
        CPPUNIT_ASSERT(quarantine.isRejected(Parts{Deadly}, m_now));
    }

    void crashesApartInTimeHaveNoCommonCause()
    {
        PromptQuarantine quarantine;
        for (int n = 0; n < 3; ++n)
            crash(quarantine, n, {Deadly});
        CPPUNIT_ASSERT(quarantine.isRejected(Parts{Deadly}, m_now));
        CPPUNIT_ASSERT(!quarantine.hasSeparateCrashes(Deadly));
        m_now += PromptQuarantinePolicy().commonCauseWindow;
        crash(quarantine, 3, {Deadly});
        CPPUNIT_ASSERT(quarantine.hasSeparateCrashes(Deadly));
        CPPUNIT_ASSERT(!quarantine.hasSeparateCrashes(First));
    }

    void suspectsAreBounded()
    {
        PromptQuarantinePolicy policy;
        policy.maxSuspects = 10;
        PromptQuarantine quarantine(policy);
        for (int n = 0; n < 3; ++n)
            crash(quarantine, n, {Deadly});
        for (std::uint64_t part = 0; part < 100; ++part)
            crash(quarantine, 9, {part});
        CPPUNIT_ASSERT(quarantine.isRejected(Parts{Deadly}, m_now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptQuarantineTest);

} // namespace Carawaykeel::Tests
