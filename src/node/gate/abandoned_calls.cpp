/// @file
/// Calls that ended without an answer.

#include "node/gate/abandoned_calls.h"

#include <algorithm>

namespace chicoryspar {

void AbandonedCalls::add(TimePoint now, std::string_view token)
{
    if (m_calls.size() >= kMaxCalls) {
        m_droppedUntil = m_calls.front().endedAt + kRetention;
        m_calls.pop_front();
    }
    m_calls.push_back({hashBytes(token), now});
}

bool AbandonedCalls::contains(TimePoint now, std::string_view token) const
{
    const auto hash = hashBytes(token);
    return std::any_of(m_calls.begin(), m_calls.end(),
                       [&](const Call &it) { return it.tokenHash == hash && now - it.endedAt < kRetention; });
}

bool AbandonedCalls::isComplete(TimePoint now) const
{
    return now >= m_droppedUntil;
}

} // namespace chicoryspar
