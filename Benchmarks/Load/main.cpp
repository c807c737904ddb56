// Sends a mixed load to a fleet of real processes and then checks bills, budgets and responses.
#include "LoadCaller.h"
#include "LoadReport.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <future>
#include <thread>

int main(int argc, char **argv)
{
    using namespace Carawaykeel::Load;
    CLI::App app(
        "carawaykeel-load: sends a mixed load of reports, tags, bookings and queue checks");
    LoadOptions options;
    app.add_option("--entry", options.entryAddresses,
           "Caller addresses from which the entry addresses are fetched")
        ->required();
    app.add_option("--team", options.teams, "Names of the teams")->required();
    app.add_option(
        "--key-prefix", options.keyPrefix, "Prefix of the team keys; the team's name follows");
    app.add_option("--model", options.model, "Model of the requests");
    app.add_option("--booking-path", options.bookingPath, "Path of a call that may run only once");
    app.add_option("--queue-path", options.queuePath, "Path of a call that may be repeated");
    app.add_option("--platform", options.platform, "Address of the stand-in platform")->required();
    app.add_option("--servers", options.servers,
           "File with a line NAME SERVICE ADDRESS for each stand-in server")
        ->required();
    app.add_option("--callers", options.callers, "Number of concurrent callers");
    app.add_option("--seconds", options.seconds, "Duration of the load");
    app.add_option(
        "--answer-tokens", options.responseTokens, "Maximum number of tokens of a report");
    app.add_option("--think-ms", options.maxThinkMilliseconds,
        "Maximum pause between two requests of a caller");
    app.add_option("--seed", options.seed, "Random seed of the callers");
    int settleSeconds = 5;
    app.add_option(
        "--settle", settleSeconds, "Seconds to wait for the last bills before the checks");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);

    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(options.seconds);
    std::vector<std::future<std::vector<LoadRecord>>> callers;
    for (int n = 0; n < options.callers; ++n) {
        callers.push_back(std::async(std::launch::async,
            [&options, n, until] { return LoadCaller(options, n).run(until); }));
    }
    std::vector<LoadRecord> records;
    for (auto &caller : callers) {
        const auto callerRecords = caller.get();
        records.insert(records.end(), callerRecords.begin(), callerRecords.end());
    }
    std::this_thread::sleep_for(std::chrono::seconds(settleSeconds));
    return reportAndCheck(options, records) ? 0 : 1;
}
