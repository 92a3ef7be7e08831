#pragma once

/// @file
/// Monotonic and wall clock of the process, in the time types of the core.

#include <chicoryspar/core.h>

namespace chicoryspar {

/// Returns the monotonic time, which also advances while the process is stopped, but not while the host is suspended.
TimePoint steadyNow();

/// Returns the monotonic time that also advances while the host is suspended; not comparable with steadyNow().
TimePoint bootNow();

/// Returns the wall-clock time.
WallTime wallNow();

} // namespace chicoryspar
