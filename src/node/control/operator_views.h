#pragma once

/// @file
/// What operators read from a node, as JSON text. Everything is collected on the node's thread.

#include "node/control/config_driver.h"

namespace chicoryspar {

/// What the views show.
struct OperatorSources
{
    NodeContext &context;
    ConfigDriver &config;
};

/// Query of a request, by key.
using QueryFields = std::map<std::string, std::string>;

/// Answer of the operators' port.
struct OperatorAnswer
{
    int status = 200;
    std::string body;
    std::string_view contentType = "application/json";
};

/// Returns an answer of type application/problem+json.
OperatorAnswer makeProblem(int status, std::string_view title, std::string_view detail);

OperatorAnswer describeStatus(const OperatorSources &sources, TimePoint now);
OperatorAnswer describeMembers(const OperatorSources &sources, TimePoint now);
/// All objects in force, with the changes that brought them.
OperatorAnswer describeConfig(const OperatorSources &sources, TimePoint now);
OperatorAnswer describeObject(const OperatorSources &sources, TimePoint now, ObjectKind kind, const std::string &name);
/// The last changes that took force here.
OperatorAnswer describeHistory(const OperatorSources &sources, TimePoint now);
/// How many members have a version in force.
OperatorAnswer describeInForce(const OperatorSources &sources, const QueryFields &query);
/// The decision on a request, and the reason of each step.
OperatorAnswer describeDecision(const OperatorSources &sources, TimePoint now, const QueryFields &query);

} // namespace chicoryspar
