#include "process.h"

#include <csignal>
#include <cstdlib>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace mangoshift::testing {

namespace {

std::string requiredEnvironment(const char *name)
{
    const char *value = std::getenv(name);
    if (value == nullptr)
        throw std::runtime_error(std::string(name) + " is not set; run the tests with ctest");
    return value;
}

} // namespace

Process::Process(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &logPath)
{
    const std::string path = requiredEnvironment("MANGOSHIFT_BIN_DIR") + "/" + program;
    std::vector<char *> argv{const_cast<char *>(path.c_str())};
    for (const std::string &argument : arguments)
        argv.push_back(const_cast<char *>(argument.c_str()));
    argv.push_back(nullptr);
    m_pid = fork();
    if (m_pid < 0)
        throw std::runtime_error("fork failed");
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        // Closes inherited descriptors: a socket that the child shares would stay open after this
        // process has closed it.
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execv(path.c_str(), argv.data());
        _exit(127);
    }
}

Process::~Process()
{
    if (m_pid <= 0)
        return;
    signal(SIGKILL);
    signal(SIGCONT);
    wait();
}

Process::Process(Process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
{
}

void Process::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

bool Process::hasEnded() const
{
    siginfo_t info{};
    return m_pid <= 0
        || (waitid(P_PID, static_cast<id_t>(m_pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0
            && info.si_pid != 0);
}

int Process::wait()
{
    int status = 0;
    if (m_pid > 0)
        waitpid(std::exchange(m_pid, -1), &status, 0);
    return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
}

std::string sourcePath(const std::string &relative)
{
    return requiredEnvironment("MANGOSHIFT_SOURCE_DIR") + "/" + relative;
}

} // namespace mangoshift::testing
