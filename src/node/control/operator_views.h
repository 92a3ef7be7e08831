#pragma once

/// @file
/// JSON views of a node's state for operators. All functions must be called on the node's thread.

#include "node/control/config_driver.h"

namespace chicoryspar {

/// Objects from which the views read.
struct OperatorSources
{
    NodeContext &context;
    ConfigDriver &config;
};

/// Query parameters of a request, by name.
using QueryFields = std::map<std::string, std::string>;

/// Answer of the operators' port.
struct OperatorAnswer
{
    int status = 200;
    std::string body;
    std::string_view contentType = "application/json";
};

/// Returns an error answer of type application/problem+json.
OperatorAnswer makeProblem(int status, std::string_view title, std::string_view detail);

OperatorAnswer describeStatus(const OperatorSources &sources, TimePoint now);
OperatorAnswer describeMembers(const OperatorSources &sources, TimePoint now);
/// Lists all objects in force, each with the change that introduced it.
OperatorAnswer describeConfig(const OperatorSources &sources, TimePoint now);
OperatorAnswer describeObject(const OperatorSources &sources, TimePoint now, ObjectKind kind, const std::string &name);
/// Lists the most recent changes that came into force on this node.
OperatorAnswer describeHistory(const OperatorSources &sources, TimePoint now);
/// Reports how many members have a version of an object in force.
OperatorAnswer describeInForce(const OperatorSources &sources, const QueryFields &query);
/// Reports how a request would be handled, step by step, with the configuration object behind each step.
OperatorAnswer describeDecision(const OperatorSources &sources, TimePoint now, const QueryFields &query);
/// Reports where a request to a host and path would go now, and why, without sending it.
OperatorAnswer describeWhere(NodeContext &context, TimePoint now, const QueryFields &query);

} // namespace chicoryspar
