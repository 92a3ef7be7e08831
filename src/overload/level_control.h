#pragma once

/// @file
/// Admission level of a gate: estimates the offered rate of each group of ranks and refuses the lowest ranks, so that the rest fits the
/// capacity.

#include <chicoryspar/overload.h>

namespace chicoryspar {

/// Measurements of the gate over one period.
struct LevelInput
{
    /// Throughput of the backend server, in answers per second; 0 while unknown.
    double capacity = 0;
    /// Mean number of waiting calls minus free slots.
    double backlog = 0;
    /// Orders among the waiting calls; refusing other calls doesn't shorten their queue.
    double waitingOrders = 0;
    /// Target number of waiting calls.
    double target = 0;
    /// Share of the excess load that callers are told to throttle, 0 to 1.
    double pushBack = 1;
};

/// Computes the admission level that is sent to callers.
class LevelControl
{
public:
    static constexpr Duration kPeriod = std::chrono::milliseconds(50);

    explicit LevelControl(TimePoint now);

    /// Counts a call that was offered.
    void onOffer(Rank rank);

    /// Computes the level for the next period; to be called once a period.
    void update(TimePoint now, const LevelInput &input);

    Level level() const;

    /// Returns the lowest level of the last kGracePeriods periods, which callers have had time to receive.
    Level enforced() const;

    /// Sets whether the rates of all classes and importances are estimated one by one, instead of those of 32 groups.
    void setManyGroups(bool hasManyGroups);

    /// Returns the calls per second that callers would send without a level.
    double offeredRate() const;

    /// Returns those of them that rank above @a rank and below @a level.
    double offeredRateBetween(Rank rank, Level level) const;

private:
    /// Calls of one class, depth and importance.
    struct Group
    {
        /// Rank without the hash of the root request.
        std::uint32_t key = 0;
        /// Calls of this period at or above the cutoff.
        std::uint32_t countedCalls = 0;
        double ratePerSecond = 0;
        /// Periods since the last call.
        std::uint32_t idlePeriods = 0;
    };
    static constexpr std::size_t kFewGroups = 32;
    /// Three classes with all importances, and some calls at other depths.
    static constexpr std::size_t kMaxGroups = 64;
    static constexpr std::size_t kHistoryPeriods = 20;
    static constexpr std::size_t kGracePeriods = 10;

    Group &groupOf(Rank rank);
    void updateRates(double seconds);
    Level levelFor(double admittedRate) const;
    void publish(Level level);

    std::array<Group, kMaxGroups> m_groups{};
    std::size_t m_groupCount = 0;
    std::size_t m_groupLimit = kFewGroups;
    std::array<Level, kHistoryPeriods> m_history{};
    std::size_t m_historyNext = 0;
    TimePoint m_updatedAt;
    Level m_level;
    /// Highest level of the last kHistoryPeriods periods. Callers may still refuse calls below it, so these aren't counted.
    Level m_cutoff;
    /// Factor on the capacity; over 1 while slots stay free.
    double m_rateCorrection = 1;
};

} // namespace chicoryspar
