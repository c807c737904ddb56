#pragma once

#include <Carawaykeel/Base/Result.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Carawaykeel::Control {

/// Options that apply to all commands.
struct ControlOptions
{
    std::string operatorAddress;
    std::string operatorKey;
    /// Prints JSON, for scripts.
    bool isJson = false;
};

/// Exit code of the tool, for scripts.
enum class ExitCode : int { Ok = 0, Differs = 1, BadInput = 2, Conflict = 3, Unreachable = 4 };

/// Returns the exit code for a kind of error.
ExitCode exitCodeFor(Base::ErrorKind kind);

/// The operators' commands. Each prints its result to standard output.
class ControlTool
{
public:
    explicit ControlTool(ControlOptions options);

    Base::Result<ExitCode> tryCheck(const std::string &folder);
    Base::Result<ExitCode> tryDiff(const std::string &folder);
    Base::Result<ExitCode> tryApply(
        const std::string &folder, const std::string &operation, std::int64_t baseVersion);
    Base::Result<ExitCode> tryStatus();
    Base::Result<ExitCode> tryDump();
    Base::Result<ExitCode> tryTopUp(
        const std::string &budget, const std::string &id, std::int64_t tokens);
    Base::Result<ExitCode> tryBudgets();
    Base::Result<ExitCode> tryDrain(const std::string &address);
    Base::Result<ExitCode> tryEntry(const std::string &callerAddress, const std::string &teamKey);
    Base::Result<ExitCode> hashKey(const std::string &key);

private:
    ControlOptions m_options;
};

} // namespace Carawaykeel::Control
