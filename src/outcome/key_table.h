#pragma once

/// @file
/// Bounded table of the records of one record owner.

#include <chicoryspar/outcome.h>

#include <deque>
#include <unordered_map>

namespace chicoryspar {

/// Returns whether the result of the run may still arrive.
inline bool awaitsResult(const KeyRecord &record)
{
    return record.state == KeyState::Running || record.state == KeyState::Lost;
}

/// Records by key, kept until their key can no longer be executed. Answers are evicted oldest first.
class KeyTable
{
public:
    explicit KeyTable(const KeyOwnerOptions &options);

    KeyRecord *find(const RequestId &key);
    const KeyRecord *find(const RequestId &key) const;
    bool isFull() const;
    /// Adds @a record unless its key already has one. @returns false when the table is full
    bool insert(KeyRecord record);
    void erase(const RequestId &key);
    /// Sets @a record to Done with @a answer, and evicts the oldest answers while their total size exceeds the limit.
    void setDone(KeyRecord &record, std::shared_ptr<const KeyAnswer> answer);
    /// Removes the records whose keys can no longer be executed at @a wall.
    void expire(WallTime wall);

    /// Records that a key created at @a created was refused permanently without a record. Keys created at or before that time that have
    /// no record must be refused from now on.
    void refuseUntil(WallTime created);
    WallTime refusedUntil() const
    {
        return m_refusedUntil;
    }

    std::size_t size() const
    {
        return m_records.size();
    }
    std::size_t answerBytes() const
    {
        return m_answerBytes;
    }
    std::uint64_t evicted() const
    {
        return m_evicted;
    }
    const std::unordered_map<RequestId, KeyRecord> &records() const
    {
        return m_records;
    }

private:
    void evictAnswers();
    void dropAnswer(KeyRecord &record);

    Duration m_retention;
    std::size_t m_maxEntries;
    std::size_t m_maxBytes;
    std::unordered_map<RequestId, KeyRecord> m_records;
    /// Keys in the order of their creation time.
    std::multimap<WallTime, RequestId> m_expiry;
    std::deque<RequestId> m_answerOrder;
    std::size_t m_answerBytes = 0;
    std::uint64_t m_evicted = 0;
    WallTime m_refusedUntil;
};

} // namespace chicoryspar
