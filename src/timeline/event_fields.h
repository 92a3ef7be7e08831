#pragma once

/// @file
/// Fields of an event in the order in which the text and HTML formats show them.

#include <chicoryspar/timeline.h>

namespace chicoryspar::timeline {

/// Calls @a visit(name, value) for each field of @a event that is set, except time, node, kind and text.
template<typename Visit>
void visitEventFields(const Event &event, Visit visit)
{
    if (!event.service.empty()) {
        visit("service", event.service);
    }
    if (!event.subject.empty()) {
        visit("subject", event.subject);
    }
    if (event.reason != Reason::None) {
        visit("reason", rowOf(event.reason).name);
    }
    if (event.value != 0) {
        visit("value", std::to_string(event.value));
    }
    if (event.root.isValid()) {
        visit("root", toString(event.root));
    }
}

} // namespace chicoryspar::timeline
