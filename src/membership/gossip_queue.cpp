/// @file
/// Queue of updates to forward.

#include "membership/gossip_queue.h"

#include <algorithm>

namespace chicoryspar {
namespace {

/// Time that an update takes to reach all members. A duplicate received earlier doesn't show that the others have it.
constexpr Duration kPropagationTime = std::chrono::seconds(2);

auto findPending(GossipQueue &queue, NodeId id)
{
    return std::find_if(queue.updates.begin(), queue.updates.end(), [id](const PendingUpdate &it) { return it.id == id; });
}

} // namespace

void enqueueUpdate(GossipQueue &queue, TimePoint now, NodeId id, bool includesRecord, bool isUrgent)
{
    PendingUpdate update{.id = id, .includesRecord = includesRecord, .isUrgent = isUrgent, .queuedAt = now};
    const auto it = findPending(queue, id);
    if (it != queue.updates.end()) {
        // A pending record must stay part of the update that replaces it.
        update.includesRecord = update.includesRecord || it->includesRecord;
        queue.updates.erase(it);
    }
    queue.updates.insert(queue.updates.begin(), update);
}

void countDuplicate(GossipQueue &queue, TimePoint now, NodeId id)
{
    const auto it = findPending(queue, id);
    if (it != queue.updates.end() && now - it->queuedAt > kPropagationTime) {
        ++it->transmitCount;
    }
}

void takeUpdates(GossipQueue &queue, const MemberView &view, std::size_t bytes, int transmitLimit, std::vector<MemberUpdate> &taken)
{
    if (queue.updates.empty()) {
        return;
    }
    auto &updates = queue.updates;
    std::size_t sent = 0;
    for (; sent < updates.size(); ++sent) {
        auto &it = updates[sent];
        ++it.transmitCount;
        if (!view.members.contains(it.id)) {
            it.transmitCount = transmitLimit;
            it.isUrgent = false;
            continue;
        }
        auto update = updateOf(view, it.id, it.includesRecord);
        const auto size = packedSizeBound(update);
        if (size > bytes) {
            --it.transmitCount;
            break;
        }
        bytes -= size;
        taken.push_back(std::move(update));
    }
    const auto sentEnd = updates.begin() + static_cast<std::ptrdiff_t>(sent);
    const auto isDone = [transmitLimit](const PendingUpdate &it) { return it.transmitCount >= transmitLimit && !it.isUrgent; };
    const auto kept = std::remove_if(updates.begin(), sentEnd, isDone);
    const auto next = updates.erase(kept, sentEnd);
    std::rotate(updates.begin(), next, updates.end());
}

void dropQueuedBefore(GossipQueue &queue, TimePoint before)
{
    std::erase_if(queue.updates, [before](const PendingUpdate &it) { return it.queuedAt < before; });
}

} // namespace chicoryspar
