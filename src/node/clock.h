#pragma once

/// @file
/// Monotonic and wall clock of the process, in the time types of the core.

#include <chicoryspar/core.h>

namespace chicoryspar {

/// Returns the monotonic time, which also advances while the process is suspended.
TimePoint steadyNow();

/// Returns the wall-clock time.
WallTime wallNow();

} // namespace chicoryspar
