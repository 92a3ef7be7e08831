/// @file
/// Tests of a node's request counters and latency statistics.

#include "node/entry/placement.h"
#include "node/metrics.h"

#include <gtest/gtest.h>

using namespace chicoryspar;

TEST(Metrics, QuantilesStayWithinTheRecordedLatencies)
{
    Metrics metrics;
    EXPECT_EQ(metrics.latency(RequestClass::Order).count, 0U);
    for (int n = 1; n <= 200; ++n) {
        metrics.countOutcome(RequestClass::Order, Outcome::Answer, Reason::None, std::chrono::milliseconds(10 + n % 3));
        const auto summary = metrics.latency(RequestClass::Order);
        ASSERT_EQ(summary.count, static_cast<std::uint64_t>(n));
        ASSERT_GE(summary.medianMs, 10.0) << n;
        ASSERT_GE(summary.p99Ms, summary.medianMs) << n;
        ASSERT_LE(summary.p99Ms, 12.0) << n;
    }
}

TEST(Metrics, CountsByClassOutcomeAndReason)
{
    Metrics metrics;
    metrics.countOutcome(RequestClass::Lookup, Outcome::NotRun, Reason::EntryLevel, Duration{0});
    metrics.countRetry();
    EXPECT_EQ(metrics.outcomeCount(RequestClass::Lookup, Outcome::NotRun), 1U);
    EXPECT_EQ(metrics.outcomeCount(RequestClass::Order, Outcome::NotRun), 0U);
    EXPECT_EQ(metrics.reasonCount(RequestClass::Lookup, Reason::EntryLevel), 1U);
    EXPECT_EQ(metrics.latency(RequestClass::Lookup).count, 0U);
    EXPECT_NE(metrics.renderText("n").find("chicoryspar_refusals_total{node=\"n\",class=\"lookup\",reason=\"entry-level\"} 1"),
              std::string::npos);
    EXPECT_NE(metrics.renderText("n").find("chicoryspar_repeats_total{node=\"n\"} 1"), std::string::npos);
}

// Guards against gauges that a node without load reports, as in earlier deployments, would add to its metrics.
TEST(Metrics, PlacementIsShownOnlyWhereUpstreamsReportTheirLoad)
{
    std::vector<CandidateView> upstreams{{.node = {1}, .inFlight = 3}, {.node = {2}, .inFlight = 1}};
    EXPECT_EQ(renderPlacement("n", "s", WorkEstimator(), upstreams), "");
    upstreams.back().reportsLoad = true;
    EXPECT_EQ(renderPlacement("n", "s", WorkEstimator(), upstreams),
              "chicoryspar_work_to_expected_ratio{node=\"n\",service=\"s\"} 1\n"
              "chicoryspar_busiest_to_mean_ratio{node=\"n\",service=\"s\"} 1.5\n");
}
