/// @file
/// Table of event kinds.

#include <chicoryspar/timeline.h>

namespace chicoryspar {
namespace {

constexpr std::array<EventKindRow, static_cast<std::size_t>(EventKind::Count)> kEventKinds{{
    {"node-started", "the node started", false},
    {"node-stopping", "the node stops", false},
    {"member-joined", "a member joined", false},
    {"member-suspect", "a member doesn't answer probes", true},
    {"member-dead", "a member is taken for dead", true},
    {"member-left", "a member left as planned", false},
    {"member-returned", "a member is back", false},
    {"member-changed", "a member changed its record", false},
    {"name-conflict", "another process uses the name of this node", true},
    {"clock-skew", "the clock of another node is too far ahead", true},
    {"config-in-force", "a configuration object is in force", false},
    {"config-refused", "a configuration object was refused; the last good one stays", true},
    {"config-deleted", "a configuration object was deleted", false},
    {"limit-changed", "the concurrency limit changed", false},
    {"level-changed", "the admission level changed", false},
    {"refusals", "requests were refused", true},
    {"upstream-ejected", "an upstream gets no requests for now", true},
    {"upstream-readmitted", "an upstream gets requests again", false},
    {"connection-retired", "a connection was given up", true},
    {"drain-begun", "the backend server takes no new work", false},
    {"drain-ended", "the backend server takes new work again", false},
    {"backend-ready", "the backend server is ready", false},
    {"backend-lost", "the backend server no longer announces itself", true},
    {"store-lost", "the platform's API doesn't answer", true},
    {"store-back", "the platform's API answers again", false},
    {"key-unknown", "the outcome of an idempotency key isn't known", true},
    {"key-records-handed-over", "records of idempotency keys went to their next owner", false},
    {"key-records-taken-over", "records of idempotency keys arrived from their last owner", false},
    {"decision", "a decision", false},
}};

} // namespace

const EventKindRow &rowOf(EventKind value)
{
    return kEventKinds.at(static_cast<std::size_t>(value));
}

std::optional<EventKind> findEventKind(std::string_view name)
{
    return findByName<EventKind>(kEventKinds, name);
}

std::size_t sizeOf(const Event &event)
{
    return sizeof(Event) + event.node.size() + event.service.size() + event.subject.size() + event.text.size();
}

} // namespace chicoryspar
