/// @file
/// Set-associative cache of recent levels by route.

#include "overload/group_level_cache.h"

#include <algorithm>

#include "overload/rank_layout.h"

namespace chicoryspar {

GroupLevelCache::GroupLevelCache(const GroupLevelCacheOptions &options)
    : m_options(options)
    , m_entries(kSets * kWays)
{
}

const GroupLevelCache::Entry *GroupLevelCache::find(std::uint64_t key) const
{
    const auto first = m_entries.begin() + static_cast<std::ptrdiff_t>(key % kSets * kWays);
    const auto last = first + kWays;
    const auto it = std::find_if(first, last, [key](const Entry &entry) { return entry.key == key && entry.count > 0; });
    return it == last ? nullptr : &*it;
}

GroupLevelCache::Entry &GroupLevelCache::findOrReplace(std::uint64_t key)
{
    const auto first = m_entries.begin() + static_cast<std::ptrdiff_t>(key % kSets * kWays);
    const auto last = first + kWays;
    auto it = std::find_if(first, last, [key](const Entry &entry) { return entry.key == key && entry.count > 0; });
    if (it == last) {
        it = std::min_element(first, last, [](const Entry &a, const Entry &b) { return a.updatedAt < b.updatedAt; });
        *it = {.key = key};
    }
    return *it;
}

bool GroupLevelCache::isCurrent(TimePoint now, const Sample &sample) const
{
    const bool refusesOrders = sample.level.value > lowestRank(RequestClass::Order).value;
    return now - sample.at < (refusesOrders ? m_options.orderExpiry : m_options.expiry);
}

double GroupLevelCache::refusedShareOf(TimePoint now, const Entry &entry, Rank rank) const
{
    double weight = 1;
    double weights = 0;
    double sum = 0;
    for (std::size_t n = 1; n <= entry.count; ++n) {
        const auto &sample = entry.samples[(entry.next + kSamples - n) % kSamples];
        if (isCurrent(now, sample)) {
            sum += weight * refusedShare(sample.level, rank);
            weights += weight;
        }
        weight *= m_options.decay;
    }
    return weights > 0 ? sum / weights : 0;
}

void GroupLevelCache::record(TimePoint now, std::uint64_t key, Level level)
{
    auto &entry = findOrReplace(key);
    entry.samples[entry.next] = {level, now};
    entry.next = static_cast<std::uint8_t>((entry.next + 1) % kSamples);
    entry.count = static_cast<std::uint8_t>(std::min<std::size_t>(entry.count + 1, kSamples));
    entry.updatedAt = now;
}

bool GroupLevelCache::admit(TimePoint now, std::uint64_t key, Rank rank)
{
    auto *entry = const_cast<Entry *>(find(key));
    if (!entry || levelForShare(refusedShareOf(now, *entry, rank), rank).admits(rank)) {
        return true;
    }
    if (now - std::max(entry->updatedAt, entry->lastProbeAt) < m_options.probeInterval) {
        return false;
    }
    entry->lastProbeAt = now;
    return true;
}

double GroupLevelCache::refusedShareOf(TimePoint now, std::uint64_t key, Rank rank) const
{
    const auto *entry = find(key);
    return entry ? refusedShareOf(now, *entry, rank) : 0;
}

Level GroupLevelCache::latest(TimePoint now, std::uint64_t key) const
{
    const auto *entry = find(key);
    if (!entry) {
        return {};
    }
    const auto &sample = entry->samples[(entry->next + kSamples - 1) % kSamples];
    return isCurrent(now, sample) ? sample.level : Level{};
}

std::size_t GroupLevelCache::bytes() const
{
    return sizeof(*this) + m_entries.capacity() * sizeof(Entry);
}

} // namespace chicoryspar
