#include "base/logwriter.h"

#include <utility>

namespace mangoshift {

namespace {

/// How long lines are collected into one batch: a wake-up of the writer thread costs more CPU time
/// than writing a line.
constexpr std::chrono::milliseconds BatchDelay{50};
/// The minimum time between two reports of dropped lines.
constexpr std::chrono::seconds ReportInterval{1};

} // namespace

LogWriter::LogWriter(LogWriterOptions options, Sink sink)
    : m_options(options)
    , m_sink(std::move(sink))
    , m_ring(options.capacity)
    , m_thread([this] { run(); })
{
}

LogWriter::~LogWriter()
{
    stop(std::chrono::milliseconds(0));
    m_thread.join();
}

bool LogWriter::tryConsumeBudget(LogLevel level)
{
    const std::int64_t second = Clock::now().time_since_epoch() / std::chrono::seconds(1);
    if (m_budgetSecond.exchange(second) != second)
        m_linesInSecond = 0;
    const std::uint32_t maxLines =
        level >= LogLevel::Warning ? 2 * m_options.linesPerSecond : m_options.linesPerSecond;
    // Dropped lines do not count, so that they do not use up the budget of warnings and errors.
    if (m_linesInSecond >= maxLines)
        return false;
    ++m_linesInSecond;
    return true;
}

bool LogWriter::tryWrite(LogRecord line)
{
    if (tryConsumeBudget(line.level)) {
        const auto push = m_ring.tryPush(line);
        if (push == BoundedRing<LogRecord>::Push::First) {
            // Notify under the mutex: otherwise the writer could miss the notification between
            // checking its condition and starting to wait.
            const std::lock_guard lock(m_mutex);
            m_wake.notify_one();
        }
        if (push != BoundedRing<LogRecord>::Push::Full)
            return true;
    }
    ++m_droppedLines;
    return false;
}

bool LogWriter::stop(std::chrono::milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    m_isStopping = true;
    m_wake.notify_all();
    return m_wake.wait_for(lock, timeout, [this] { return m_hasEnded; });
}

void LogWriter::run()
{
    bool isStopping = false;
    while (!isStopping) {
        {
            std::unique_lock lock(m_mutex);
            m_wake.wait(lock, [this] { return m_isStopping || m_ring.size() > 0; });
            m_wake.wait_for(lock, BatchDelay, [this] { return m_isStopping; });
            isStopping = m_isStopping;
        }
        for (const LogRecord &line : m_ring.drain())
            m_sink(line);
        reportDroppedLines(isStopping);
    }
    const std::lock_guard lock(m_mutex);
    m_hasEnded = true;
    m_wake.notify_all();
}

void LogWriter::reportDroppedLines(bool isLast)
{
    const std::uint64_t droppedLines = m_droppedLines;
    const Clock::time_point now = Clock::now();
    if (droppedLines == m_reportedDroppedLines || (now - m_reportedAt < ReportInterval && !isLast))
        return;
    m_sink(
        {LogLevel::Warning, std::chrono::system_clock::now(),
         "event=log_lines_left_out lines=" + std::to_string(droppedLines - m_reportedDroppedLines)
             + " since_start=" + std::to_string(droppedLines)});
    m_reportedDroppedLines = droppedLines;
    m_reportedAt = now;
}

} // namespace mangoshift
