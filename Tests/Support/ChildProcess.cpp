#include <Support/ChildProcess.h>

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace Carawaykeel::Tests {

namespace {

constexpr int FilePermissions = 0600;
constexpr int ExecFailed = 127;

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
    const std::string &outputFile)
{
    std::vector<char *> argv{const_cast<char *>(program.c_str())};
    for (const auto &argument : arguments)
        argv.push_back(const_cast<char *>(argument.c_str()));
    argv.push_back(nullptr);
    m_process = fork();
    if (m_process != 0)
        return;
    // The program must not outlive a test that is ended early.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(outputFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC, FilePermissions);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    // A listening socket of this process would stay open in the program.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(argv.front(), argv.data());
    _exit(ExecFailed);
}

ChildProcess::~ChildProcess()
{
    if (m_process <= 0)
        return;
    kill(m_process, SIGKILL);
    wait();
}

int ChildProcess::wait()
{
    int status = 0;
    waitpid(std::exchange(m_process, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace Carawaykeel::Tests
