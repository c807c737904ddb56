#include <Carawaykeel/Adapters/EventStreamRelay.h>

#include <cppunit/extensions/HelperMacros.h>
#include <sstream>

namespace Carawaykeel::Tests {

namespace {

std::string chunk(const std::string &id, const std::string &text)
{
    return "data: {\"id\":\"" + id + "\",\"choices\":[{\"delta\":{\"content\":\"" + text
        + "\"}}]}\n\n";
}

const std::string Usage = "data: {\"id\":\"a\",\"choices\":[],\"usage\":{\"total_tokens\":7}}\n\n";
const std::string Done = "data: [DONE]\n\n";

struct Relayed
{
    Adapters::RelayResult result;
    std::string passedOn;
};

Relayed relay(const std::string &from, std::int64_t limit = 100, bool wantsUsage = false)
{
    std::istringstream in(from);
    std::ostringstream out;
    auto result =
        Adapters::EventStreamRelay(in, out, Base::Tokens(limit), wantsUsage, 10'000).run();
    return {std::move(result), out.str()};
}

} // namespace

/// A caller receives its own whole answer, or is told that it did not.
class EventStreamRelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventStreamRelayTest);
    CPPUNIT_TEST(wholeStreamHoldsItsEndMarkerBack);
    CPPUNIT_TEST(usageIsPassedOnOnlyWhereItWasAskedFor);
    CPPUNIT_TEST(shortStreamIsBroken);
    CPPUNIT_TEST(halfAnEventIsNotPassedOn);
    CPPUNIT_TEST(foreignEventIsCrossed);
    CPPUNIT_TEST(streamPastTheLimitIsStopped);
    CPPUNIT_TEST_SUITE_END();

public:
    void wholeStreamHoldsItsEndMarkerBack()
    {
        const auto relayed = relay(chunk("a", "x") + Usage + Done);
        CPPUNIT_ASSERT(relayed.result.end == Adapters::RelayEnd::Whole);
        CPPUNIT_ASSERT_EQUAL(chunk("a", "x"), relayed.passedOn);
        CPPUNIT_ASSERT(relayed.result.usage == Base::Tokens(7));
    }

    void usageIsPassedOnOnlyWhereItWasAskedFor()
    {
        CPPUNIT_ASSERT_EQUAL(
            chunk("a", "x") + Usage, relay(chunk("a", "x") + Usage + Done, 100, true).passedOn);
    }

    void shortStreamIsBroken()
    {
        CPPUNIT_ASSERT(relay(chunk("a", "x")).result.end == Adapters::RelayEnd::Broken);
        CPPUNIT_ASSERT(relay("").result.end == Adapters::RelayEnd::Broken);
    }

    void halfAnEventIsNotPassedOn()
    {
        const auto relayed = relay(chunk("a", "x") + "data: {\"id\":\"a\",\"choi");
        CPPUNIT_ASSERT(relayed.result.end == Adapters::RelayEnd::Broken);
        CPPUNIT_ASSERT_EQUAL(chunk("a", "x"), relayed.passedOn);
    }

    void foreignEventIsCrossed()
    {
        const auto relayed = relay(chunk("a", "x") + chunk("b", "secret") + Done);
        CPPUNIT_ASSERT(relayed.result.end == Adapters::RelayEnd::Crossed);
        CPPUNIT_ASSERT(relayed.passedOn.find("secret") == std::string::npos);
    }

    void streamPastTheLimitIsStopped()
    {
        std::string endless;
        for (int n = 0; n < 10; ++n)
            endless += chunk("a", "x");
        CPPUNIT_ASSERT(relay(endless + Done, 5).result.end == Adapters::RelayEnd::Exceeded);
        CPPUNIT_ASSERT(relay(endless + Done, 10).result.end == Adapters::RelayEnd::Whole);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventStreamRelayTest);

} // namespace Carawaykeel::Tests
