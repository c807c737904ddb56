#include <Carawaykeel/Forwarding/RouterConfiguration.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

namespace {

Forwarding::Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    Forwarding::Route route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    return route;
}

} // namespace

/// Requests find their route by host and longest prefix, and their team by its key.
class RouterConfigurationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterConfigurationTest);
    CPPUNIT_TEST(longestPrefixWins);
    CPPUNIT_TEST(prefixEndsAtASlash);
    CPPUNIT_TEST(queryIsNoPartOfThePath);
    CPPUNIT_TEST(keysNameTeams);
    CPPUNIT_TEST_SUITE_END();

public:
    Forwarding::RouterConfiguration configuration{1,
        {route("root", "a", "/"), route("one", "a", "/one/"), route("deep", "a", "/one/two/"),
            route("other", "b", "/one/")},
        {{Base::TeamId("red"), {"k1", "k2"}, std::nullopt, std::nullopt}}, {}, {}};

    std::string find(const std::string &host, const std::string &path) const
    {
        const auto *found = configuration.findRoute(host, path);
        return found ? found->name : "none";
    }

    void longestPrefixWins()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("deep"), find("a", "/one/two/x/y"));
        CPPUNIT_ASSERT_EQUAL(std::string("one"), find("a", "/one/three"));
        CPPUNIT_ASSERT_EQUAL(std::string("root"), find("a", "/x"));
        CPPUNIT_ASSERT_EQUAL(std::string("other"), find("b", "/one/two/x"));
    }

    void prefixEndsAtASlash()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("one"), find("a", "/one/twofold"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), find("b", "/one"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), find("c", "/one/"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), find("a", ""));
    }

    void queryIsNoPartOfThePath()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("root"), find("a", "/x?y=/one/two/"));
        CPPUNIT_ASSERT_EQUAL(std::string("one"), find("a", "/one/?y"));
    }

    void keysNameTeams()
    {
        CPPUNIT_ASSERT(configuration.findTeamByKey("k2")->name == Base::TeamId("red"));
        CPPUNIT_ASSERT(!configuration.findTeamByKey("k3"));
        CPPUNIT_ASSERT(!configuration.findTeamByKey(""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterConfigurationTest);

} // namespace Carawaykeel::Tests
