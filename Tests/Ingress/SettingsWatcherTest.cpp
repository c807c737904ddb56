#include <Carawaykeel/Ingress/SettingsWatcher.h>
#include <Support/VirtualWorld.h>
#include <Support/WorldScheduler.h>

#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fmt/core.h>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace Carawaykeel::Tests {

namespace {

std::string settingsWithRetrySlack(int slack)
{
    return fmt::format(R"({{
        "name": "entry-1", "data_centre": "dc-a",
        "callers": {{"address": "127.0.0.1:1", "ready_address": "127.0.0.1:2",
                     "entry_address": "127.0.0.1:3"}},
        "table_service": {{"address": "127.0.0.1:4"}},
        "peers": {{"address": "127.0.0.1:5", "gossip_address": "127.0.0.1:6", "seeds": [],
                   "key": "a key of enough characters"}},
        "retries": {{"slack": {}}}
    }})",
        slack);
}

} // namespace

/// Settings file that changes while the process runs.
class SettingsWatcherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsWatcherTest);
    CPPUNIT_TEST(changeWithoutSignalIsDetectedInTime);
    CPPUNIT_TEST(explicitPollDetectsChangeImmediately);
    CPPUNIT_TEST(invalidSettingsAreReportedOnce);
    CPPUNIT_TEST(missingFileIsReadOnceItExists);
    CPPUNIT_TEST_SUITE_END();

public:
    VirtualWorld world{1};
    WorldScheduler scheduler{world};
    std::string file =
        std::filesystem::temp_directory_path() / fmt::format("settings-watch-{}", ::getpid());
    std::vector<Ingress::ParsedRouterSettings> received;

    void setUp() override { write(settingsWithRetrySlack(10)); }
    void tearDown() override { std::filesystem::remove(file); }

    void write(const std::string &document) const { std::ofstream(file) << document; }

    Ingress::SettingsWatcher makeWatcher()
    {
        return {file, settingsWithRetrySlack(10), scheduler,
            [this](const Ingress::ParsedRouterSettings &parsed) { received.push_back(parsed); }};
    }

    void changeWithoutSignalIsDetectedInTime()
    {
        auto watcher = makeWatcher();
        watcher.start();
        world.run(Base::Milliseconds(5'000));
        CPPUNIT_ASSERT(received.empty());
        write(settingsWithRetrySlack(20));
        world.run(Ingress::SettingsWatcher::PollInterval);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), received.size());
        CPPUNIT_ASSERT_EQUAL(20, received.front().settings.retries.slack);
    }

    void explicitPollDetectsChangeImmediately()
    {
        auto watcher = makeWatcher();
        write(settingsWithRetrySlack(30));
        watcher.poll();
        watcher.poll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), received.size());
        CPPUNIT_ASSERT_EQUAL(30, received.front().settings.retries.slack);
    }

    void invalidSettingsAreReportedOnce()
    {
        auto watcher = makeWatcher();
        write("{ \"name\": 7");
        watcher.poll();
        watcher.poll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), received.size());
        CPPUNIT_ASSERT(!received.front().errors.empty());
    }

    void missingFileIsReadOnceItExists()
    {
        auto watcher = makeWatcher();
        std::filesystem::remove(file);
        watcher.poll();
        CPPUNIT_ASSERT(received.empty());
        write(settingsWithRetrySlack(40));
        watcher.poll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), received.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsWatcherTest);

} // namespace Carawaykeel::Tests
