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

std::string documentWith(int slack)
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

/// Settings that change while the process runs.
class SettingsWatchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsWatchTest);
    CPPUNIT_TEST(silentChangeIsSeenInTime);
    CPPUNIT_TEST(signalIsFollowedAtOnce);
    CPPUNIT_TEST(faultsAreToldOnceAndChangeNothing);
    CPPUNIT_TEST(missingFileIsWaitedFor);
    CPPUNIT_TEST_SUITE_END();

public:
    VirtualWorld world{1};
    WorldScheduler scheduler{world};
    std::string file =
        std::filesystem::temp_directory_path() / fmt::format("settings-watch-{}", ::getpid());
    std::vector<Ingress::ParsedRouterSettings> heard;

    void setUp() override { write(documentWith(10)); }
    void tearDown() override { std::filesystem::remove(file); }

    void write(const std::string &document) const { std::ofstream(file) << document; }

    Ingress::SettingsWatcher makeWatch()
    {
        return {file, documentWith(10), scheduler,
            [this](const Ingress::ParsedRouterSettings &parsed) { heard.push_back(parsed); }};
    }

    void silentChangeIsSeenInTime()
    {
        auto watch = makeWatch();
        watch.start();
        world.run(Base::Milliseconds(5'000));
        CPPUNIT_ASSERT(heard.empty());
        write(documentWith(20));
        world.run(Ingress::SettingsWatcher::PollInterval);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), heard.size());
        CPPUNIT_ASSERT_EQUAL(20, heard.front().settings.retries.slack);
    }

    void signalIsFollowedAtOnce()
    {
        auto watch = makeWatch();
        write(documentWith(30));
        watch.poll();
        watch.poll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), heard.size());
        CPPUNIT_ASSERT_EQUAL(30, heard.front().settings.retries.slack);
    }

    void faultsAreToldOnceAndChangeNothing()
    {
        auto watch = makeWatch();
        write("{ \"name\": 7");
        watch.poll();
        watch.poll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), heard.size());
        CPPUNIT_ASSERT(!heard.front().errors.empty());
    }

    void missingFileIsWaitedFor()
    {
        auto watch = makeWatch();
        std::filesystem::remove(file);
        watch.poll();
        CPPUNIT_ASSERT(heard.empty());
        write(documentWith(40));
        watch.poll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), heard.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsWatchTest);

} // namespace Carawaykeel::Tests
