/// @file
/// Admission levels and return delays at an entry node.

#include "node/entry/entry_levels.h"

#include "overload/rank_layout.h"

namespace chicoryspar {
namespace {

/// Part of the load that a full service admits for which it has room once the overload ends. Services run at about two thirds of their
/// capacity on usual days; an entry node doesn't know the capacity of the service.
constexpr double kUsualRoomShare = 0.4;

} // namespace

EntryLevels::EntryLevels(const LevelCacheOptions &options)
    : m_options(options)
    , m_byKey(options)
{
}

void EntryLevels::setGrouped(bool isGrouped)
{
    if (isGrouped == (m_byGroup != nullptr)) {
        return;
    }
    m_byKey = LevelCache(m_options);
    m_byGroup = isGrouped ? std::make_unique<GroupLevelCache>(GroupLevelCacheOptions{
                    .expiry = m_options.expiry, .orderExpiry = m_options.orderExpiry, .probeInterval = m_options.probeInterval})
                          : nullptr;
}

void EntryLevels::record(TimePoint now, std::uint64_t key, Level level, Rank rank)
{
    if (m_byGroup) {
        m_byGroup->record(now, key, level);
    } else {
        m_byKey.record(now, key, level, rank);
    }
}

bool EntryLevels::admit(TimePoint now, std::uint64_t key, Rank rank)
{
    return m_byGroup ? m_byGroup->admit(now, key, rank) : m_byKey.admit(now, key, rank);
}

Level EntryLevels::level(TimePoint now, std::uint64_t key) const
{
    return m_byGroup ? m_byGroup->latest(now, key) : m_byKey.level(now, key);
}

void EntryLevels::onRefusal(TimePoint now, std::uint64_t key)
{
    m_schedules[key % kSchedules].onRefusal(now);
}

Duration EntryLevels::returnDelay(TimePoint now, std::uint64_t key, Rank rank, Duration remaining, Duration timely) const
{
    const auto refused = m_byGroup ? m_byGroup->refusedShareOf(now, key, rank) : refusedShare(m_byKey.level(now, key), rank);
    const auto own = static_cast<double>(rank.value % kHashSpan) / kHashSpan;
    // Rates are relative to the requests of the group, so the admitted share stands for the capacity.
    return m_schedules[key % kSchedules].returnDelay(now,
                                                     {.rank = rank,
                                                      .remaining = remaining,
                                                      .timely = timely,
                                                      .aheadPerSecond = std::max(0.0, refused - own),
                                                      .roomPerSecond = std::max(0.0, 1 - refused) * kUsualRoomShare});
}

} // namespace chicoryspar
