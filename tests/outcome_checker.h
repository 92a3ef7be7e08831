#pragma once

/// @file
/// History of keyed requests, and a checker that compares the executions with the outcomes that callers received.

#include <chicoryspar/outcome.h>

namespace chicoryspar::model {

/// Executions and reported outcomes of one key.
struct KeyHistory
{
    /// Answers of the executions, in the order in which they started.
    std::vector<std::string> executions;
    /// Answers that callers received.
    std::vector<std::string> answers;
    /// Executions that started after the deadline of their dispatch.
    std::size_t lateStarts = 0;
    /// Attempts that were reported as not run.
    std::size_t notRun = 0;
    /// Attempts that were reported as unknown.
    std::size_t unknown = 0;
};

using History = std::map<RequestId, KeyHistory>;

/// Numbers of keys in a history, by their final outcome.
struct HistoryCounts
{
    std::size_t keys = 0;
    std::size_t executed = 0;
    /// Keys for which a caller received an answer.
    std::size_t answered = 0;
    /// Keys without an answer that were reported as not run.
    std::size_t refused = 0;
    /// Keys for which callers received nothing but "unknown".
    std::size_t unknown = 0;

    HistoryCounts &operator+=(const HistoryCounts &other)
    {
        keys += other.keys;
        executed += other.executed;
        answered += other.answered;
        refused += other.refused;
        unknown += other.unknown;
        return *this;
    }
};

/// Returns one finding for each key that was executed more than once or late, and for each reported outcome that is wrong.
inline std::vector<Finding> checkHistory(const History &history)
{
    std::vector<Finding> findings;
    for (const auto &[key, it] : history) {
        const auto place = toString(key);
        if (it.executions.size() > 1) {
            findings.push_back({place, "executed " + std::to_string(it.executions.size()) + " times"});
        }
        if (it.notRun > 0 && !it.executions.empty()) {
            findings.push_back({place, "reported as not run, but executed"});
        }
        if (it.lateStarts > 0) {
            findings.push_back({place, "execution started after the deadline of its dispatch"});
        }
        for (const auto &answer : it.answers) {
            if (it.executions.empty() || it.executions.front() != answer) {
                findings.push_back({place, "caller received an answer other than that of the first execution: " + answer});
            }
        }
    }
    return findings;
}

inline HistoryCounts countHistory(const History &history)
{
    HistoryCounts counts;
    for (const auto &[key, it] : history) {
        ++counts.keys;
        counts.executed += it.executions.empty() ? 0 : 1;
        if (!it.answers.empty()) {
            ++counts.answered;
        } else if (it.notRun > 0) {
            ++counts.refused;
        } else {
            ++counts.unknown;
        }
    }
    return counts;
}

} // namespace chicoryspar::model
