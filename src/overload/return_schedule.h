#pragma once

/// @file
/// When refused requests should return: spaces them over the capacity that is expected to become free.

#include <chicoryspar/overload.h>

namespace chicoryspar {

/// A refused request, as input to ReturnSchedule.
struct RefusedRequest
{
    Rank rank;
    /// Time left until its deadline.
    Duration remaining{0};
    /// Longest delay after which it can still be answered within its objective; Duration::max() without an objective.
    Duration timely = Duration::max();
    /// Refused requests per second that rank above it.
    double aheadPerSecond = 0;
    /// Requests per second that the service is expected to have room for once the overload ends.
    double roomPerSecond = 0;
    /// Time in which the calls that wait now are served.
    Duration backlog{0};
};

/// Returns the longest wait that makes sense to state: clients wait for at most a third of the time that they have left.
Duration maxReturnDelay(Duration remaining);

/// States when a refused request should return. An overload is expected to last as long again as it has lasted, because bursts and slow
/// times of backend servers differ in length by a factor of a hundred; requests of higher rank return first, at the rate at which the
/// service is expected to have room. A wait beyond the longest useful one is replaced by that, less a jitter by the rank's hash. The
/// longest useful wait is what clients honour, or what is left of the objective if that is less but long enough for a return: a request
/// that returns late takes the place of one that would be answered in time. Answers bursts, slow backend servers and lost regions, after
/// which requests that return at once overload the service again. All of it is an expectation: nothing is reserved for the request.
class ReturnSchedule
{
public:
    /// Records a refusal for lack of room. An overload ends with the last refusal before a second without one.
    void onRefusal(TimePoint now);

    /// Returns for how long requests have been refused; zero if none was within the last second.
    Duration overloadTime(TimePoint now) const;

    /// Returns the delay to state to @a request. Zero if it has no time left.
    Duration returnDelay(TimePoint now, const RefusedRequest &request) const;

private:
    TimePoint m_startedAt;
    TimePoint m_refusedAt;
};

} // namespace chicoryspar
