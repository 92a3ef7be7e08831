#pragma once

/// @file
/// Queue of updates to forward: new ones first, then round-robin.

#include "membership/member_view.h"

namespace chicoryspar {

struct PendingUpdate
{
    NodeId id;
    /// Number of times the update was sent, or received again from others.
    int transmitCount = 0;
    /// The update carries the full record of the member.
    bool includesRecord = false;
    /// The update still has to be pushed to a few members at once.
    bool isUrgent = false;
    TimePoint queuedAt{};
};

struct GossipQueue
{
    /// In sending order: new updates are inserted at the front, sent ones move to the back.
    std::vector<PendingUpdate> updates;
};

/// Queues the current state of @a id and replaces a pending update of the same member.
void enqueueUpdate(GossipQueue &queue, TimePoint now, NodeId id, bool includesRecord, bool isUrgent);

/// Counts an update of @a id that was received again, unless it was queued only a short time ago.
void countDuplicate(GossipQueue &queue, TimePoint now, NodeId id);

/// Appends updates to @a taken while they fit into @a bytes, and drops from the queue those that were sent or received again
/// @a transmitLimit times and aren't urgent.
void takeUpdates(GossipQueue &queue, const MemberView &view, std::size_t bytes, int transmitLimit, std::vector<MemberUpdate> &taken);

/// Drops the updates that were queued before @a before.
void dropQueuedBefore(GossipQueue &queue, TimePoint before);

} // namespace chicoryspar
