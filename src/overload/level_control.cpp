/// @file
/// Admission level from measured rates and the backlog of the gate.

#include "overload/level_control.h"

#include <algorithm>
#include <cmath>

#include "overload/rank_layout.h"

namespace chicoryspar {
namespace {

/// Time constant of the averaged rates.
constexpr double kRateAveragingSeconds = 0.3;
/// Time over which the backlog returns to its target, in general and when waiting orders alone exceed the target.
constexpr double kBacklogRecoverySeconds = 2.5;
constexpr double kOrderBacklogRecoverySeconds = 1.0;
/// The rate of a group is updated only if at least this share of its calls is at or above the cutoff.
constexpr double kMinCountedShare = 0.02;
/// Factor by which the admitted rate is raised in each period with free slots, and the bound of the accumulated factor.
constexpr double kCorrectionStep = 1.03;
constexpr double kMaxCorrection = 8;
/// Periods without a call after which a group is dropped.
constexpr std::uint32_t kMaxIdlePeriods = 600;

/// Returns the share of the calls of a group that are at or above the cutoff.
double countedShare(std::uint32_t key, Level cutoff)
{
    const auto first = static_cast<std::uint64_t>(key) << kHashBits;
    if (cutoff.value <= first) {
        return 1;
    }
    const auto uncounted = std::min<std::uint64_t>(cutoff.value - first, kHashSpan);
    return 1 - static_cast<double>(uncounted) / kHashSpan;
}

} // namespace

LevelControl::LevelControl(TimePoint now)
    : m_updatedAt(now)
{
}

LevelControl::Group &LevelControl::groupOf(Rank rank)
{
    const auto key = rank.value >> kHashBits;
    const auto last = m_groups.begin() + static_cast<std::ptrdiff_t>(m_groupCount);
    const auto it = std::find_if(m_groups.begin(), last, [key](const Group &group) { return group.key <= key; });
    if (it != last && it->key == key) {
        return *it;
    }
    if (m_groupCount >= m_groupLimit) {
        return it == last ? m_groups.back() : *it;
    }
    std::move_backward(it, last, last + 1);
    *it = {.key = key};
    ++m_groupCount;
    return *it;
}

void LevelControl::onOffer(Rank rank)
{
    auto &group = groupOf(rank);
    group.idlePeriods = 0;
    if (m_cutoff.admits(rank)) {
        ++group.countedCalls;
    }
}

void LevelControl::updateRates(double seconds)
{
    const auto weight = 1 - std::exp(-seconds / kRateAveragingSeconds);
    for (std::size_t n = 0; n < m_groupCount; ++n) {
        auto &group = m_groups[n];
        const auto share = countedShare(group.key, m_cutoff);
        if (share >= kMinCountedShare) {
            const auto sample = group.countedCalls / (seconds * share);
            group.ratePerSecond += (sample - group.ratePerSecond) * weight * std::min(1.0, share * 4);
        }
        group.countedCalls = 0;
        ++group.idlePeriods;
    }
    const auto last = m_groups.begin() + static_cast<std::ptrdiff_t>(m_groupCount);
    const auto kept = std::remove_if(m_groups.begin(), last, [](const Group &group) { return group.idlePeriods > kMaxIdlePeriods; });
    m_groupCount = static_cast<std::size_t>(kept - m_groups.begin());
}

double LevelControl::offeredRate() const
{
    double sum = 0;
    for (std::size_t n = 0; n < m_groupCount; ++n) {
        sum += m_groups[n].ratePerSecond;
    }
    return sum;
}

Level LevelControl::levelFor(double admittedRate) const
{
    double higherRanksRate = 0;
    for (std::size_t n = 0; n < m_groupCount; ++n) {
        const auto &group = m_groups[n];
        if (higherRanksRate + group.ratePerSecond > admittedRate) {
            const auto share = (admittedRate - higherRanksRate) / group.ratePerSecond;
            const auto admitted = static_cast<std::uint32_t>(std::clamp(share, 0.0, 1.0) * kHashSpan);
            const auto end = (static_cast<std::uint64_t>(group.key) + 1) << kHashBits;
            return {static_cast<std::uint32_t>(end - std::max(admitted, 1U))};
        }
        higherRanksRate += group.ratePerSecond;
    }
    return {};
}

void LevelControl::publish(Level level)
{
    m_level = level;
    m_history[m_historyNext] = level;
    m_historyNext = (m_historyNext + 1) % kHistoryPeriods;
    m_cutoff = *std::max_element(m_history.begin(), m_history.end());
}

void LevelControl::update(TimePoint now, const LevelInput &input)
{
    const std::chrono::duration<double> elapsed = now - m_updatedAt;
    m_updatedAt = now;
    if (elapsed.count() <= 0) {
        return;
    }
    updateRates(elapsed.count());
    const bool isOverloaded = input.backlog > input.target / 2;
    const bool isRefusing = m_level.value != 0;
    if (input.capacity <= 0 || (!isRefusing && !isOverloaded)) {
        m_rateCorrection = 1;
        publish({});
        return;
    }
    if (input.backlog < 0) {
        m_rateCorrection = std::min(kMaxCorrection, m_rateCorrection * kCorrectionStep);
    } else {
        m_rateCorrection = std::max(1.0, m_rateCorrection / kCorrectionStep);
    }
    const auto offered = offeredRate();
    const auto recoverySeconds = input.waitingOrders > input.target ? kOrderBacklogRecoverySeconds : kBacklogRecoverySeconds;
    const auto sustainableRate = std::max(0.0, input.capacity * m_rateCorrection + (input.target - input.backlog) / recoverySeconds);
    publish(levelFor(offered - (offered - sustainableRate) * input.pushBack));
}

void LevelControl::setManyGroups(bool hasManyGroups)
{
    m_groupLimit = hasManyGroups ? kMaxGroups : kFewGroups;
}

double LevelControl::offeredRateBetween(Rank rank, Level level) const
{
    double sum = 0;
    for (std::size_t n = 0; n < m_groupCount; ++n) {
        const auto &group = m_groups[n];
        sum += group.ratePerSecond * std::max(0.0, countedShare(group.key, Level{rank.value}) - countedShare(group.key, level));
    }
    return sum;
}

Level LevelControl::level() const
{
    return m_level;
}

Level LevelControl::enforced() const
{
    auto lowest = m_level;
    for (std::size_t n = 1; n <= kGracePeriods; ++n) {
        lowest = std::min(lowest, m_history[(m_historyNext + kHistoryPeriods - n) % kHistoryPeriods]);
    }
    return lowest;
}

} // namespace chicoryspar
