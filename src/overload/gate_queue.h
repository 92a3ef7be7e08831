#pragma once

/// @file
/// Queue of the calls that wait before a gate, in memory that is allocated once.

#include <chicoryspar/overload.h>

#include <optional>
#include <utility>
#include <vector>

namespace chicoryspar {

struct WaitingCall
{
    GateRequest request;
    TimePoint queuedAt;
};

/// Ring of waiting calls in order of arrival, with a fixed capacity. A removed call leaves a gap that is closed later.
class CallQueue
{
public:
    explicit CallQueue(std::size_t capacity);

    /// Changes the capacity, but never below the number of waiting calls.
    void resize(std::size_t capacity);

    std::size_t size() const;
    std::size_t capacity() const;
    bool isFull() const;
    std::size_t bytes() const;

    /// Appends a call; the queue must not be full.
    void push(const WaitingCall &call);

    const WaitingCall *oldest() const;
    /// Returns the call of the highest rank; the oldest one among equals.
    const WaitingCall *highest() const;
    /// Returns the call of the lowest rank; the newest one among equals.
    const WaitingCall *lowest() const;
    const WaitingCall *find(std::uint64_t ticket) const;

    /// Returns the call for which @a keyOf returns the greatest key; the oldest one among equals.
    template<typename KeyOf>
    const WaitingCall *highestBy(KeyOf keyOf) const
    {
        const WaitingCall *found = nullptr;
        std::optional<decltype(keyOf(std::declval<const WaitingCall &>()))> highestKey;
        for (std::size_t n = 0; n < m_span; ++n) {
            if (!at(n).isUsed) {
                continue;
            }
            if (auto key = keyOf(at(n).call); !highestKey || key > *highestKey) {
                highestKey = std::move(key);
                found = &at(n).call;
            }
        }
        return found;
    }

    /// Returns the number of calls for which @a predicate returns true.
    template<typename Predicate>
    std::size_t count(Predicate predicate) const
    {
        std::size_t found = 0;
        for (std::size_t n = 0; n < m_span; ++n) {
            found += at(n).isUsed && predicate(at(n).call) ? 1 : 0;
        }
        return found;
    }

    /// Removes a call.
    /// @param call as returned by oldest(), highest(), lowest() or find()
    void remove(const WaitingCall *call);

    /// Removes each call for which @a shouldRemove returns true, oldest first.
    template<typename Predicate>
    void removeIf(Predicate shouldRemove)
    {
        for (std::size_t n = 0; n < m_span; ++n) {
            auto &entry = at(n);
            if (entry.isUsed && shouldRemove(entry.call)) {
                entry.isUsed = false;
                --m_size;
            }
        }
        compact();
    }

private:
    struct Entry
    {
        WaitingCall call;
        bool isUsed = false;
    };

    Entry &at(std::size_t index);
    const Entry &at(std::size_t index) const;
    /// Drops gaps at both ends.
    void trim();
    /// Closes all gaps.
    void compact();

    std::vector<Entry> m_entries;
    std::size_t m_first = 0;
    /// Entries from the first to the last used one, gaps included.
    std::size_t m_span = 0;
    std::size_t m_size = 0;
};

} // namespace chicoryspar
