#pragma once

/// @file
/// Calls that wait before a gate, in places allocated once.

#include <chicoryspar/overload.h>

#include <vector>

namespace chicoryspar {

struct WaitingCall
{
    GateRequest request;
    TimePoint queuedAt;
};

/// Waiting calls in order of arrival, with a fixed number of places. A removed call leaves a gap that is closed later.
class CallQueue
{
public:
    explicit CallQueue(std::size_t capacity);

    /// Changes the number of places, but never below the calls that wait.
    void resize(std::size_t capacity);

    std::size_t size() const;
    std::size_t capacity() const;
    bool isFull() const;
    std::size_t bytes() const;

    /// Adds a call behind the others; there must be a place.
    void push(const WaitingCall &call);

    const WaitingCall *oldest() const;
    /// Returns the call of the highest rank, the oldest of equals.
    const WaitingCall *highest() const;
    /// Returns the call of the lowest rank, the newest of equals.
    const WaitingCall *lowest() const;
    const WaitingCall *find(std::uint64_t ticket) const;

    /// Removes a call that a function above returned.
    void remove(const WaitingCall *call);

    /// Removes every call for which @a isGone is true, oldest first.
    template<typename Predicate>
    void removeIf(Predicate isGone)
    {
        for (std::size_t n = 0; n < m_used; ++n) {
            auto &place = at(n);
            if (place.isUsed && isGone(place.call)) {
                place.isUsed = false;
                --m_size;
            }
        }
        compact();
    }

private:
    struct Place
    {
        WaitingCall call;
        bool isUsed = false;
    };

    Place &at(std::size_t index);
    const Place &at(std::size_t index) const;
    void trim();
    void compact();

    std::vector<Place> m_places;
    std::size_t m_first = 0;
    /// Places from the first to the last used one, gaps included.
    std::size_t m_used = 0;
    std::size_t m_size = 0;
};

} // namespace chicoryspar
