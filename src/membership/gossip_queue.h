#pragma once

/// @file
/// Updates that wait to be passed on, new ones first, then in turn.

#include "membership/member_view.h"

namespace chicoryspar {

struct PendingUpdate
{
    NodeId id;
    /// Times sent, or heard again from others.
    int transmitCount = 0;
    /// Carries the full record.
    bool includesRecord = false;
    /// Still to be sent to a few members at once.
    bool isUrgent = false;
    TimePoint queuedAt{};
};

struct GossipQueue
{
    /// The next one to send first; new ones are put in front, sent ones at the back.
    std::vector<PendingUpdate> updates;
};

/// Queues the present knowledge of @a id in place of an older one.
void enqueueUpdate(GossipQueue &queue, TimePoint now, NodeId id, bool includesRecord, bool isUrgent);

/// Counts that the update of @a id was heard again from another member, once it has had time to spread.
void countDuplicate(GossipQueue &queue, TimePoint now, NodeId id);

/// Moves updates into @a message while they fit into @a bytes, and drops those sent @a transmitLimit times.
void takeUpdates(GossipQueue &queue, const MemberView &view, std::size_t bytes, int transmitLimit, std::vector<MemberUpdate> &message);

/// Drops the updates that were queued before @a before.
void dropQueuedBefore(GossipQueue &queue, TimePoint before);

} // namespace chicoryspar
