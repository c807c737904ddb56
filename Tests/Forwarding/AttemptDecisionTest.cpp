#include <Carawaykeel/Base/ErrorTable.h>
#include <Carawaykeel/Forwarding/AttemptDecision.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

using Forwarding::AttemptOutcome;
using Forwarding::NextStep;
using Forwarding::RouteKind;

/// Checks that retries follow the route's rules and that an error response never claims that a
/// request was not executed when it may have been.
class AttemptDecisionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AttemptDecisionTest);
    CPPUNIT_TEST(unsafeRequestIsNotRetriedWhenItMayHaveRun);
    CPPUNIT_TEST(requestThatWasNotExecutedIsRetried);
    CPPUNIT_TEST(streamIsResumedOnlyWhenTheRouteAllowsIt);
    CPPUNIT_TEST(attemptLimitAndBudgetStopRetries);
    CPPUNIT_TEST(errorNeverClaimsNotExecutedWhenItMayHaveRun);
    CPPUNIT_TEST(failureThatPromisesNotExecutedIsNotForwarded);
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

    static Forwarding::AttemptState makeState(AttemptOutcome outcome, int sent = 1)
    {
        return {outcome, sent,
            outcome != AttemptOutcome::NotSent && outcome != AttemptOutcome::RefusedByServer, false,
            true, true};
    }

    void unsafeRequestIsNotRetriedWhenItMayHaveRun()
    {
        for (const auto kind : {RouteKind::Unsafe, RouteKind::Stream}) {
            for (const auto outcome : {AttemptOutcome::FailedByServer,
                     AttemptOutcome::ConnectionLost, AttemptOutcome::InvalidResponse}) {
                const auto decision =
                    Forwarding::decideAfterAttempt(makeRoute(kind), makeState(outcome));
                CPPUNIT_ASSERT(decision.step != NextStep::Retry);
            }
        }
        const auto failed = Forwarding::decideAfterAttempt(
            makeRoute(RouteKind::Unsafe), makeState(AttemptOutcome::FailedByServer));
        CPPUNIT_ASSERT(failed.step == NextStep::ForwardFailure);
    }

    void requestThatWasNotExecutedIsRetried()
    {
        for (const auto outcome : {AttemptOutcome::NotSent, AttemptOutcome::RefusedByServer}) {
            const auto decision =
                Forwarding::decideAfterAttempt(makeRoute(RouteKind::Unsafe), makeState(outcome));
            CPPUNIT_ASSERT(decision.step == NextStep::Retry);
        }
    }

    void streamIsResumedOnlyWhenTheRouteAllowsIt()
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

    void attemptLimitAndBudgetStopRetries()
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

    void errorNeverClaimsNotExecutedWhenItMayHaveRun()
    {
        for (const auto outcome : {AttemptOutcome::NotSent, AttemptOutcome::RefusedByServer,
                 AttemptOutcome::FailedByServer, AttemptOutcome::ConnectionLost,
                 AttemptOutcome::InvalidResponse}) {
            for (const bool mayHaveRun : {false, true}) {
                auto state = makeState(outcome);
                state.mayHaveRun = state.mayHaveRun || mayHaveRun;
                state.hasOtherServer = false;
                const auto decision =
                    Forwarding::decideAfterAttempt(makeRoute(RouteKind::Safe), state);
                const auto &response = Base::errorResponseFor(decision.kind);
                CPPUNIT_ASSERT(!state.mayHaveRun
                    || response.executionStatus != Base::ExecutionStatus::NotExecuted);
                CPPUNIT_ASSERT(!state.mayHaveRun || response.httpStatus >= 502);
                CPPUNIT_ASSERT(!state.mayHaveRun || response.httpStatus != 503);
            }
        }
    }

    /// Guards against a server's 503 that the caller takes for the promise that nothing was run.
    void failureThatPromisesNotExecutedIsNotForwarded()
    {
        for (const auto kind : {RouteKind::Safe, RouteKind::Unsafe, RouteKind::Stream}) {
            auto state = makeState(AttemptOutcome::FailedByServer);
            state.hasOtherServer = false;
            state.hasNotExecutedStatus = true;
            const auto decision = Forwarding::decideAfterAttempt(makeRoute(kind), state);
            CPPUNIT_ASSERT(decision.step == NextStep::Fail);
            CPPUNIT_ASSERT(
                !Base::promisesNotExecuted(Base::errorResponseFor(decision.kind).httpStatus));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptDecisionTest);

} // namespace Carawaykeel::Tests
