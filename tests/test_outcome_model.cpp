/// @file
/// Guards against a request that is executed twice or reported with a wrong outcome when nodes crash, pause, leave or lose contact:
/// random histories under faults, tests of the history checker, and one test per rule that switches it off and expects a violation.

#include "tests/outcome_model_actions.h"

#include <cstdlib>

#include <gtest/gtest.h>

using namespace chicoryspar;
using namespace chicoryspar::model;

namespace {

/// Named set of model options, and the number of seeds to run with it.
struct Profile
{
    const char *name;
    ModelOptions options;
    std::uint64_t seeds;
};

// Fault weights: crash, crash with a long downtime, pause, network partition, planned leave, clock step.
const std::array<Profile, 6> kProfiles{{
    {"everything", {}, 60},
    {"cuts", {.faultInterval = 3s, .faultWeights = {0, 0, 1, 6, 0, 0}}, 20},
    {"crashes", {.keyInterval = 10ms, .faultInterval = 1s, .faultWeights = {6, 0, 0, 0, 2, 2}}, 20},
    {"leaves", {.faultInterval = 2s, .faultWeights = {0, 0, 1, 0, 6, 1}, .lossShare = 0.05}, 20},
    {"joiners", {.nodes = 9, .joiners = 4, .faultWeights = {3, 1, 1, 5, 1, 1}}, 10},
    {"late",
     {.nodes = 9, .joiners = 4, .keyInterval = 5ms, .faultInterval = 500ms, .faultWeights = {3, 0, 0, 0, 6, 0}, .lateShare = 0.2},
     10},
}};

/// Returns the number of histories to run for @a profile. The environment variable MODEL_SCALE multiplies it for longer manual runs.
std::uint64_t countSeeds(const Profile &profile)
{
    const char *scale = std::getenv("MODEL_SCALE");
    return profile.seeds * (scale ? std::strtoull(scale, nullptr, 10) : 1);
}

/// Runs one history again with logging enabled, and returns its findings and the log lines about the key of the first one.
std::string describeViolation(ModelOptions options)
{
    options.keepsLog = true;
    Simulation simulation(options);
    const auto findings = checkHistory(simulation.run());
    if (findings.empty()) {
        return "no violation";
    }
    return toString(findings) + simulation.logOf(parseRequestId(findings.front().place).value_or(RequestId{}));
}

class OutcomeModel : public testing::TestWithParam<Profile>
{
};

/// A rule to switch off, and the index of the profile whose faults then lead to a violation.
struct Mutation
{
    const char *name;
    bool KeyOwnerRules::*rule;
    bool DispatchGateOptions::*gateRule;
    std::size_t profile;
};

const std::array<Mutation, 18> kMutations{{
    {"needsQuorum", &KeyOwnerRules::needsQuorum, nullptr, 0},
    {"voteOutNeedsMajority", &KeyOwnerRules::voteOutNeedsMajority, nullptr, 1},
    {"supportFromSendTime", &KeyOwnerRules::supportFromSendTime, nullptr, 0},
    {"votesArePermanent", &KeyOwnerRules::votesArePermanent, nullptr, 0},
    {"joinNeedsEveryMember", &KeyOwnerRules::joinNeedsEveryMember, nullptr, 0},
    {"endFloor", &KeyOwnerRules::endFloor, nullptr, 0},
    {"joinFloor", &KeyOwnerRules::joinFloor, nullptr, 0},
    {"floorMargin", &KeyOwnerRules::floorMargin, nullptr, 0},
    {"futureCheck", &KeyOwnerRules::futureCheck, nullptr, 0},
    {"expiryCheck", &KeyOwnerRules::expiryCheck, nullptr, 0},
    {"keepsRecords", &KeyOwnerRules::keepsRecords, nullptr, 0},
    {"refusalsAreFinal", &KeyOwnerRules::refusalsAreFinal, nullptr, 0},
    {"handoverNeedsEqualView", &KeyOwnerRules::handoverNeedsEqualView, nullptr, 5},
    {"retryNeedsProof", &KeyOwnerRules::retryNeedsProof, nullptr, 0},
    {"needsFounders", &KeyOwnerRules::needsFounders, nullptr, 0},
    {"recordsDispatches", nullptr, &DispatchGateOptions::recordsDispatches, 0},
    {"checksProcessStart", nullptr, &DispatchGateOptions::checksProcessStart, 0},
    {"checksDeadline", nullptr, &DispatchGateOptions::checksDeadline, 0},
}};

constexpr std::uint64_t kMutationSeeds = 100;

class OutcomeRule : public testing::TestWithParam<Mutation>
{
};

template<typename T>
std::string nameOfCase(const testing::TestParamInfo<T> &info)
{
    return info.param.name;
}

const RequestId kKey{1, 2};

} // namespace

