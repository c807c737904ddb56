#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace Carawaykeel::Tests {

/// A program that runs as a process of its own and is killed with this object.
class ChildProcess
{
public:
    /// `arguments` follow the program's path. Its output and its errors go to `outputFile`.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
        const std::string &outputFile = "/dev/null");
    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Waits until the program ends. Returns its exit code, or -1 if a signal ended it.
    int wait();

private:
    pid_t m_process = -1;
};

} // namespace Carawaykeel::Tests
