/// @file
/// Tests of the schedule of status writes and of the choice of the reporter.

#include "config/status_schedule.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace chicoryspar;

RC_GTEST_PROP(StatusSchedule, WritesOnlyOnChangeAtABoundedRateAndRetriesFailures, ())
{
    const StatusScheduleOptions options{.period = std::chrono::seconds(15), .maxBackoff = std::chrono::minutes(4)};
    StatusSchedule schedule(options);
    TimePoint now{};
    std::optional<TimePoint> lastEnd;
    std::uint64_t written = 0;
    std::uint64_t content = 1;
    for (int n = 0; n < 600; ++n) {
        now += std::chrono::seconds(1);
        content += *rc::gen::inRange(0, 20) == 0 ? 1 : 0;
        const bool isReporter = *rc::gen::inRange(0, 10) != 0;
        if (!schedule.shouldWrite(now, isReporter, content)) {
            continue;
        }
        RC_ASSERT(isReporter);
        RC_ASSERT(content != written);
        RC_ASSERT(!lastEnd || now - *lastEnd >= options.period);
        schedule.beginWrite(content);
        RC_ASSERT(!schedule.shouldWrite(now, true, content + 1));
        const bool isDone = *rc::gen::inRange(0, 3) != 0;
        schedule.endWrite(now, isDone);
        written = isDone ? content : written;
        lastEnd = now;
    }
    RC_ASSERT(schedule.shouldWrite(now + options.maxBackoff, true, content) == (content != written));
}

TEST(StatusSchedule, ReporterIsAMemberAndIndependentOfTheirOrder)
{
    const std::vector<NodeId> members{makeNodeId("a"), makeNodeId("b"), makeNodeId("c")};
    const std::vector<NodeId> reversed(members.rbegin(), members.rend());
    EXPECT_EQ(chooseReporter(members, "orders"), chooseReporter(reversed, "orders"));
    EXPECT_NE(std::find(members.begin(), members.end(), chooseReporter(members, "orders")), members.end());
    EXPECT_FALSE(chooseReporter({}, "orders").isValid());
}
