#include <Carawaykeel/Base/ErrorTable.h>
#include <Carawaykeel/Configuration/JsonObjectReader.h>
#include <Carawaykeel/Control/ControlTool.h>

#include <CLI/CLI.hpp>
#include <Poco/JSON/Object.h>
#include <cstdlib>
#include <fmt/core.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <string>

namespace {

using Carawaykeel::Control::ControlOptions;
using Carawaykeel::Control::ControlTool;
using Carawaykeel::Control::ExitCode;

using Command = std::function<Carawaykeel::Base::Result<ExitCode>(ControlTool &)>;

std::string readKey(const std::string &file, const char *variable)
{
    if (file.empty()) {
        const auto *value = std::getenv(variable);
        return value ? value : "";
    }
    std::ifstream stream(file);
    std::string line;
    std::getline(stream, line);
    return line;
}

int reportFailure(const Carawaykeel::Base::Failure &failure, bool isJson)
{
    const auto code = static_cast<int>(Carawaykeel::Control::exitCodeFor(failure.kind));
    const auto name = Carawaykeel::Base::errorResponseFor(failure.kind).name;
    if (isJson) {
        Poco::JSON::Object object;
        object.set("kind", std::string(name));
        object.set("message", failure.message);
        object.set("exit", code);
        object.stringify(std::cout);
        std::cout << "\n";
    }
    fmt::print(stderr, "{}: {}\n", name, failure.message);
    return code;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app(
        "carawaykeelctl: declare, watch and drain the router fleet.\n"
        "Exit codes: 0 success, 1 diff found differences, 2 bad input or refused, 3 conflict "
        "with another\n"
        "operator's change, 4 instance or platform unreachable (the same operation may be "
        "retried).");
    app.require_subcommand(1);
    ControlOptions options;
    std::string keyFile;
    app.add_option("--operator", options.operatorAddress,
           "Operators' address of any instance, such as 10.0.0.1:9090")
        ->envname("CARAWAYKEEL_OPERATOR");
    app.add_option("--key-file", keyFile,
        "File with the operators' key (else CARAWAYKEEL_OPERATOR_KEY is used)");
    app.add_flag("--json", options.isJson, "Print JSON, for scripts");

    Command command;
    std::string folder;
    std::string operation;
    std::int64_t baseVersion = -1;
    std::string budget;
    std::string topUpId;
    std::int64_t tokens = 0;
    std::string address;
    std::string teamKeyFile;

    auto *check = app.add_subcommand(
        "check", "Check a folder with rules.json and inventory.json; nothing is sent");
    check->add_option("folder", folder, "Folder of declarations")->required();
    check->callback([&] { command = [&](ControlTool &tool) { return tool.tryCheck(folder); }; });

    auto *diff = app.add_subcommand("diff", "Show what apply would change");
    diff->add_option("folder", folder, "Folder of declarations")->required();
    diff->callback([&] { command = [&](ControlTool &tool) { return tool.tryDiff(folder); }; });

    auto *apply = app.add_subcommand("apply", "Apply a folder of declarations as the next version");
    apply->add_option("folder", folder, "Folder of declarations")->required();
    apply
        ->add_option("--operation", operation,
            "Unique identifier of this change; a retry with it takes effect once")
        ->required();
    apply->add_option("--base-version", baseVersion,
        "Version against which the change was made (default: the one in force)");
    apply->callback([&] {
        command = [&](ControlTool &tool) { return tool.tryApply(folder, operation, baseVersion); };
    });

    auto *status = app.add_subcommand("status",
        "Show the version in force at each instance, and which declared VMs are not running");
    status->callback([&] { command = [](ControlTool &tool) { return tool.tryStatus(); }; });

    auto *dump = app.add_subcommand("dump", "Show the complete state of an instance");
    dump->callback([&] { command = [](ControlTool &tool) { return tool.tryDump(); }; });

    auto *budgets =
        app.add_subcommand("budgets", "Show the ledgers of all budgets in the platform");
    budgets->callback([&] { command = [](ControlTool &tool) { return tool.tryBudgets(); }; });

    auto *topUp = app.add_subcommand("top-up", "Add tokens to a budget, once per id");
    topUp->add_option("budget", budget, "The budget's id")->required();
    topUp
        ->add_option(
            "id", topUpId, "The top-up's id, unique in the budget; a retry with it counts once")
        ->required();
    topUp->add_option("tokens", tokens, "Tokens to add")->required();
    topUp->callback([&] {
        command = [&](ControlTool &tool) { return tool.tryTopUp(budget, topUpId, tokens); };
    });

    auto *drain = app.add_subcommand(
        "drain", "Let an instance finish its work, return what it holds and end");
    drain->add_option("address", address, "The instance's operators' address")->required();
    drain->callback([&] { command = [&](ControlTool &tool) { return tool.tryDrain(address); }; });

    auto *entry = app.add_subcommand("entry", "Show the addresses that a team's caller is to use");
    entry->add_option("address", address, "Callers' address of any instance")->required();
    entry->add_option("--team-key-file", teamKeyFile,
        "File with the team's key (else CARAWAYKEEL_TEAM_KEY is used)");
    entry->callback([&] {
        command = [&](ControlTool &tool) {
            return tool.tryEntry(address, readKey(teamKeyFile, "CARAWAYKEEL_TEAM_KEY"));
        };
    });

    auto *hash =
        app.add_subcommand("hash-key", "Print the digest of a team's key, for the declarations");
    hash->add_option(
        "--team-key-file", teamKeyFile, "File with the key (else CARAWAYKEEL_TEAM_KEY is used)");
    hash->callback([&] {
        command = [&](ControlTool &tool) {
            return tool.hashKey(readKey(teamKeyFile, "CARAWAYKEEL_TEAM_KEY"));
        };
    });

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &ex) {
        const bool isHelp = app.exit(ex) == 0;
        return static_cast<int>(isHelp ? ExitCode::Ok : ExitCode::BadInput);
    }
    options.operatorKey = readKey(keyFile, "CARAWAYKEEL_OPERATOR_KEY");
    ControlTool tool(options);
    return boost::leaf::try_handle_all(
        [&]() -> Carawaykeel::Base::Result<int> {
            BOOST_LEAF_AUTO(code, command(tool));
            return static_cast<int>(code);
        },
        [&](const Carawaykeel::Base::Failure &failure) {
            return reportFailure(failure, options.isJson);
        },
        [] { return static_cast<int>(ExitCode::Unreachable); });
}
