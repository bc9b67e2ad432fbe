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

/// A log record that is queued for writing as one line.
struct LogRecord
{
    LogLevel level = LogLevel::Info;
    std::chrono::system_clock::time_point at;
    std::string text;
};

/// Limits on the volume of log output.
struct LogWriterOptions
{
    /// The maximum number of queued lines; further lines are dropped.
    std::size_t capacity = 4096;
    /// The maximum number of lines per second. Warnings and errors have twice this limit.
    std::uint32_t linesPerSecond = 200;
};

/// Writes log lines on a dedicated thread, so that no other thread blocks on a slow log reader.
///
/// Lines that exceed the rate limit or do not fit in the queue are dropped and counted. The writer
/// reports their number in a log line, at most once a second. `tryWrite` may be called from any
/// thread.
class LogWriter
{
public:
    /// Writes one line. Called on the writer thread only; may block.
    using Sink = std::function<void(const LogRecord &)>;

    LogWriter(LogWriterOptions options, Sink sink);
    /// Stops the writer thread and joins it, however long its sink blocks.
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /// Queues a line. Returns false if the line is dropped. Never blocks.
    bool tryWrite(LogRecord line);
    /// Stops the writer thread after all queued lines are written. Returns false if that takes
    /// longer than `timeout`; the writer thread then continues.
    bool stop(std::chrono::milliseconds timeout);
    /// Returns the number of lines dropped since the start.
    std::uint64_t droppedLines() const { return m_droppedLines; }

private:
    void run();
    bool tryConsumeBudget(LogLevel level);
    void reportDroppedLines(bool isLast);

    LogWriterOptions m_options;
    Sink m_sink;
    BoundedRing<LogRecord> m_ring;
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
