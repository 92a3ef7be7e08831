#pragma once

/// @file
/// Admission level of a gate: learns the rate of each group of ranks and cuts the lowest, so that what is offered fits the capacity.

#include <chicoryspar/overload.h>

namespace chicoryspar {

/// What the gate shows the level control, once a period.
struct LevelInput
{
    /// Answers per second that the backend server can give; 0 while unknown.
    double capacity = 0;
    /// Mean number of waiting calls less free places.
    double backlog = 0;
    /// Orders among the waiting calls; nothing else can make place for them.
    double waitingOrders = 0;
    /// Number of waiting calls to aim at.
    double target = 0;
    /// Share of the excess that callers hold back, 0 to 1.
    double pushBack = 1;
};

/// Chooses the level that callers are told.
class LevelControl
{
public:
    static constexpr Duration kPeriod = std::chrono::milliseconds(50);

    explicit LevelControl(TimePoint now);

    /// Counts a call that was offered.
    void onOffer(Rank rank);

    /// Computes the level for the next period; runs once a period.
    void update(TimePoint now, const LevelInput &input);

    Level level() const;

    /// Returns the lowest level of the last periods: callers have had time to hear of it.
    Level enforced() const;

private:
    /// Calls of one class, depth and importance.
    struct Group
    {
        /// Rank without the hash.
        std::uint32_t key = 0;
        std::uint32_t countedCalls = 0;
        double ratePerSecond = 0;
        std::uint32_t idlePeriods = 0;
    };
    static constexpr std::size_t kMaxGroups = 32;
    static constexpr std::size_t kHistoryPeriods = 20;
    static constexpr std::size_t kGracePeriods = 10;

    Group &groupOf(Rank rank);
    void updateRates(double seconds);
    double totalRate() const;
    Level levelFor(double admittedRate) const;
    void publish(Level level);

    std::array<Group, kMaxGroups> m_groups{};
    std::size_t m_groupCount = 0;
    std::array<Level, kHistoryPeriods> m_history{};
    std::size_t m_historyNext = 0;
    TimePoint m_updatedAt;
    Level m_level;
    /// Calls below it may have been refused by their callers, so they aren't counted.
    Level m_cutoff;
    double m_rateCorrection = 1;
};

} // namespace chicoryspar
