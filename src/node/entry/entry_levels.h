#pragma once

/// @file
/// What an entry node knows of the services below: their admission levels by route, and when refused requests should return.

#include "overload/group_level_cache.h"
#include "overload/return_schedule.h"

#include <memory>

namespace chicoryspar {

/// Levels of descendant services by method key, see RoutedRequest. Where requests have customers, levels are kept for each class and
/// importance, otherwise for each key.
class EntryLevels
{
public:
    explicit EntryLevels(const LevelCacheOptions &options);

    /// Sets whether requests of one key differ in class and importance. The levels kept in the other way are dropped.
    void setGrouped(bool isGrouped);

    /// Records the level that an answer returned.
    void record(TimePoint now, std::uint64_t key, Level level, Rank rank);

    /// Returns whether a request may be sent, as LevelCache does.
    bool admit(TimePoint now, std::uint64_t key, Rank rank);

    /// Returns the level in force for @a key; where levels are kept by group, the one that an answer returned last.
    Level level(TimePoint now, std::uint64_t key) const;

    /// Records a refusal for lack of room.
    void onRefusal(TimePoint now, std::uint64_t key);

    /// Returns the delay after which a refused request should return.
    /// @param timely as RefusedRequest::timely
    Duration returnDelay(TimePoint now, std::uint64_t key, Rank rank, Duration remaining, Duration timely) const;

private:
    static constexpr std::size_t kSchedules = 64;

    LevelCacheOptions m_options;
    LevelCache m_byKey;
    /// Null unless levels are kept by group.
    std::unique_ptr<GroupLevelCache> m_byGroup;
    /// By key modulo their number. Overloads of routes that share a schedule count as one.
    std::array<ReturnSchedule, kSchedules> m_schedules{};
};

} // namespace chicoryspar
