#include "ExitCodes.h"
#include "RouterProcess.h"

#include <Carawaykeel/Adapters/Daemon.h>
#include <Carawaykeel/Adapters/SettingsParser.h>
#include <Carawaykeel/Configuration/ValidationError.h>

#include <CLI/CLI.hpp>
#include <Poco/Exception.h>
#include <csignal>
#include <fmt/core.h>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>

namespace {

using Carawaykeel::ExitBadInput;
using Carawaykeel::ExitOk;
using Carawaykeel::ExitTokensNotReturned;
using Carawaykeel::ExitUnreachable;

/// Waits for signals on a separate thread with sigwait(), so that no signal handler interrupts
/// other code.
void handleSignals(const sigset_t &signals, Carawaykeel::Adapters::Daemon &daemon)
{
    while (true) {
        int signal = 0;
        if (sigwait(&signals, &signal) == 0)
            daemon.requestShutDown();
    }
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("carawaykeeld: one instance of the router fleet, on one entry VM.");
    std::string file;
    bool isCheckOnly = false;
    app.add_option("--settings", file, "Settings file, JSON with comments (docs/OPERATIONS.md)")
        ->envname("CARAWAYKEEL_SETTINGS")
        ->required();
    auto *route = app.add_subcommand("route", "Serve the platform's callers and backend servers");
    app.require_subcommand(0, 1);
    app.add_flag(
        "--check", isCheckOnly, "Check the settings and exit: 0 if they are valid, 2 if not");
    CLI11_PARSE(app, argc, argv);

    if (route->parsed())
        return Carawaykeel::runRouter(file, isCheckOnly);
    std::ifstream stream(file);
    if (!stream) {
        fmt::print(stderr, "{}: (document): expected a file that can be read\n", file);
        return ExitBadInput;
    }
    const std::string document{std::istreambuf_iterator<char>(stream), {}};
    auto parsed = Carawaykeel::Adapters::parseSettings(document);
    if (!parsed.errors.empty()) {
        fmt::print(stderr, "{}", Carawaykeel::Configuration::formatErrors(parsed.errors, file));
        return ExitBadInput;
    }
    if (isCheckOnly)
        return ExitOk;

    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        Carawaykeel::Adapters::Daemon daemon(std::move(parsed.settings));
        std::thread(handleSignals, std::cref(signals), std::ref(daemon)).detach();
        const bool areTokensReturned = daemon.wait();
        // NOTE: The detached thread still refers to the daemon, so the process exits without
        // running its destructor.
        daemon.flushLog();
        std::_Exit(areTokensReturned ? ExitOk : ExitTokensNotReturned);
    } catch (const Poco::Exception &ex) {
        fmt::print(stderr, "level=fatal event=cannot_start reason=\"{}\"\n", ex.displayText());
        return ExitUnreachable;
    }
}
