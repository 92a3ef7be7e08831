#pragma once

/// @file
/// Virtual clock and event queue of the rigs.

#include <chicoryspar/core.h>

#include <functional>
#include <queue>
#include <vector>

namespace chicoryspar::rig {

/// Runs actions in order of time; those due at the same time run in the order in which they were scheduled.
class Clock
{
public:
    TimePoint now() const
    {
        return m_now;
    }

    void after(Duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, ++m_lastSequence, std::move(action)});
    }

    void run()
    {
        while (!m_events.empty()) {
            const auto action = std::move(const_cast<Event &>(m_events.top()).action);
            m_now = m_events.top().time;
            m_events.pop();
            action();
        }
    }

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t sequence = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };

    TimePoint m_now;
    std::uint64_t m_lastSequence = 0;
    std::priority_queue<Event> m_events;
};

} // namespace chicoryspar::rig
