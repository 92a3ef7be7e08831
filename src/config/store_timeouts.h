#pragma once

/// @file
/// Durations of store calls, derived from the time within which a change has to be in force.

#include <chicoryspar/core.h>

namespace chicoryspar {

/// Each call has a connection of its own, so a connection that goes silent holds up one call for at most its timeout.
struct StoreTimeouts
{
    /// How long the store keeps a watch open.
    Duration watchDuration{0};
    /// Time after watchDuration at which a watch without an answer counts as silent.
    Duration watchGrace{0};
    /// Time after which any other call without an answer has failed.
    Duration callTimeout{0};
};

/// Returns timeouts with which a node notices a silent connection to the store, and has listed the objects over another one, within
/// @a changeBound.
StoreTimeouts storeTimeoutsFor(Duration changeBound);

} // namespace chicoryspar
