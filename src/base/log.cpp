#include "base/log.h"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <utility>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

namespace mangoshift {

namespace {

log4cplus::LogLevel toLog4cplus(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

/// The logging state of the process. It is never destroyed, so that a writer thread that is blocked
/// by a stalled log reader does not delay the end of the process.
struct Logging
{
    log4cplus::Initializer initializer;
    log4cplus::Logger logger = log4cplus::Logger::getInstance("mangoshift");
    std::unique_ptr<LogWriter> writer;
};

std::atomic<Logging *> logging{nullptr};
std::atomic<LogLevel> minimumLevel{LogLevel::Info};
/// How long `stopLogging` waits for queued lines to be written.
constexpr std::chrono::milliseconds StopTimeout{300};

void writeLine(const log4cplus::Logger &logger, const LogRecord &line)
{
    const log4cplus::spi::InternalLoggingEvent event(
        logger.getName(), toLog4cplus(line.level), {}, {}, line.text, {}, {},
        std::chrono::time_point_cast<log4cplus::helpers::Time::duration>(line.at), {}, 0);
    logger.callAppenders(event);
}

bool needsQuotes(const std::string &value)
{
    return value.empty() || value.find_first_of(" \"=\n\t\r") != std::string::npos;
}

void appendValue(std::string &line, const std::string &value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line += '\\';
        line += c == '\n' || c == '\r' ? ' ' : c;
    }
    line += '"';
}

} // namespace

void startLogging(LogLevel level, LogLimits limits)
{
    // Never deleted: the writer thread may still be blocked when the process ends.
    auto *started = new Logging;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(false, true));
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>("time=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n"));
    started->logger.addAppender(appender);
    started->logger.setLogLevel(log4cplus::ALL_LOG_LEVEL);
    started->writer = std::make_unique<LogWriter>(
        LogWriterOptions{.limits = limits},
        [logger = started->logger](const LogRecord &line) { writeLine(logger, line); });
    minimumLevel = level;
    logging = started;
}

void stopLogging()
{
    if (const Logging *started = logging)
        started->writer->stop(StopTimeout);
}

void endProcess(int status)
{
    stopLogging();
    std::cout.flush();
    std::_Exit(status);
}

std::uint64_t droppedLogLines()
{
    const Logging *started = logging;
    return started == nullptr ? 0 : started->writer->droppedLines();
}

LogLineCounts droppedLogLinesByEvent()
{
    const Logging *started = logging;
    return started == nullptr ? LogLineCounts() : started->writer->droppedLinesByEvent();
}

void setLogOptions(LogLevel level, LogLimits limits)
{
    minimumLevel = level;
    if (const Logging *started = logging)
        started->writer->setLimits(limits);
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const Logging *started = logging;
    if (started == nullptr || level < minimumLevel)
        return;
    std::string line = "event=" + std::string(event);
    bool namesRequest = false;
    for (const auto &[key, value] : fields) {
        namesRequest = namesRequest || key == "request";
        line += ' ';
        line += key;
        line += '=';
        appendValue(line, value);
    }
    started->writer->tryWrite({level, std::chrono::system_clock::now(), std::move(line),
                               std::string(event), topicOf(event, namesRequest)});
}

} // namespace mangoshift
