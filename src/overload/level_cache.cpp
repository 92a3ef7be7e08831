/// @file
/// Set-associative cache of the admission levels of descendant services, kept at the entry node.

#include <chicoryspar/overload.h>

#include <algorithm>

#include "overload/rank_layout.h"

namespace chicoryspar {

LevelCache::LevelCache(const LevelCacheOptions &options)
    : m_options(options)
{
}

const LevelCache::Entry *LevelCache::find(std::uint64_t key) const
{
    const auto first = m_entries.begin() + static_cast<std::ptrdiff_t>(key % kSets * kWays);
    const auto last = first + kWays;
    const auto it = std::find_if(first, last, [key](const Entry &entry) { return entry.key == key; });
    return it == last ? nullptr : &*it;
}

Level LevelCache::levelOf(TimePoint now, const Entry &entry) const
{
    const bool refusesOrders = entry.level.value > lowestRank(RequestClass::Order).value;
    const auto expiry = refusesOrders ? m_options.orderExpiry : m_options.expiry;
    return now - entry.updatedAt < expiry ? entry.level : Level{};
}

void LevelCache::record(TimePoint now, std::uint64_t key, Level level, Rank rank)
{
    auto *entry = const_cast<Entry *>(find(key));
    if (!entry) {
        const auto first = m_entries.begin() + static_cast<std::ptrdiff_t>(key % kSets * kWays);
        entry = &*std::min_element(first, first + kWays, [](const Entry &a, const Entry &b) { return a.updatedAt < b.updatedAt; });
        *entry = {.key = key};
    }
    if (levelOf(now, *entry) == Level{}) {
        entry->refusedShare = now - entry->updatedAt < m_options.expiry ? entry->refusedShare : 0;
    }
    entry->refusedShare += (refusedShare(level, rank) - entry->refusedShare) * m_options.weight;
    entry->level = m_options.weight < 1 ? levelForShare(entry->refusedShare, rank) : level;
    entry->updatedAt = now;
}

bool LevelCache::admit(TimePoint now, std::uint64_t key, Rank rank)
{
    auto *entry = const_cast<Entry *>(find(key));
    if (!entry || levelOf(now, *entry).admits(rank)) {
        return true;
    }
    const auto lastSignalAt = std::max(entry->updatedAt, entry->lastProbeAt);
    if (now - lastSignalAt < m_options.probeInterval) {
        return false;
    }
    entry->lastProbeAt = now;
    return true;
}

Level LevelCache::level(TimePoint now, std::uint64_t key) const
{
    const auto *entry = find(key);
    return entry ? levelOf(now, *entry) : Level{};
}

} // namespace chicoryspar
