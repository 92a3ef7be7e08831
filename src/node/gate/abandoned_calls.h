#pragma once

/// @file
/// Calls that ended without an answer, so that the backend server may still run them. Load pattern: callers leave by the thousand in an
/// overload, and backend servers go on for a while.

#include <chicoryspar/core.h>

#include <deque>

namespace chicoryspar {

/// Remembers the latest kMaxCalls calls for kRetention each.
class AbandonedCalls
{
public:
    static constexpr std::size_t kMaxCalls = 1024;
    /// Longer than a slow backend server runs on.
    static constexpr Duration kRetention = std::chrono::seconds(30);

    void add(TimePoint now, std::string_view token);

    bool contains(TimePoint now, std::string_view token) const;

    /// Returns whether none was dropped within its retention for want of room, so that a token which isn't contained isn't one of these.
    bool isComplete(TimePoint now) const;

private:
    struct Call
    {
        std::uint64_t tokenHash = 0;
        TimePoint endedAt;
    };
    /// Oldest first.
    std::deque<Call> m_calls;
    TimePoint m_droppedUntil{};
};

} // namespace chicoryspar
