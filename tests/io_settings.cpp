/// @file
/// Tests of settings from which several durations of a node follow.

#include <chicoryspar/membership.h>
#include <chicoryspar/node.h>

#include <gtest/gtest.h>

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

constexpr const char *kRequired = "[node]\nname = n\nregion = r\nzone = z\n";

NodeSettings parse(const std::string &text)
{
    const auto loaded = parseNodeSettings(kRequired + text, "test");
    EXPECT_TRUE(loaded.findings.empty()) << toString(loaded.findings);
    return loaded.settings;
}

} // namespace

// The platform states durations with fractions.
TEST(Settings, DurationsMayHaveFractions)
{
    EXPECT_EQ(parse("[platform]\nchange_bound = 2.5s\n").changeBound, 2500ms);
    EXPECT_EQ(parse("[platform]\nchange_bound = 2500ms\n").changeBound, 2500ms);
    EXPECT_EQ(parse("[stop]\nkill_after = 0.75s\n").stopKillTime, 750ms);
    EXPECT_EQ(parse("[stop]\nkill_after = 4000\n").stopKillTime, 4s);
    EXPECT_EQ(parse("[platform]\nchange_bound =\n").changeBound, NodeSettings().changeBound);
    for (const std::string value : {"s", ".", "1.5.2s", "-2s", "2 s", "2m", "1e9s", "99999999s", "0", "499ms"}) {
        EXPECT_EQ(parseNodeSettings(kRequired + ("[platform]\nchange_bound = " + value + "\n"), "test").findings.size(), 1U) << value;
    }
}

// The drain had a fixed end: too early where the platform gives a process more time, too late where it gives less.
TEST(Settings, PlannedStopUsesTheTimeUntilThePlatformKillsTheProcess)
{
    for (const auto &[text, killTime] : {std::pair{"4s", 4s}, std::pair{"6s", 6s}, std::pair{"10000ms", 10s}}) {
        const auto settings = parse(std::string("[stop]\nkill_after = ") + text + "\n");
        const auto end = maxDrainTime(settings) + kLeaveTime;
        EXPECT_LT(end, killTime);
        // A request that was sent early enough may be cut in the last sixth.
        EXPECT_GE(end, killTime * 5 / 6);
    }
    EXPECT_EQ(maxDrainTime(parse("[stop]\nkill_after = 1s\n")), 0s);
    EXPECT_EQ(maxDrainTime(parse("[stop]\ndrain_ms = 700\n")), 700ms);
}

TEST(Settings, HolderOfTheRepeatBudget)
{
    EXPECT_EQ(NodeSettings().repeatsHeldBy, RepeatHolder::Auto);
    EXPECT_EQ(parse("[repeats]\nheld_by = gates\n").repeatsHeldBy, RepeatHolder::Gates);
    EXPECT_EQ(parse("[repeats]\nheld_by = senders\n").repeatsHeldBy, RepeatHolder::Senders);
    EXPECT_EQ(parseNodeSettings(kRequired + std::string("[repeats]\nheld_by = nodes\n"), "test").findings.size(), 1U);
}

/// Guards against a misspelt mode that leaves the default in force without notice.
TEST(Settings, ReturnScheduleHasThreeModes)
{
    EXPECT_EQ(parse("").returnSchedule, ReturnScheduleMode::Auto);
    for (const auto mode : {ReturnScheduleMode::Auto, ReturnScheduleMode::On, ReturnScheduleMode::Off}) {
        const auto settings = parse("[overload]\nreturn_schedule = " + std::string(rowOf(mode).name) + "\n");
        EXPECT_EQ(settings.returnSchedule, mode);
    }
    const auto loaded = parseNodeSettings(kRequired + std::string("[overload]\nreturn_schedule = yes\n"), "test");
    EXPECT_EQ(loaded.findings.size(), 1U);
}
