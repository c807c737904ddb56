// Drives a mixed morning against a fleet of real processes and checks the promises afterwards.
#include "LoadCaller.h"
#include "LoadReport.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <future>
#include <thread>

int main(int argc, char **argv)
{
    using namespace Carawaykeel::Load;
    CLI::App app("carawaykeel-load: a mixed morning of reports, tags, bookings and queue checks");
    LoadOptions options;
    app.add_option("--entry", options.entries, "Callers' addresses to ask first")->required();
    app.add_option("--team", options.teams, "Names of the teams")->required();
    app.add_option("--key-prefix", options.keyPrefix, "A team's key is this and its name");
    app.add_option("--model", options.model, "Model to ask for");
    app.add_option("--booking-path", options.bookingPath, "Path of a call that may run once");
    app.add_option("--queue-path", options.queuePath, "Path of a call that may be repeated");
    app.add_option("--platform", options.platform, "Address of the platform stand-in")->required();
    app.add_option("--servers", options.servers, "File with NAME SERVICE ADDRESS of each stand-in")
        ->required();
    app.add_option("--callers", options.callers, "Callers at the same time");
    app.add_option("--seconds", options.seconds, "How long to send");
    app.add_option("--answer-tokens", options.answerTokens, "Limit of a report's answer");
    app.add_option(
        "--think-ms", options.thinkMilliseconds, "Longest pause between requests of a caller");
    app.add_option("--seed", options.seed, "Seed of the callers");
    int settleSeconds = 5;
    app.add_option("--settle", settleSeconds, "Seconds to wait for the last bills");
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
        const auto own = caller.get();
        records.insert(records.end(), own.begin(), own.end());
    }
    std::this_thread::sleep_for(std::chrono::seconds(settleSeconds));
    return reportAndCheck(options, records) ? 0 : 1;
}