TEST_P(OutcomeModel, NoHistoryHasViolations)
{
    HistoryCounts sum;
    for (std::uint64_t seed = 1; seed <= countSeeds(GetParam()); ++seed) {
        auto options = GetParam().options;
        options.seed = seed;
        const auto history = Simulation(options).run();
        ASSERT_TRUE(checkHistory(history).empty()) << "seed " << seed << "\n" << describeViolation(options);
        sum += countHistory(history);
    }
    RecordProperty("keys", static_cast<int>(sum.keys));
    RecordProperty("executed", static_cast<int>(sum.executed));
    RecordProperty("unknown", static_cast<int>(sum.unknown));
    EXPECT_GT(sum.executed * 10, sum.keys) << "fewer than a tenth of the keys were executed: the faults leave too little to check";
}

INSTANTIATE_TEST_SUITE_P(Faults, OutcomeModel, testing::ValuesIn(kProfiles), nameOfCase<Profile>);

TEST_P(OutcomeRule, ViolationIsFoundWhenSwitchedOff)
{
    const auto &mutation = GetParam();
    auto options = kProfiles.at(mutation.profile).options;
    if (mutation.rule) {
        options.rules.*mutation.rule = false;
    } else {
        options.gate.*mutation.gateRule = false;
    }
    for (options.seed = 1; options.seed <= kMutationSeeds; ++options.seed) {
        if (!checkHistory(Simulation(options).run()).empty()) {
            return;
        }
    }
    FAIL() << "expected a violation with the rule switched off, but no history has one";
}

INSTANTIATE_TEST_SUITE_P(Rules, OutcomeRule, testing::ValuesIn(kMutations), nameOfCase<Mutation>);

TEST(OutcomeModelQuiet, WithoutFaultsNearlyAllKeysAreAnswered)
{
    const ModelOptions options{.faultInterval = 0ms, .lossShare = 0, .duplicateShare = 0, .lateShare = 0, .refusedShare = 0};
    const auto counts = countHistory(Simulation(options).run());
    // 3% of the keys are dated up to 2 s off, so that some are beyond the clock tolerance and are refused.
    EXPECT_GE(counts.answered * 100, counts.keys * 95);
}

TEST(OutcomeChecker, AcceptsHistoriesWithoutViolations)
{
    EXPECT_TRUE(checkHistory({{kKey, {.executions = {"a"}, .answers = {"a", "a"}, .unknown = 2}}}).empty());
    EXPECT_TRUE(checkHistory({{kKey, {.notRun = 2, .unknown = 1}}}).empty());
}

TEST(OutcomeChecker, RejectsEachKindOfViolation)
{
    EXPECT_FALSE(checkHistory({{kKey, {.executions = {"a", "b"}}}}).empty()) << "executed twice";
    EXPECT_FALSE(checkHistory({{kKey, {.executions = {"a"}, .notRun = 1}}}).empty()) << "reported as not run, but executed";
    EXPECT_FALSE(checkHistory({{kKey, {.executions = {"a"}, .answers = {"b"}}}}).empty()) << "answer of another execution";
    EXPECT_FALSE(checkHistory({{kKey, {.answers = {"a"}}}}).empty()) << "answer without an execution";
    EXPECT_FALSE(checkHistory({{kKey, {.executions = {"a"}, .lateStarts = 1}}}).empty()) << "started after the deadline";
}
