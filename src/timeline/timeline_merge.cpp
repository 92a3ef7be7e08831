/// @file
/// Merging and filtering of the events of many nodes.

#include <chicoryspar/timeline.h>

#include <algorithm>
#include <tuple>

namespace chicoryspar {
namespace {

/// Sequence numbers start again with each process of a node, so the clock reading is compared first.
auto sortKeyOf(const Event &event)
{
    return std::tuple<HybridTime, const std::string &, std::uint64_t>(event.at, event.node, event.sequence);
}

} // namespace

bool matches(const EventFilter &filter, const Event &event)
{
    if (!filter.service.empty() && filter.service != event.service) {
        return false;
    }
    if (!filter.node.empty() && filter.node != event.node) {
        return false;
    }
    if (filter.root.isValid() && filter.root != event.root) {
        return false;
    }
    if (!filter.kinds.empty() && !filter.kinds.contains(event.kind)) {
        return false;
    }
    return !filter.since || wallOf(event.at) >= *filter.since;
}

Timeline mergePages(const std::vector<EventPage> &pages)
{
    Timeline timeline;
    for (const auto &it : pages) {
        timeline.events.insert(timeline.events.end(), it.events.begin(), it.events.end());
        if (it.dropped > 0) {
            timeline.gaps.push_back({it.node, std::to_string(it.dropped) + " older events were dropped from the node's buffer"});
        }
    }
    auto &events = timeline.events;
    std::sort(events.begin(), events.end(), [](const Event &a, const Event &b) { return sortKeyOf(a) < sortKeyOf(b); });
    const auto isSame = [](const Event &a, const Event &b) { return sortKeyOf(a) == sortKeyOf(b); };
    events.erase(std::unique(events.begin(), events.end(), isSame), events.end());
    return timeline;
}

void applyFilter(const EventFilter &filter, Timeline &timeline)
{
    std::erase_if(timeline.events, [&filter](const Event &it) { return !matches(filter, it); });
}

} // namespace chicoryspar
