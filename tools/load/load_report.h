#pragma once

/// @file
/// Collects the results of load requests and reports goodput by class, refusals, latencies and recovery time.

#include "chicoryspar/caller.h"

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chicoryspar::load {

/// Result of checking that an answer is complete and belongs to its request.
enum class AnswerCheck : std::uint8_t {
    /// No answer was received.
    None,
    Whole,
    /// Truncated, or not a body that a stand-in backend server sends.
    Damaged,
    /// Complete, but belongs to another request.
    Foreign,
    /// The status isn't 200: the backend server reported a failure.
    Failed,
    Count,
};

std::string_view nameOf(AnswerCheck value);

/// Checks the answer of a stand-in backend server against the request that was sent.
AnswerCheck checkAnswer(const CallerRequest &request, const CallerResult &result);

/// Final result of one request.
struct RequestResult
{
    RequestClass requestClass = RequestClass::Lookup;
    /// Time from the start of the run to the arrival.
    Duration arrival{0};
    Duration latency{0};
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    AnswerCheck check = AnswerCheck::None;
    unsigned attempts = 0;

    bool isGood() const
    {
        return outcome == Outcome::Answer && check == AnswerCheck::Whole;
    }
};

/// Options of a report.
struct ReportInit
{
    /// Duration of the run.
    Duration duration{0};
    /// Start and end of the cause of overload, from the start of the run; equal when there is none.
    Duration causeBegin{0};
    Duration causeEnd{0};
};

/// Counts and latencies of one request class.
struct ClassSummary
{
    std::uint64_t requests = 0;
    std::uint64_t good = 0;
    std::uint64_t attempts = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(Outcome::Count)> byOutcome{};
    std::array<std::uint64_t, static_cast<std::size_t>(AnswerCheck::Count)> byCheck{};
    std::map<std::string_view, std::uint64_t> refusals;
    std::map<std::string_view, std::uint64_t> unknowns;
    /// Latency quantiles of good requests, in milliseconds.
    double p50 = 0;
    double p90 = 0;
    double p99 = 0;
    double max = 0;
};

/// Recovery of goodput after the cause of overload.
struct Recovery
{
    /// Fraction of good requests before the cause.
    double shareBefore = 0;
    /// Lowest fraction of good requests in one interval since the start of the cause.
    double shareLowest = 0;
    /// Time from the end of the cause until goodput recovered for the rest of the run; none when it didn't.
    std::optional<Duration> time;
};

/// Aggregates the results of requests. Not thread-safe.
class Report
{
public:
    explicit Report(const ReportInit &init);
    ~Report();

    void add(const RequestResult &end);
    /// Counts an arrival that wasn't sent because too many requests were outstanding.
    void countUnsent();

    ClassSummary summarize(RequestClass value) const;
    /// Returns the recovery over all classes together; none when no cause of overload was configured.
    std::optional<Recovery> findRecovery() const;
    std::string toText() const;
    std::string toJson() const;
    /// Returns the number of answers that were damaged or foreign.
    std::uint64_t violations() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace chicoryspar::load
