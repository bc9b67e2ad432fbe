#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "base/logwriter.h"

namespace mangoshift {

/// One `key=value` pair of a log line.
using LogField = std::pair<std::string_view, std::string>;

/// Sends log lines of at least `level` to standard output, from a thread of their own. Call once,
/// before any thread starts.
void startLogging(LogLevel level);

/// Writes the lines that wait, for a moment at most. Call once, before the process ends.
void stopLogging();

/// Writes the lines that wait, and ends the process at once. Destructors of static objects do not
/// run: those of the log library join threads of its own, which can outlast a graceful stop.
[[noreturn]] void endProcess(int status);

/// Returns how many lines were left out, for want of room or because they were too many.
std::uint64_t droppedLogLines();

/// Changes the least level that is logged. May be called from any thread.
void setLogLevel(LogLevel level);

/// Hands one line to the writer: `time=… level=… event=… key=value …`. Values with spaces or quotes
/// are quoted. Never blocks. May be called from any thread; before `startLogging` nothing is
/// written.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace mangoshift
