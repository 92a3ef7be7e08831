/// @file
/// Creates messages, adds updates to them and pushes urgent updates.

#include "membership/membership_state.h"

#include <algorithm>
#include <cmath>

namespace chicoryspar {
namespace {

/// After this many draws a member of any region is accepted, so that the draws end when few members are in this region.
constexpr std::size_t kMaxRegionFilteredDraws = 64;

/// Returns up to @a count distinct present members other than this node.
std::vector<NodeId> drawOthers(const MembershipCall &call, std::size_t count)
{
    const auto &others = call.state.view.others;
    if (others.size() <= count) {
        return others;
    }
    std::vector<NodeId> drawn;
    for (std::size_t n = 0; drawn.size() < count; ++n) {
        const auto id = others[drawBelow(call.random, others.size())];
        const bool isAccepted = n >= kMaxRegionFilteredDraws || acceptsRegion(call, id);
        if (isAccepted && std::find(drawn.begin(), drawn.end(), id) == drawn.end()) {
            drawn.push_back(id);
        }
    }
    return drawn;
}

/// Returns the number of targets of a push. With n members and ln(n) + c targets per member, a fraction of about exp(-c) / n of
/// the members misses the push.
std::size_t pushFanout(const MembershipState &state)
{
    const auto count = static_cast<double>(state.view.others.size() + 1);
    return static_cast<std::size_t>(std::log(count)) + static_cast<std::size_t>(state.options.pushFanoutExtra);
}

/// Adds urgent updates to @a message while they fit.
/// @returns the indices of these updates in the queue
std::vector<std::size_t> takeUrgent(const MembershipState &state, MembershipMessage &message)
{
    std::vector<std::size_t> taken;
    auto size = packedSizeBound(message);
    const auto &updates = state.queue.updates;
    for (std::size_t n = 0; n < updates.size(); ++n) {
        if (!updates[n].isUrgent || !state.view.members.contains(updates[n].id)) {
            continue;
        }
        auto update = updateOf(state.view, updates[n].id, updates[n].includesRecord);
        size += packedSizeBound(update);
        if (size > kMaxMessageBytes) {
            break;
        }
        message.updates.push_back(std::move(update));
        taken.push_back(n);
    }
    return taken;
}

} // namespace

bool acceptsRegion(const MembershipCall &call, NodeId id)
{
    const auto &view = call.state.view;
    const bool isSameRegion = view.members.at(id).info.region == view.members.at(view.self).info.region;
    const auto probability = call.state.options.crossRegionProbability;
    return isSameRegion || probability >= 1 || drawUnit(call.random) < probability;
}

Duration jittered(Duration period, Random &random)
{
    constexpr double kJitter = 0.1;
    const auto factor = 1.0 - kJitter + 2.0 * kJitter * drawUnit(random);
    return Duration(static_cast<Duration::rep>(static_cast<double>(period.count()) * factor));
}

int transmitLimit(const MembershipState &state)
{
    const auto count = static_cast<double>(state.view.others.size() + 2);
    return state.options.transmitLimitFactor * static_cast<int>(std::ceil(std::log10(count)));
}

MembershipMessage makeMessage(const MembershipState &state)
{
    MembershipMessage message;
    message.from = state.view.self;
    message.incarnation = state.view.members.at(state.view.self).info.incarnation;
    message.configDigest = state.configDigest;
    message.configPayload = state.configPayload;
    return message;
}

void sendWithUpdates(const MembershipCall &call, const std::string &to, MembershipMessage message)
{
    auto &state = call.state;
    const auto size = packedSizeBound(message);
    const auto room = std::min(state.options.piggybackBytes, kMaxMessageBytes - std::min(size, kMaxMessageBytes));
    takeUpdates(state.queue, state.view, room, transmitLimit(state), message.updates);
    call.out.push_back({to, std::move(message)});
}

void pushUrgent(const MembershipCall &call)
{
    auto &state = call.state;
    const auto fanout = pushFanout(state);
    while (true) {
        auto message = makeMessage(state);
        const auto taken = takeUrgent(state, message);
        if (taken.empty() && !state.isConfigDigestUnsent) {
            return;
        }
        const auto targets = drawOthers(call, fanout);
        if (targets.empty() || !state.pushBudget.trySpend(call.now, packedSizeBound(message) * targets.size())) {
            return;
        }
        state.isConfigDigestUnsent = false;
        for (const auto n : taken) {
            state.queue.updates[n].isUrgent = false;
        }
        for (const auto it : targets) {
            call.out.push_back({state.view.members.at(it).info.address, message});
            ++state.counters.pushesSent;
        }
        if (taken.empty()) {
            return;
        }
    }
}

} // namespace chicoryspar
