#pragma once

/// @file
/// Structured log lines: a message and named fields, written by log4cplus as one JSON object a line.

#include <chicoryspar/core.h>

namespace chicoryspar {

enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
    Count,
};

/// One named value of a log line.
struct LogField
{
    std::string_view name;
    std::string value;
};

/// Sets level and target of all log lines of this process.
/// @param level one of log4cplus's level names
/// @param file log file; empty for the standard output, which never blocks: a line that doesn't fit is dropped
/// @param node name written into each line
void beginLogging(const std::string &level, const std::string &file, const std::string &node);

/// Sets how many decision lines may be written a second, on average.
void setDecisionLogRate(double linesPerSecond);

/// Takes the place of one line about a decision on a request; call writeLog() only when it returns true.
bool tryTakeDecisionLogToken();

/// Returns the number of lines that were dropped.
std::uint64_t droppedLogLines();

/// Writes one line.
void writeLog(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {});

} // namespace chicoryspar
