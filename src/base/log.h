#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "base/logwriter.h"

namespace mangoshift {

/// One `key=value` pair of a log line.
using LogField = std::pair<std::string_view, std::string>;

/// Starts a writer thread that prints log lines of `level` and above to standard output, within
/// `limits`. Must be called once, before any other thread starts.
void startLogging(LogLevel level, LogLimits limits = {});

/// Writes the queued log lines; gives up after 300 ms. Must be called once, before the process
/// ends.
void stopLogging();

/// Writes the queued log lines like `stopLogging` and ends the process without running the
/// destructors of static objects: those of the logging library join its threads, which can exceed
/// the maximum duration of a graceful stop.
[[noreturn]] void endProcess(int status);

/// Returns the number of log lines dropped since the start, because the queue was full or a limit
/// was exceeded, and how many of each event.
std::uint64_t droppedLogLines();
LogLineCounts droppedLogLinesByEvent();

/// Sets the minimum level that is logged, and the limits. May be called from any thread.
void setLogOptions(LogLevel level, LogLimits limits);

/// Queues one log line of the form `time=… level=… event=… key=value …`. Empty values and
/// values with whitespace, quotes or `=` are quoted. A line with a field `request` is about that
/// request. Never waits for the reader of the log. May be called from any thread; calls before
/// `startLogging` have no effect.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace mangoshift
