#include <Carawaykeel/Adapters/SettingsParser.h>

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>

namespace Carawaykeel::Tests {

/// Invalid settings are rejected as a whole, and every error is reported.
class SettingsParserTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsParserTest);
    CPPUNIT_TEST(validSettingsAreAccepted);
    CPPUNIT_TEST(allErrorsAreReportedInOnePass);
    CPPUNIT_TEST(malformedJsonIsOneError);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { setenv("CARAWAYKEEL_TEST_KEY", "sixteen-characters-or-more", 1); }

    void validSettingsAreAccepted()
    {
        const auto parsed = Adapters::parseSettings(R"({
            // an instance
            "name": "entry-1", "data_centre": "dc-a",
            "callers": { "address": "127.0.0.1:1" }, /* and */
            "operators": { "address": "127.0.0.1:2", "key_env": "CARAWAYKEEL_TEST_KEY" },
            "peers": { "address": "127.0.0.1:3", "gossip_address": "127.0.0.1:4", "key_env": "CARAWAYKEEL_TEST_KEY", "seeds": [] },
            "platform": { "address": "127.0.0.1:5", "key_env": "CARAWAYKEEL_TEST_KEY" } })");
        CPPUNIT_ASSERT_EQUAL(std::string(), Configuration::formatErrors(parsed.errors, "settings"));
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:3"), parsed.settings.instance.self.peerAddress);
    }

    void allErrorsAreReportedInOnePass()
    {
        const auto parsed =
            Adapters::parseSettings(R"({ "name": "no spaces", "data_centre": 7, "surprise": 1,
            "callers": { "address": "localhost:80" },
            "operators": { "address": "127.0.0.1:2", "key_env": "CARAWAYKEEL_NO_SUCH_KEY" },
            "peers": { "address": "127.0.0.1:99999", "gossip_address": "127.0.0.1:4", "key_env": "CARAWAYKEEL_TEST_KEY", "seeds": ["host:1"] },
            "platform": { "address": "127.0.0.1:5", "key_env": "CARAWAYKEEL_TEST_KEY", "timeout_ms": 0 } })");
        const auto text = Configuration::formatErrors(parsed.errors, "settings");
        for (const auto *path : {"name", "data_centre", "surprise", "callers.address",
                 "operators.key_env", "peers.address", "peers.seeds[0]", "platform.timeout_ms"}) {
            CPPUNIT_ASSERT_MESSAGE(
                text, text.find(std::string("settings: ") + path + ":") != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), parsed.errors.size());
    }

    void malformedJsonIsOneError()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), Adapters::parseSettings("{ \"name\": ").errors.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsParserTest);

} // namespace Carawaykeel::Tests
