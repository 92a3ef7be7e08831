#pragma once

/// @file
/// What the dispatcher learns from load reports, and how operators see it.

#include "node/entry/dispatcher.h"

namespace chicoryspar {

/// Records the work of an answered attempt in @a work, and copies the load report of its upstream into @a result.
void recordLoad(const RoutedRequest &routed, Duration expectedWork, const CallAnswer &answer, WorkEstimator &work, RouteResult &result);

/// Returns the metrics of one service in the Prometheus text format; empty if none of its upstreams reports its load.
std::string renderPlacement(std::string_view node, std::string_view service, const WorkEstimator &work,
                            std::span<const CandidateView> upstreams);

} // namespace chicoryspar
