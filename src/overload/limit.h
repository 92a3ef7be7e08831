#pragma once

/// @file
/// Adaptive concurrency limit of a gate.

#include <chicoryspar/overload.h>

namespace chicoryspar {

/// What one measuring window showed.
struct LimitWindow
{
    Duration length{0};
    std::uint32_t answers = 0;
    std::uint32_t sheds = 0;
    std::uint32_t failures = 0;
    Duration totalLatency{0};
    double squaredSeconds = 0;
    std::uint32_t peakInFlight = 0;

    Duration meanLatency() const;
};

/// Latencies seen at one limit.
struct LimitStats
{
    double limit = 0;
    std::uint32_t answers = 0;
    double seconds = 0;
    double squaredSeconds = 0;

    void add(const LimitWindow &window);
    double meanSeconds() const;
    /// Squared relative error of the mean.
    double relativeVariance() const;
};

/// Tells whether the higher of two limits gives enough more answers for its latency; nothing while that isn't clear.
std::optional<bool> isHigherLimitWorthwhile(const LimitStats &first, const LimitStats &second);

struct LimitStep
{
    double limit = 0;
    LimitReason reason = LimitReason::Unknown;
};

/// Search for the limit past which a saturated backend server slows down by more than the place is worth. Two neighbouring limits
/// take turns, so that a drift of the latency meets both.
struct KneeSearch
{
    /// Highest limit that is worth its latency; 0 for all places.
    double ceiling = 0;
    /// The limits compared; none while the upper one is 0.
    LimitStats upper;
    LimitStats lower;
    bool isLowerActive = false;
    bool isUpward = false;
    /// The next comparison is with a higher limit.
    bool isNextUpward = false;
    /// Answers since the limits last took turns.
    std::uint32_t turnAnswers = 0;
    /// Windows until the next comparison, and between the last two.
    std::uint32_t windowsUntilComparison = 0;
    std::uint32_t spacingWindows = 0;
};

/// What algorithms remember between windows.
struct LimitState
{
    /// Latencies since the base was last compared.
    LimitStats sample;
    /// The limit was reached in the sample.
    bool isSampleSaturated = false;
    /// Latency without queueing: falls quickly to lower samples and rises slowly to higher ones below the limit.
    double baseLatencySeconds = 0;
    /// The last sample was clearly over the base.
    bool isQueueing = false;
    /// The limit that holds, and the one under trial; no trial runs while its limit is 0.
    LimitStats current;
    LimitStats trial;
    bool isNextTrialLower = true;
    /// Answers still to come from calls that ran when the limit changed.
    std::uint32_t answersToIgnore = 0;
    /// Windows until the next trial, and between the last two.
    std::uint32_t windowsUntilTrial = 0;
    std::uint32_t trialSpacingWindows = 0;
    KneeSearch knee;
};

/// Compares the latency of a window with the base.
void observeWindow(LimitState &state, const LimitWindow &window, bool wasReached);

/// Takes one window in which the limit was reached into the search.
LimitStep stepKneeSearch(LimitState &state, const LimitWindow &window, double limit, double highest);

/// Moves a limit towards @a highest.
LimitStep growStep(double limit, double highest);

/// Computes the next limit from one window in which the limit was reached.
using LimitFunction = LimitStep (*)(LimitState &state, const LimitWindow &window, double limit, double highest);

/// Returns the function of @a algorithm.
LimitFunction functionOf(LimitAlgorithm algorithm);

/// Requests that a backend server shed since it began to, and whether fewer calls at once would help.
class ShedWatch
{
public:
    /// Takes a window in at the limit that held in it.
    void add(const LimitWindow &window, double limit);

    /// Half the limit gave clearly fewer answers, so that the number of calls isn't the cause.
    bool isIndependentOfLimit() const;

    /// Limit at which the shedding began; 0 while nothing is shed.
    double startLimit() const;

    /// Lowest limit before it is known whether lowering it helps.
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
    /// Limit from which the present comparison starts; lower than the first once lowering it has cost nothing.
    double m_comparedLimit = 0;
    /// Near that limit, and at half of it.
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
    /// @param inFlight calls that still run
    void onEnd(TimePoint now, Duration latency, GateResult result, std::uint32_t inFlight);

    std::uint32_t limit(TimePoint now) const;
    LimitReason reason(TimePoint now) const;

    /// Usual time from dispatch to answer, lowered while no call ends.
    Duration serviceTime(TimePoint now) const;

    /// Answers per second at the limit; 0 while unknown.
    double capacity(TimePoint now) const;

private:
    double highest() const;
    double rampShare(TimePoint now) const;
    void closeWindow(TimePoint now, std::uint32_t inFlight);

    GateOptions m_options;
    LimitState m_state;
    LimitWindow m_window;
    ShedWatch m_sheds;
    TimePoint m_windowStart;
    TimePoint m_startedAt;
    TimePoint m_sampledAt;
    double m_limit;
    double m_serviceMicros = 0;
    double m_recentServiceMicros = 0;
    LimitReason m_reason = LimitReason::Slots;
};

} // namespace chicoryspar
