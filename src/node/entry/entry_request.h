#pragma once

/// @file
/// Call context of a request that reaches an entry node.

#include "node/gate/gate_service.h"

#include <chicoryspar/config.h>
#include <chicoryspar/http.h>

namespace chicoryspar {

/// Inputs that determine a call context.
struct ContextInput
{
    const EntryFields &fields;
    const MethodSpec &method;
    const ConfigSet &config;
    /// Parent call, when the request is a child call of the local backend server.
    std::optional<GateService::Parent> parent;
    /// Root to assign to a root request that carries no identifier.
    RequestId newRoot;
    /// Value of CallContext::ranksAsRoot.
    bool ranksAsRoot = false;
    /// Customer that sent a root request; null for none.
    const CustomerSpec *customer = nullptr;
    /// Priority of the route, which decides among requests of the same class whose class the customer's priority determines.
    std::uint32_t routePriority = 0;
};

/// Derives a call context from that of the parent call with the depth increased by one, or creates one for a root request.
/// @returns the context, with the remaining time as of @a now
CallContext makeContext(TimePoint now, const ContextInput &input);

} // namespace chicoryspar
