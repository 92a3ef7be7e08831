/// @file
/// Search for the knee of a backend server: the number of calls from which it slows down.

#include <algorithm>
#include <cmath>

#include "overload/limit.h"

namespace chicoryspar {
namespace {

/// Share of the limit between the two that are compared.
constexpr double kStep = 0.07;
/// Fewest places at which the search runs: below, one place is so large a part that the comparisons cost more than a knee.
constexpr double kMinPlaces = 12;
/// Answers before the limits take turns, and at each of them before they are compared and at the latest.
constexpr std::uint32_t kTurnAnswers = 100;
constexpr std::uint32_t kMinAnswers = 300;
constexpr std::uint32_t kMaxAnswers = 1000;
/// Windows between comparisons: after one that moved the limit, and after one that didn't.
constexpr std::uint32_t kMovedSpacing = 2;
constexpr std::uint32_t kMinSpacing = 32;
constexpr std::uint32_t kMaxSpacing = 512;

double topOf(const KneeSearch &knee, double highest)
{
    return knee.ceiling > 0 ? std::min(knee.ceiling, highest) : highest;
}

LimitStep stepTo(double limit, double highest)
{
    return {limit, limit < highest ? LimitReason::Queueing : LimitReason::Slots};
}

/// Begins to compare the present limit with a neighbour.
LimitStep begin(LimitMemory &memory, double top, double highest)
{
    auto &knee = memory.knee;
    const auto size = std::ceil(top * kStep);
    knee.isUpward = knee.isNextUpward && top < highest;
    const auto lower = knee.isUpward ? top : top - size;
    if (lower < 1) {
        return stepTo(top, highest);
    }
    knee.upper = {.limit = knee.isUpward ? std::min(highest, top + size) : top};
    knee.lower = {.limit = lower};
    knee.isOnLower = false;
    knee.turnAnswers = 0;
    memory.ignoredAnswers = static_cast<std::uint32_t>(top);
    return stepTo(knee.upper.limit, highest);
}

LimitStep end(KneeSearch &knee, bool isLowerKept, double highest)
{
    const auto kept = isLowerKept ? knee.lower.limit : knee.upper.limit;
    const bool isMoved = isLowerKept != knee.isUpward;
    knee.ceiling = kept < highest ? kept : 0;
    knee.isNextUpward = isLowerKept ? knee.isUpward : true;
    // The other direction is next after a comparison that moved nothing.
    if (!isMoved) {
        knee.isNextUpward = !knee.isUpward;
    }
    knee.spacing = isMoved ? 0 : std::clamp(knee.spacing * 2, kMinSpacing, kMaxSpacing);
    knee.wait = isMoved ? kMovedSpacing : knee.spacing;
    knee.upper = {};
    knee.lower = {};
    return stepTo(kept, highest);
}

/// Decides between the two limits, or lets them take turns.
LimitStep judge(LimitMemory &memory, double limit, double highest)
{
    auto &knee = memory.knee;
    const auto answers = std::min(knee.upper.answers, knee.lower.answers);
    if (answers >= kMinAnswers) {
        if (const auto isHigher = isHigherWorthIt(knee.lower, knee.upper)) {
            return end(knee, !*isHigher, highest);
        }
        if (answers >= kMaxAnswers) {
            return end(knee, knee.isUpward, highest);
        }
    }
    if (knee.turnAnswers >= kTurnAnswers) {
        knee.turnAnswers = 0;
        knee.isOnLower = !knee.isOnLower;
        memory.ignoredAnswers = static_cast<std::uint32_t>(limit);
    }
    return stepTo(knee.isOnLower ? knee.lower.limit : knee.upper.limit, highest);
}

} // namespace

LimitStep stepKnee(LimitMemory &memory, const LimitWindow &window, double limit, double highest)
{
    auto &knee = memory.knee;
    const auto top = topOf(knee, highest);
    if (knee.upper.limit > highest) {
        // The announced places have become fewer.
        knee = {};
    }
    if (knee.upper.limit == 0) {
        if (limit < top) {
            return growStep(limit, top);
        }
        if (knee.wait > 0 || top < kMinPlaces) {
            knee.wait -= knee.wait > 0 ? 1 : 0;
            return stepTo(top, highest);
        }
        return begin(memory, top, highest);
    }
    if (memory.ignoredAnswers > 0) {
        memory.ignoredAnswers -= std::min(memory.ignoredAnswers, window.answers);
        return stepTo(limit, highest);
    }
    (knee.isOnLower ? knee.lower : knee.upper).add(window);
    knee.turnAnswers += window.answers;
    return judge(memory, limit, highest);
}

} // namespace chicoryspar
