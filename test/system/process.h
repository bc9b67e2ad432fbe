#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace mangoshift::testing {

/// A child process that is killed when the object is destroyed.
class Process
{
public:
    /// Starts a program from the build folder. Appends its standard output and error to `logPath`.
    /// Throws `std::runtime_error` if `MANGOSHIFT_BIN_DIR` is not set or the fork fails.
    Process(const std::string &program, const std::vector<std::string> &arguments,
            const std::string &logPath);
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&) = delete;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    /// Waits until the process ends. Returns its exit status, or the negated number of the signal
    /// that ended it. Returns 0 if called again.
    int wait();
    /// Returns whether the process has ended; if so, `wait` returns immediately.
    bool hasEnded() const;
    pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = -1;
};

/// Returns the absolute path of a file in the source tree. Throws `std::runtime_error` if
/// `MANGOSHIFT_SOURCE_DIR` is not set.
std::string sourcePath(const std::string &relative);

} // namespace mangoshift::testing
