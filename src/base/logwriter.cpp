#include "base/logwriter.h"

#include <utility>

namespace mangoshift {

namespace {

/// How long lines are collected into one batch: a wake-up of the writer thread costs more CPU time
/// than writing a line.
constexpr std::chrono::milliseconds BatchDelay{50};
/// The minimum time between two reports of dropped lines.
constexpr std::chrono::seconds ReportInterval{1};

std::uint64_t sumOf(const LogLineCounts &counts)
{
    std::uint64_t sum = 0;
    for (const auto &[event, lines] : counts)
        sum += lines;
    return sum;
}

} // namespace

LogWriter::LogWriter(LogWriterOptions options, Sink sink)
    : m_sink(std::move(sink))
    , m_ring(options.capacity)
    , m_budget(options.limits)
    , m_thread([this] { run(); })
{
}

LogWriter::~LogWriter()
{
    stop(std::chrono::milliseconds(0));
    m_thread.join();
}

void LogWriter::setLimits(LogLimits limits)
{
    const std::lock_guard lock(m_budgetMutex);
    m_budget.setLimits(limits);
}

bool LogWriter::tryWrite(LogRecord line)
{
    const std::string event = line.event;
    {
        const std::lock_guard lock(m_budgetMutex);
        if (!m_budget.tryConsume(line.level, line.topic, line.text.size(), Clock::now())) {
            ++m_droppedLines[event];
            return false;
        }
    }
    const auto push = m_ring.tryPush(line);
    if (push == BoundedRing<LogRecord>::Push::Full) {
        const std::lock_guard lock(m_budgetMutex);
        ++m_droppedLines[event];
        return false;
    }
    if (push == BoundedRing<LogRecord>::Push::First) {
        // Notify under the mutex: otherwise the writer could miss the notification between checking
        // its condition and starting to wait.
        const std::lock_guard lock(m_mutex);
        m_wake.notify_one();
    }
    return true;
}

std::uint64_t LogWriter::droppedLines() const
{
    return sumOf(droppedLinesByEvent());
}

LogLineCounts LogWriter::droppedLinesByEvent() const
{
    const std::lock_guard lock(m_budgetMutex);
    return m_droppedLines;
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
    const Clock::time_point now = Clock::now();
    if (now - m_reportedAt < ReportInterval && !isLast)
        return;
    const LogLineCounts dropped = droppedLinesByEvent();
    const std::uint64_t total = sumOf(dropped);
    const std::uint64_t newLines = total - sumOf(m_reportedLines);
    if (newLines == 0)
        return;
    std::string counts;
    for (const auto &[event, lines] : dropped) {
        const std::uint64_t newOfEvent = lines - m_reportedLines[event];
        if (newOfEvent > 0 && !event.empty())
            counts += (counts.empty() ? "" : ",") + event + ":" + std::to_string(newOfEvent);
    }
    m_sink({LogLevel::Warning, std::chrono::system_clock::now(),
            "event=log_lines_left_out lines=" + std::to_string(newLines) + " since_start="
                + std::to_string(total) + (counts.empty() ? "" : " by_event=" + counts)});
    m_reportedLines = dropped;
    m_reportedAt = now;
}

} // namespace mangoshift
