#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "base/boundedring.h"
#include "base/logbudget.h"
#include "mangoshift/clock.h"

namespace mangoshift {

/// A log record that is queued for writing as one line.
struct LogRecord
{
    LogLevel level = LogLevel::Info;
    std::chrono::system_clock::time_point at;
    std::string text;
    /// The name of the event, by which dropped lines are counted.
    std::string event = {};
    LogTopic topic = LogTopic::Vm;
};

struct LogWriterOptions
{
    /// The maximum number of queued lines; further lines are dropped.
    std::size_t capacity = 4096;
    LogLimits limits = {};
};

/// Numbers of log lines by event.
using LogLineCounts = std::map<std::string, std::uint64_t>;

/// Writes log lines on a dedicated thread, so that no other thread blocks on a slow log reader.
///
/// Lines that exceed the limits or do not fit in the queue are dropped and counted. The writer
/// reports their numbers in a log line, at most once a second. `tryWrite` and `setLimits` may be
/// called from any thread.
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

    void setLimits(LogLimits limits);
    /// Queues a line. Returns false if the line is dropped. Never blocks.
    bool tryWrite(LogRecord line);
    /// Stops the writer thread after all queued lines are written. Returns false if that takes
    /// longer than `timeout`; the writer thread then continues.
    bool stop(std::chrono::milliseconds timeout);
    /// Returns the number of lines dropped since the start.
    std::uint64_t droppedLines() const;
    LogLineCounts droppedLinesByEvent() const;

private:
    void run();
    void reportDroppedLines(bool isLast);

    Sink m_sink;
    BoundedRing<LogRecord> m_ring;
    /// Guards the budget and the counts of dropped lines.
    mutable std::mutex m_budgetMutex;
    LogBudget m_budget;
    LogLineCounts m_droppedLines;
    /// What was last reported. Used by the writer thread only.
    LogLineCounts m_reportedLines;
    Clock::time_point m_reportedAt{};
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isStopping = false;
    bool m_hasEnded = false;
    std::thread m_thread;
};

} // namespace mangoshift
