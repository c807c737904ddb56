#include <Carawaykeel/Ingress/RouterSettingsParser.h>

#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>
#include <string>

namespace Carawaykeel::Tests {

namespace {

std::string readTemplate()
{
    const auto folder = std::filesystem::path(__FILE__).parent_path() / ".." / "..";
    std::ifstream file(folder / "deploy" / "router.json.template");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Renders the template as the platform does.
std::string render(bool hasColdLimit)
{
    auto text = readTemplate();
    const std::regex coldSection(R"(\{\{#bounds\.coldOver\}\}([^]*?)\{\{/bounds\.coldOver\}\})");
    text = std::regex_replace(text, coldSection, hasColdLimit ? "$1" : "");
    text = std::regex_replace(text, std::regex(R"(\{\{#seeds\}\}.*\{\{/seeds\}\})"), "");
    text = std::regex_replace(text, std::regex(R"(\{\{bounds\.coldOver\}\})"), "1.25");
    text = std::regex_replace(text, std::regex(R"(\{\{bounds\.coldSlack\}\})"), "3");
    text = std::regex_replace(text, std::regex(R"(\{\{bounds\.budgetRatio\}\})"), "0.1");
    text = std::regex_replace(text, std::regex(R"(\{\{limits\.maxFds\}\})"), "4100");
    text = std::regex_replace(text, std::regex(R"(\{\{(ip|[a-zA-Z.]*address)\}\})"), "127.0.0.1");
    text = std::regex_replace(text, std::regex(R"(\{\{(listen\.[a-z]*)\}\})"), "127.0.0.1:8080");
    text = std::regex_replace(
        text, std::regex(R"("address": "127\.0\.0\.1")"), R"("address": "127.0.0.1:8080")");
    return std::regex_replace(text, std::regex(R"(\{\{[^}]*\}\})"), "100");
}

} // namespace

/// The rendered settings of an instance are valid with and without optional sections.
class RouterSettingsParserTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterSettingsParserTest);
    CPPUNIT_TEST(templateWithColdLimitIsValid);
    CPPUNIT_TEST(templateWithoutColdLimitIsValid);
    CPPUNIT_TEST_SUITE_END();

public:
    void templateWithColdLimitIsValid()
    {
        const auto parsed = Ingress::parseRouterSettings(render(true));
        CPPUNIT_ASSERT_EQUAL(std::string(), Configuration::formatErrors(parsed.errors, "settings"));
        CPPUNIT_ASSERT(parsed.settings.coldServers);
        CPPUNIT_ASSERT_EQUAL(1.25, parsed.settings.coldServers->overFactor);
        CPPUNIT_ASSERT_EQUAL(3.0, parsed.settings.coldServers->slack);
    }

    /// Deployments without the fields have no limit.
    void templateWithoutColdLimitIsValid()
    {
        const auto parsed = Ingress::parseRouterSettings(render(false));
        CPPUNIT_ASSERT_EQUAL(std::string(), Configuration::formatErrors(parsed.errors, "settings"));
        CPPUNIT_ASSERT(!parsed.settings.coldServers);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterSettingsParserTest);

} // namespace Carawaykeel::Tests
