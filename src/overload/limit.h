#pragma once

/// @file
/// Adaptive concurrency limit of a gate.

#include <chicoryspar/overload.h>

namespace chicoryspar {

/// Measurements of one window.
struct LimitWindow
{
    Duration length{0};
    std::uint32_t answers = 0;
    std::uint32_t sheds = 0;
    std::uint32_t failures = 0;
    Duration totalLatency{0};
    /// Sum of the squared latencies, in square seconds.
    double squaredSeconds = 0;
    std::uint32_t peakInFlight = 0;

    Duration meanLatency() const;
};

/// Latency statistics at one limit.
struct LimitStats
{
    double limit = 0;
    std::uint32_t answers = 0;
    /// Sums of the latencies and of their squares.
    double seconds = 0;
    double squaredSeconds = 0;

    void add(const LimitWindow &window);
    double meanSeconds() const;
    /// Returns the squared relative standard error of the mean.
    double relativeVariance() const;
};

/// Returns whether the higher of two limits gains enough throughput for the latency that it adds; nothing while the difference isn't
/// significant.
std::optional<bool> isHigherLimitWorthwhile(const LimitStats &first, const LimitStats &second);

struct LimitStep
{
    double limit = 0;
    LimitReason reason = LimitReason::Unknown;
};

/// Search for the knee: the limit above which a saturated backend server slows down by more than the additional slots gain. Two
/// neighbouring limits are applied in turns, so that a drift of the latency affects both alike.
struct KneeSearch
{
    /// Highest limit that is worth its latency; 0 for all slots.
    double ceiling = 0;
    /// The two limits under comparison; none runs while the upper limit is 0.
    LimitStats upper;
    LimitStats lower;
    bool isLowerActive = false;
    /// The comparison is with a higher limit.
    bool isUpward = false;
    /// The next comparison is with a higher limit.
    bool isNextUpward = false;
    /// Answers since the last switch between the two limits.
    std::uint32_t turnAnswers = 0;
    /// Windows until the next comparison, and between the last two comparisons.
    std::uint32_t windowsUntilComparison = 0;
    std::uint32_t spacingWindows = 0;
};

/// State that the algorithms keep between windows.
struct LimitState
{
    /// Latencies since the last comparison with the base latency.
    LimitStats sample;
    /// The limit was reached during the sample.
    bool isSampleSaturated = false;
    /// Estimated latency without queueing: falls quickly to lower samples and rises slowly to higher samples taken below the limit.
    double baseLatencySeconds = 0;
    /// The last sample was clearly above the base latency.
    bool isQueueing = false;
    /// The limit in force, and the one under trial; no trial runs while the trial limit is 0.
    LimitStats current;
    LimitStats trial;
    bool isNextTrialLower = true;
    /// Answers to leave out of the statistics because their calls were dispatched before the limit changed.
    std::uint32_t answersToIgnore = 0;
    /// Windows until the next trial, and between the last two trials.
    std::uint32_t windowsUntilTrial = 0;
    std::uint32_t trialSpacingWindows = 0;
    KneeSearch knee;
};

/// Updates the base latency and the queueing state from one window.
/// @param wasReached whether the limit was reached in the window, so that its latency may include queueing
void observeWindow(LimitState &state, const LimitWindow &window, bool wasReached);

/// Advances the search by one window in which the limit was reached.
LimitStep stepKneeSearch(LimitState &state, const LimitWindow &window, double limit, double highest);

/// Raises a limit by one step towards @a highest.
LimitStep growStep(double limit, double highest);

/// Computes the next limit from one window in which the limit was reached.
using LimitFunction = LimitStep (*)(LimitState &state, const LimitWindow &window, double limit, double highest);

/// Returns the function that implements @a algorithm.
LimitFunction functionOf(LimitAlgorithm algorithm);

/// Tracks an episode of requests shed by a backend server, and whether a lower limit helps.
class ShedWatch
{
public:
    /// Adds a window.
    /// @param limit limit in force during the window
    void add(const LimitWindow &window, double limit);

    /// Returns whether concurrency isn't the cause of the sheds: half the limit gave clearly fewer answers.
    bool isIndependentOfLimit() const;

    /// Returns the limit at which the shedding began; 0 while nothing is shed.
    double startLimit() const;

    /// Returns the lower bound of the limit until it is known whether a lower limit helps.
    double lowestLimit() const;

private:
    struct Counts
    {
        std::uint32_t answers = 0;
        std::uint32_t completions = 0;
        Duration length{0};

        double answersPerSecond() const;
    };

    void compareThroughput(double limit);

    double m_startLimit = 0;
    /// Limit from which the current comparison starts: the start limit at first, then each lower limit that cost no answers.
    double m_comparedLimit = 0;
    /// Counts near that limit, and at half of it.
    Counts m_atStart;
    Counts m_atHalf;
    std::uint32_t m_windowsWithoutShed = 0;
    bool m_isIndependentOfLimit = false;
};

/// Concurrency limit of one backend server.
class LimitControl
{
public:
    LimitControl(TimePoint now, const GateOptions &options);

    void configure(const GateOptions &options);
    void restart(TimePoint now);
    void onStart(std::uint32_t inFlight);
    /// @param latency time from dispatch to the end of the call
    /// @param inFlight calls that still run
    void onEnd(TimePoint now, Duration latency, GateResult result, std::uint32_t inFlight);

    std::uint32_t limit(TimePoint now) const;
    LimitReason reason(TimePoint now) const;

    /// Returns the averaged time from dispatch to answer, which decays while no answer arrives.
    Duration serviceTime(TimePoint now) const;

    /// Returns the answers per second at the limit; 0 while unknown.
    double capacity(TimePoint now) const;

private:
    /// Returns the upper bound of the limit.
    double highest() const;
    /// Returns the share of highest() that the cold-start ramp allows.
    double rampShare(TimePoint now) const;
    void closeWindow(TimePoint now, std::uint32_t inFlight);

    GateOptions m_options;
    LimitState m_state;
    LimitWindow m_window;
    ShedWatch m_sheds;
    TimePoint m_windowStart;
    TimePoint m_startedAt;
    /// Time of the last answer.
    TimePoint m_sampledAt;
    double m_limit;
    double m_serviceMicros = 0;
    double m_recentServiceMicros = 0;
    LimitReason m_reason = LimitReason::Slots;
};

} // namespace chicoryspar
