/// @file
/// Search for the knee of a backend server: the concurrency from which it slows down.

#include <algorithm>
#include <cmath>

#include "overload/limit.h"

namespace chicoryspar {
namespace {

/// Distance of the two limits under comparison, as a share of the limit.
constexpr double kStepShare = 0.07;
/// Fewest slots with which the search runs. With fewer, one slot is so large a share of the limit that
/// the comparisons cost more throughput than running above the knee.
constexpr double kMinSlots = 12;
/// Answers between switches of the two limits; answers at each limit before they are compared, and after which the comparison ends.
constexpr std::uint32_t kAnswersPerTurn = 100;
constexpr std::uint32_t kMinAnswersPerLimit = 300;
constexpr std::uint32_t kMaxAnswersPerLimit = 1000;
/// Windows between comparisons: after one that moved the limit; after the first that didn't, doubled by each further one up to a maximum.
constexpr std::uint32_t kMovedSpacingWindows = 2;
constexpr std::uint32_t kMinSpacingWindows = 32;
constexpr std::uint32_t kMaxSpacingWindows = 512;

double ceilingOf(const KneeSearch &knee, double highest)
{
    return knee.ceiling > 0 ? std::min(knee.ceiling, highest) : highest;
}

LimitStep makeStep(double limit, double highest)
{
    return {limit, limit < highest ? LimitReason::Queueing : LimitReason::Slots};
}

/// Begins to compare the current limit with a neighbouring one.
LimitStep beginComparison(LimitState &state, double top, double highest)
{
    auto &knee = state.knee;
    const auto size = std::ceil(top * kStepShare);
    knee.isUpward = knee.isNextUpward && top < highest;
    const auto lower = knee.isUpward ? top : top - size;
    if (lower < 1) {
        return makeStep(top, highest);
    }
    knee.upper = {.limit = knee.isUpward ? std::min(highest, top + size) : top};
    knee.lower = {.limit = lower};
    knee.isLowerActive = false;
    knee.turnAnswers = 0;
    state.answersToIgnore = static_cast<std::uint32_t>(top);
    return makeStep(knee.upper.limit, highest);
}

/// Ends a comparison and keeps one of its two limits.
LimitStep endComparison(KneeSearch &knee, bool isLowerKept, double highest)
{
    const auto kept = isLowerKept ? knee.lower.limit : knee.upper.limit;
    const bool hasMoved = isLowerKept != knee.isUpward;
    knee.ceiling = kept < highest ? kept : 0;
    knee.isNextUpward = isLowerKept ? knee.isUpward : true;
    // Tries the opposite direction next after a comparison that didn't move the limit.
    if (!hasMoved) {
        knee.isNextUpward = !knee.isUpward;
    }
    knee.spacingWindows = hasMoved ? 0 : std::clamp(knee.spacingWindows * 2, kMinSpacingWindows, kMaxSpacingWindows);
    knee.windowsUntilComparison = hasMoved ? kMovedSpacingWindows : knee.spacingWindows;
    knee.upper = {};
    knee.lower = {};
    return makeStep(kept, highest);
}

/// Decides between the two limits once there are enough answers; until then switches between them.
LimitStep evaluateComparison(LimitState &state, double limit, double highest)
{
    auto &knee = state.knee;
    const auto answers = std::min(knee.upper.answers, knee.lower.answers);
    if (answers >= kMinAnswersPerLimit) {
        if (const auto isHigher = isHigherLimitWorthwhile(knee.lower, knee.upper)) {
            return endComparison(knee, !*isHigher, highest);
        }
        if (answers >= kMaxAnswersPerLimit) {
            return endComparison(knee, knee.isUpward, highest);
        }
    }
    if (knee.turnAnswers >= kAnswersPerTurn) {
        knee.turnAnswers = 0;
        knee.isLowerActive = !knee.isLowerActive;
        state.answersToIgnore = static_cast<std::uint32_t>(limit);
    }
    return makeStep(knee.isLowerActive ? knee.lower.limit : knee.upper.limit, highest);
}

} // namespace

LimitStep stepKneeSearch(LimitState &state, const LimitWindow &window, double limit, double highest)
{
    auto &knee = state.knee;
    const auto top = ceilingOf(knee, highest);
    if (knee.upper.limit > highest) {
        // The backend server now announces fewer slots.
        knee = {};
    }
    if (knee.upper.limit == 0) {
        if (limit < top) {
            return growStep(limit, top);
        }
        if (knee.windowsUntilComparison > 0 || top < kMinSlots) {
            knee.windowsUntilComparison -= knee.windowsUntilComparison > 0 ? 1 : 0;
            return makeStep(top, highest);
        }
        return beginComparison(state, top, highest);
    }
    if (state.answersToIgnore > 0) {
        state.answersToIgnore -= std::min(state.answersToIgnore, window.answers);
        return makeStep(limit, highest);
    }
    (knee.isLowerActive ? knee.lower : knee.upper).add(window);
    knee.turnAnswers += window.answers;
    return evaluateComparison(state, limit, highest);
}

} // namespace chicoryspar
