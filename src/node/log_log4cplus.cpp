/// @file
/// Structured logging on log4cplus.

#include "node/log.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <climits>

#include <log4cplus/appender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace chicoryspar {
namespace {

/// Maximum number of tokens for decision lines, and so of lines in a burst.
constexpr double kMaxDecisionBurst = 200;

/// State of the log; `initializer` is null before beginLogging().
struct LogState
{
    std::unique_ptr<log4cplus::Initializer> initializer;
    std::string node;
    /// Token bucket of the rate limit for decision lines, and the time of its last refill.
    double tokens = kMaxDecisionBurst;
    std::chrono::steady_clock::time_point refilledAt;
    double decisionsPerSecond = 0;
    std::atomic<std::uint64_t> dropped = 0;
};

LogState g_log;

constexpr std::array<log4cplus::LogLevel, static_cast<std::size_t>(LogLevel::Count)> kLog4cplusLevels{
    log4cplus::DEBUG_LOG_LEVEL,
    log4cplus::INFO_LOG_LEVEL,
    log4cplus::WARN_LOG_LEVEL,
    log4cplus::ERROR_LOG_LEVEL,
};

constexpr std::array<std::string_view, static_cast<std::size_t>(LogLevel::Count)> kLevelNames{"debug", "info", "warning", "error"};

/// Writes lines to standard output; a line that would block is dropped and counted.
class NonBlockingStdoutAppender : public log4cplus::Appender
{
public:
    ~NonBlockingStdoutAppender() override
    {
        destructorImpl();
    }

    void close() override
    {
        closed = true;
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        const auto &line = formatEvent(event);
        pollfd target{STDOUT_FILENO, POLLOUT, 0};
        // A pipe that is ready for writing accepts up to PIPE_BUF bytes without blocking.
        const bool fits = line.size() <= PIPE_BUF && poll(&target, 1, 0) == 1 && (target.revents & POLLOUT) != 0;
        if (!fits || write(STDOUT_FILENO, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
            ++g_log.dropped;
        }
    }
};

log4cplus::SharedAppenderPtr makeAppender(const std::string &file)
{
    if (file.empty()) {
        return log4cplus::SharedAppenderPtr(new NonBlockingStdoutAppender);
    }
    return log4cplus::SharedAppenderPtr(new log4cplus::FileAppender(file, std::ios_base::app, true));
}

} // namespace

void beginLogging(const std::string &level, const std::string &file, const std::string &node)
{
    g_log.initializer = std::make_unique<log4cplus::Initializer>();
    g_log.node = node;
    auto appender = makeAppender(file);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("{\"time\":\"%d{%Y-%m-%dT%H:%M:%S.%qZ}\",%m}%n"));
    auto root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    root.setLogLevel(log4cplus::getLogLevelManager().fromString(level));
}

void setDecisionLogRate(double linesPerSecond)
{
    g_log.decisionsPerSecond = linesPerSecond;
}

std::uint64_t droppedLogLines()
{
    return g_log.dropped;
}

bool tryTakeDecisionLogToken()
{
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> elapsed = now - g_log.refilledAt;
    g_log.refilledAt = now;
    g_log.tokens = std::min(kMaxDecisionBurst, g_log.tokens + elapsed.count() * g_log.decisionsPerSecond);
    if (g_log.tokens < 1) {
        ++g_log.dropped;
        return false;
    }
    g_log.tokens -= 1;
    return true;
}

void writeLog(LogLevel level, std::string_view message, std::initializer_list<LogField> fields)
{
    const auto n = static_cast<std::size_t>(level);
    auto root = log4cplus::Logger::getRoot();
    if (!g_log.initializer || !root.isEnabledFor(kLog4cplusLevels.at(n))) {
        return;
    }
    nlohmann::ordered_json line{{"level", kLevelNames.at(n)}, {"node", g_log.node}, {"message", message}};
    for (const auto &it : fields) {
        line[std::string(it.name)] = it.value;
    }
    const auto text = line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    root.log(kLog4cplusLevels.at(n), text.substr(1, text.size() - 2));
}

} // namespace chicoryspar
