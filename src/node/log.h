#pragma once

/// @file
/// Structured logging: a message and named fields, written through log4cplus as one JSON object per line.

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

/// Initialises the logging of this process.
/// @param level name of a log4cplus level
/// @param file log file; empty for standard output, where a line is dropped when writing it would block
/// @param node name of the node, written into each line
void beginLogging(const std::string &level, const std::string &file, const std::string &node);

/// Sets the average rate at which log lines about decisions on requests may be written.
void setDecisionLogRate(double linesPerSecond);

/// Takes a token of the rate limit for decision log lines; call writeLog() only if it returns true. Otherwise the line counts as dropped.
bool tryTakeDecisionLogToken();

/// Returns the number of lines that were dropped by the rate limit or because standard output would have blocked.
std::uint64_t droppedLogLines();

/// Writes one line; does nothing below the log level or before beginLogging().
void writeLog(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {});

} // namespace chicoryspar
