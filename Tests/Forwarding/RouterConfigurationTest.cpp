#include <Carawaykeel/Forwarding/RouterConfiguration.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Carawaykeel::Tests {

namespace {

Forwarding::Route makeRoute(
    const std::string &name, const std::string &host, const std::string &prefix)
{
    Forwarding::Route route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    return route;
}

} // namespace

/// Checks that routes are found by host and longest prefix, and teams by key.
class RouterConfigurationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterConfigurationTest);
    CPPUNIT_TEST(longestPrefixWins);
    CPPUNIT_TEST(prefixEndsAtSlash);
    CPPUNIT_TEST(queryIsIgnored);
    CPPUNIT_TEST(teamIsFoundByKey);
    CPPUNIT_TEST_SUITE_END();

public:
    Forwarding::RouterConfiguration configuration{1,
        {makeRoute("root", "a", "/"), makeRoute("one", "a", "/one/"),
            makeRoute("deep", "a", "/one/two/"), makeRoute("other", "b", "/one/")},
        {{Base::TeamId("red"), {"k1", "k2"}, std::nullopt, std::nullopt}}, {}, {}};

    std::string findRouteName(const std::string &host, const std::string &path) const
    {
        const auto *found = configuration.findRoute(host, path);
        return found ? found->name : "none";
    }

    void longestPrefixWins()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("deep"), findRouteName("a", "/one/two/x/y"));
        CPPUNIT_ASSERT_EQUAL(std::string("one"), findRouteName("a", "/one/three"));
        CPPUNIT_ASSERT_EQUAL(std::string("root"), findRouteName("a", "/x"));
        CPPUNIT_ASSERT_EQUAL(std::string("other"), findRouteName("b", "/one/two/x"));
    }

    void prefixEndsAtSlash()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("one"), findRouteName("a", "/one/twofold"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), findRouteName("b", "/one"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), findRouteName("c", "/one/"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), findRouteName("a", ""));
    }

    void queryIsIgnored()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("root"), findRouteName("a", "/x?y=/one/two/"));
        CPPUNIT_ASSERT_EQUAL(std::string("one"), findRouteName("a", "/one/?y"));
    }

    void teamIsFoundByKey()
    {
        CPPUNIT_ASSERT(configuration.findTeamByKey("k2")->name == Base::TeamId("red"));
        CPPUNIT_ASSERT(!configuration.findTeamByKey("k3"));
        CPPUNIT_ASSERT(!configuration.findTeamByKey(""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterConfigurationTest);

} // namespace Carawaykeel::Tests
