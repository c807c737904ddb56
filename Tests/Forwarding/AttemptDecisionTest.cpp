#include <Carawaykeel/Base/ErrorTable.h>
#include <Carawaykeel/Forwarding/AttemptDecision.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

using Forwarding::AttemptOutcome;
using Forwarding::NextStep;
using Forwarding::RouteKind;

/// What may be repeated follows from the route, and refusals are true.
class AttemptDecisionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AttemptDecisionTest);
    CPPUNIT_TEST(unsafeIsNeverSentAgainOnceItMayHaveRun);
    CPPUNIT_TEST(refusedRequestGoesElsewhere);
    CPPUNIT_TEST(streamResumesOnlyWhereItMay);
    CPPUNIT_TEST(attemptsAndBudgetAreBounds);
    CPPUNIT_TEST(noRefusalIsToldOfWhatMayHaveRun);
    CPPUNIT_TEST_SUITE_END();

public:
    static Forwarding::Route makeRoute(RouteKind kind, bool canResume = false, int attempts = 3)
    {
        Forwarding::Route route;
        route.kind = kind;
        route.canResume = canResume;
        route.maxAttempts = attempts;
        return route;
    }

    static Forwarding::AttemptState makeState(AttemptOutcome end, int sent = 1)
    {
        return {end, sent, end != AttemptOutcome::NotSent && end != AttemptOutcome::RefusedByServer,
            false, true, true};
    }

    void unsafeIsNeverSentAgainOnceItMayHaveRun()
    {
        for (const auto kind : {RouteKind::Unsafe, RouteKind::Stream}) {
            for (const auto end : {AttemptOutcome::FailedByServer, AttemptOutcome::ConnectionLost,
                     AttemptOutcome::InvalidResponse}) {
                const auto decision =
                    Forwarding::decideAfterAttempt(makeRoute(kind), makeState(end));
                CPPUNIT_ASSERT(decision.step != NextStep::Retry);
            }
        }
        const auto failed = Forwarding::decideAfterAttempt(
            makeRoute(RouteKind::Unsafe), makeState(AttemptOutcome::FailedByServer));
        CPPUNIT_ASSERT(failed.step == NextStep::ForwardFailure);
    }

    void refusedRequestGoesElsewhere()
    {
        for (const auto end : {AttemptOutcome::NotSent, AttemptOutcome::RefusedByServer}) {
            const auto decision =
                Forwarding::decideAfterAttempt(makeRoute(RouteKind::Unsafe), makeState(end));
            CPPUNIT_ASSERT(decision.step == NextStep::Retry);
        }
    }

    void streamResumesOnlyWhereItMay()
    {
        auto state = makeState(AttemptOutcome::ConnectionLost);
        state.hasResponseStarted = true;
        CPPUNIT_ASSERT(
            Forwarding::decideAfterAttempt(makeRoute(RouteKind::Stream, true), state).step
            == NextStep::Retry);
        CPPUNIT_ASSERT(
            Forwarding::decideAfterAttempt(makeRoute(RouteKind::Stream, false), state).step
            == NextStep::AbortResponse);
    }

    void attemptsAndBudgetAreBounds()
    {
        const auto route = makeRoute(RouteKind::Safe, false, 2);
        auto state = makeState(AttemptOutcome::ConnectionLost, 2);
        CPPUNIT_ASSERT(Forwarding::decideAfterAttempt(route, state).step == NextStep::Fail);
        state.sentAttempts = 1;
        state.hasRetryBudget = false;
        CPPUNIT_ASSERT(Forwarding::decideAfterAttempt(route, state).step == NextStep::Fail);
        state.hasRetryBudget = true;
        state.hasOtherServer = false;
        CPPUNIT_ASSERT(Forwarding::decideAfterAttempt(route, state).step == NextStep::Fail);
    }

    void noRefusalIsToldOfWhatMayHaveRun()
    {
        for (const auto end : {AttemptOutcome::NotSent, AttemptOutcome::RefusedByServer,
                 AttemptOutcome::FailedByServer, AttemptOutcome::ConnectionLost,
                 AttemptOutcome::InvalidResponse}) {
            for (const bool mayHaveRun : {false, true}) {
                auto state = makeState(end);
                state.mayHaveRun = state.mayHaveRun || mayHaveRun;
                state.hasOtherServer = false;
                const auto decision =
                    Forwarding::decideAfterAttempt(makeRoute(RouteKind::Safe), state);
                const auto &answer = Base::errorResponseFor(decision.kind);
                CPPUNIT_ASSERT(!state.mayHaveRun
                    || answer.executionStatus != Base::ExecutionStatus::NotExecuted);
                CPPUNIT_ASSERT(!state.mayHaveRun || answer.httpStatus >= 502);
                CPPUNIT_ASSERT(!state.mayHaveRun || answer.httpStatus != 503);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptDecisionTest);

} // namespace Carawaykeel::Tests
