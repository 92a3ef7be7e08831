/// @file
/// Call context of a request that reaches an entry node.

#include "node/entry/entry_request.h"

#include <chicoryspar/overload.h>

#include <algorithm>

namespace chicoryspar {

CallContext makeContext(TimePoint now, const ContextInput &input)
{
    CallContext context;
    context.remaining = input.fields.timeout.value_or(input.method.defaultTimeout);
    if (input.parent) {
        context = input.parent->context;
        const Duration left = input.parent->deadline - now;
        context.remaining = std::min(left, input.fields.timeout.value_or(left));
        if (!context.ranksAsRoot) {
            context.requestClass = std::max(context.requestClass, input.method.requestClass);
        }
        context.depth = static_cast<std::uint8_t>(std::min<int>(context.depth + 1, kMaxDepth));
        return context;
    }
    context.root = input.fields.root.value_or(input.newRoot);
    context.requestClass = input.method.requestClass;
    context.ranksAsRoot = input.ranksAsRoot;
    context.importance = input.config.importanceOf(input.fields.caller);
    if (input.customer && input.customer->priority) {
        context.requestClass = requestClassOfPriority(*input.customer->priority);
        context.importance = customerImportance(input.routePriority, kLabelSteps - 1);
    }
    const auto budget = input.config.retryPolicyOf(input.fields.service).budget;
    const auto tokens = std::min<std::uint32_t>(budget, input.fields.retryTokens.value_or(std::numeric_limits<std::uint16_t>::max()));
    context.retryTokens = static_cast<std::uint16_t>(tokens);
    return context;
}

} // namespace chicoryspar
