#pragma once

/// @file
/// Calls that wait before a gate, in entries allocated once.

#include <chicoryspar/overload.h>

#include <vector>

namespace chicoryspar {

struct WaitingCall
{
    GateRequest request;
    TimePoint queuedAt;
};

/// Waiting calls in order of arrival, with a fixed number of entries. A removed call leaves a gap that is closed later.
class CallQueue
{
public:
    explicit CallQueue(std::size_t capacity);

    /// Changes the number of entries, but never below the calls that wait.
    void resize(std::size_t capacity);

    std::size_t size() const;
    std::size_t capacity() const;
    bool isFull() const;
    std::size_t bytes() const;

    /// Adds a call behind the others; there must be a entry.
    void push(const WaitingCall &call);

    const WaitingCall *oldest() const;
    /// Returns the call of the highest rank, the oldest of equals.
    const WaitingCall *highest() const;
    /// Returns the call of the lowest rank, the newest of equals.
    const WaitingCall *lowest() const;
    const WaitingCall *find(std::uint64_t ticket) const;

    /// Removes a call that a function above returned.
    void remove(const WaitingCall *call);

    /// Removes every call for which @a shouldRemove is true, oldest first.
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
    void trim();
    void compact();

    std::vector<Entry> m_entries;
    std::size_t m_first = 0;
    /// Places from the first to the last used one, gaps included.
    std::size_t m_span = 0;
    std::size_t m_size = 0;
};

} // namespace chicoryspar
