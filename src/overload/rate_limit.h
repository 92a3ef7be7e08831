#pragma once

/// @file
/// Limit on the requests per second that a backend server accepts.

#include <chicoryspar/core.h>

#include <optional>

namespace chicoryspar {

/// Token bucket that starts empty but for one token, so that no change of the limit allows a burst.
class RateLimit
{
public:
    /// Sets the limit in requests per second; nothing for none. Zero allows one request in a few seconds, which learns of the limit's end.
    void setRate(TimePoint now, std::optional<double> rate);

    /// Returns the limit in force, in requests per second.
    std::optional<double> rate() const;

    /// Returns whether a request may start.
    bool hasToken(TimePoint now) const;

    /// Counts a request that starts.
    void takeToken(TimePoint now);

private:
    double tokensAt(TimePoint now) const;

    std::optional<double> m_rate;
    double m_tokens = 0;
    TimePoint m_refilledAt{};
};

} // namespace chicoryspar
