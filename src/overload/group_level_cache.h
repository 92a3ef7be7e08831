#pragma once

/// @file
/// Cache of the admission levels of descendant services for deployments with customers, whose calls of one route differ in class and
/// importance.

#include <chicoryspar/overload.h>

#include <vector>

namespace chicoryspar {

struct GroupLevelCacheOptions
{
    /// Time for which a level counts.
    Duration expiry = std::chrono::seconds(3);
    /// The same for levels that refuse orders.
    Duration orderExpiry = std::chrono::seconds(1);
    /// Time without an answer or a probe after which one call is admitted as a probe.
    Duration probeInterval = std::chrono::seconds(1);
    /// Weight of each level against the one after it.
    double decay = 0.8;
};

/// Refuses calls before they are sent, by the levels that recent answers of the same route returned. A level is a threshold on ranks, so an
/// answer to a call of any group (class and importance) tells the share that is refused of each group: all of the groups below the level,
/// none of those above. The share of a group is averaged over the last levels, because answers come from different upstreams. Fixed size
/// and set-associative: a new key evicts the least recently updated one of its set.
class GroupLevelCache
{
public:
    explicit GroupLevelCache(const GroupLevelCacheOptions &options = {});

    /// Records the level that an answer returned.
    void record(TimePoint now, std::uint64_t key, Level level);

    /// Returns whether a call may be sent. Admits one call per probe interval as a probe.
    bool admit(TimePoint now, std::uint64_t key, Rank rank);

    /// Returns the share of the calls of the group of @a rank that is refused, 0 to 1.
    double refusedShareOf(TimePoint now, std::uint64_t key, Rank rank) const;

    /// Returns the level that an answer returned last; the one that admits every call once it has expired.
    Level latest(TimePoint now, std::uint64_t key) const;

    std::size_t bytes() const;

private:
    struct Sample
    {
        Level level;
        TimePoint at;
    };
    /// With the default decay, older levels would have a weight of 3 % together.
    static constexpr std::size_t kSamples = 16;

    struct Entry
    {
        std::uint64_t key = 0;
        TimePoint updatedAt;
        TimePoint lastProbeAt;
        /// Ring of the last levels.
        std::array<Sample, kSamples> samples{};
        std::uint8_t next = 0;
        std::uint8_t count = 0;
    };
    static constexpr std::size_t kSets = 32;
    static constexpr std::size_t kWays = 4;

    bool isCurrent(TimePoint now, const Sample &sample) const;
    double refusedShareOf(TimePoint now, const Entry &entry, Rank rank) const;
    const Entry *find(std::uint64_t key) const;
    Entry &findOrReplace(std::uint64_t key);

    GroupLevelCacheOptions m_options;
    std::vector<Entry> m_entries;
};

} // namespace chicoryspar
