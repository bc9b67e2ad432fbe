#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "base/boundedring.h"
#include "mangoshift/clock.h"

namespace mangoshift {

enum class LogLevel { Debug, Info, Warning, Error };

/// One line as it waits to be written.
struct LogLine
{
    LogLevel level = LogLevel::Info;
    std::chrono::system_clock::time_point at;
    std::string text;
};

/// Bounds of the volume of logs.
struct LogWriterOptions
{
    /// How many lines wait for the writer before further ones are left out.
    std::size_t capacity = 4096;
    /// Lines a second; warnings and errors may go over it by as much again.
    std::uint32_t linesPerSecond = 200;
};

/// The duty that writes log lines, so that no other ever waits for the reader of the log.
///
/// Lines over the budget, or for which the ring has no room, are left out and counted; a line with
/// their number follows, once a second at most. `tryWrite` may be called from any thread.
class LogWriter
{
public:
    /// Writes one line; called on the writer's thread only, and may block.
    using Sink = std::function<void(const LogLine &)>;

    LogWriter(LogWriterOptions options, Sink sink);
    /// Waits for the writer, however long its sink takes.
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// Returns false where the line is left out. Never blocks.
    bool tryWrite(LogLine line);
    /// Ends the writer once all lines are written. Returns false where that took longer than
    /// `timeout`; the writer then goes on.
    bool stop(std::chrono::milliseconds timeout);
    /// Returns how many lines were left out since the start.
    std::uint64_t droppedLines() const { return m_droppedLines; }

private:
    void run();
    bool isWithinBudget(LogLevel level);
    void reportDroppedLines(bool isLast);

    LogWriterOptions m_options;
    Sink m_sink;
    BoundedRing<LogLine> m_ring;
    std::atomic<std::uint64_t> m_droppedLines{0};
    std::atomic<std::int64_t> m_budgetSecond{0};
    std::atomic<std::uint32_t> m_linesInSecond{0};
    std::uint64_t m_reportedDroppedLines = 0;
    Clock::time_point m_reportedAt{};
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isStopping = false;
    bool m_hasEnded = false;
    std::thread m_thread;
};

} // namespace mangoshift
