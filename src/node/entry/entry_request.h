#pragma once

/// @file
/// Context of a call that enters the mesh.

#include "node/gate/gate_service.h"

#include <chicoryspar/config.h>
#include <chicoryspar/http.h>

namespace chicoryspar {

/// What decides about a call's context.
struct ContextInput
{
    const EntryFields &fields;
    const MethodSpec &method;
    const ConfigSet &config;
    /// Parent call, for a backend server's own call.
    std::optional<GateService::Parent> parent;
    /// Root of a request that names none.
    RequestId newRoot;
    /// Value of CallContext::ranksAsRoot.
    bool ranksAsRoot = false;
};

/// Returns the context of a call: that of the parent one hop down, or a new one.
/// @returns the context, with the time that remains
CallContext makeContext(TimePoint now, const ContextInput &input);

} // namespace chicoryspar
