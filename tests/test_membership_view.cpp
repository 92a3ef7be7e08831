/// @file
/// Tests of the precedence of claims, the gossip queue, the send budget, the name tables and versions.

#include <chicoryspar/membership.h>

#include "membership/membership_state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace chicoryspar;

namespace {

const NodeId kSubject = makeNodeId("subject");

MemberUpdate makeClaim(std::uint64_t incarnation, std::uint64_t version, MemberState state, bool includesRecord = true)
{
    MemberUpdate claim{.id = kSubject, .incarnation = incarnation, .version = version, .state = state};
    if (includesRecord) {
        claim.info = MemberInfo{.id = kSubject, .name = "subject", .address = "10.0.0.1:1", .incarnation = incarnation, .version = version};
    }
    return claim;
}

/// Returns claims that one process and its observers can make: the process only raises incarnation and version, and observers claim
/// another state for an incarnation and version that the process has published.
std::vector<MemberUpdate> drawClaims(Random &random)
{
    std::vector<MemberUpdate> claims;
    std::uint64_t incarnation = 1;
    std::uint64_t version = 1;
    const auto count = 1 + drawBelow(random, 12);
    for (std::uint64_t n = 0; n < count; ++n) {
        incarnation += drawBelow(random, 2);
        version += drawBelow(random, 2);
        claims.push_back(makeClaim(incarnation, version, MemberState::Alive));
        const auto state = static_cast<MemberState>(drawBelow(random, static_cast<std::uint64_t>(MemberState::Count)));
        claims.push_back(makeClaim(incarnation, version, state));
    }
    return claims;
}

MemberView applyAll(const std::vector<MemberUpdate> &claims)
{
    MemberView view{.self = makeNodeId("self")};
    for (const auto &it : claims) {
        applyClaim(view, TimePoint(), it);
    }
    return view;
}

} // namespace

RC_GTEST_PROP(Claims, ResultIsIndependentOfArrivalOrder, (std::uint64_t seed))
{
    Random random(seed);
    auto claims = drawClaims(random);
    const auto first = applyAll(claims).members.at(kSubject);
    std::shuffle(claims.begin(), claims.end(), random);
    const auto second = applyAll(claims).members.at(kSubject);
    RC_ASSERT(first.state == second.state);
    RC_ASSERT(first.info.incarnation == second.info.incarnation);
    if (first.isPresent()) {
        RC_ASSERT(first.info.version == second.info.version);
    }
}

RC_GTEST_PROP(Claims, ListsOfSuspectsAndOthersMatchTheStates, (std::uint64_t seed))
{
    Random random(seed);
    const auto view = applyAll(drawClaims(random));
    const auto &member = view.members.at(kSubject);
    RC_ASSERT(view.others.size() == (member.isPresent() ? 1U : 0U));
    RC_ASSERT(view.suspects.size() == (member.state == MemberState::Suspect ? 1U : 0U));
}

TEST(Claims, RemovedMemberStaysRemovedInItsIncarnation)
{
    for (const auto state : {MemberState::Dead, MemberState::Left}) {
        auto view = applyAll({makeClaim(5, 5, MemberState::Alive), makeClaim(5, 5, state)});
        EXPECT_EQ(applyClaim(view, TimePoint(), makeClaim(5, 9, MemberState::Alive)), ClaimEffect::None);
        EXPECT_EQ(applyClaim(view, TimePoint(), makeClaim(4, 9, MemberState::Suspect)), ClaimEffect::None);
        EXPECT_EQ(view.members.at(kSubject).state, state);
        EXPECT_EQ(applyClaim(view, TimePoint(), makeClaim(6, 9, MemberState::Alive)), ClaimEffect::Applied);
        EXPECT_EQ(view.members.at(kSubject).state, MemberState::Alive);
    }
}

// Otherwise a claim of the same incarnation that arrives after the death would add the member as alive.
TEST(Claims, DeathOfAnUnknownMemberIsRecorded)
{
    auto view = applyAll({makeClaim(5, 5, MemberState::Dead, false)});
    EXPECT_EQ(applyClaim(view, TimePoint(), makeClaim(5, 5, MemberState::Alive)), ClaimEffect::None);
    EXPECT_TRUE(view.others.empty());
}

TEST(Claims, ClaimOfANewVersionWithoutRecordNeedsTheRecord)
{
    auto view = applyAll({makeClaim(5, 5, MemberState::Alive)});
    EXPECT_EQ(applyClaim(view, TimePoint(), makeClaim(6, 6, MemberState::Alive, false)), ClaimEffect::NeedsRecord);
    EXPECT_EQ(view.members.at(kSubject).info.version, 5U);
    EXPECT_EQ(applyClaim(view, TimePoint(), makeClaim(6, 6, MemberState::Alive)), ClaimEffect::Applied);
    EXPECT_EQ(view.members.at(kSubject).info.version, 6U);
}

TEST(Claims, ChangedBootIsReportedAsRestart)
{
    auto view = applyAll({makeClaim(5, 5, MemberState::Alive)});
    view.changes.clear();
    auto claim = makeClaim(6, 6, MemberState::Alive);
    claim.info->boot = 6;
    applyClaim(view, TimePoint(), claim);
    ASSERT_EQ(view.changes.size(), 1U);
    EXPECT_EQ(view.changes[0].kind, MemberChangeKind::Restarted);
    EXPECT_EQ(view.changes[0].member.info.boot, 6U);
}

TEST(Claims, DeadMembersAreForgottenAfterTheGivenAge)
{
    auto view = applyAll({makeClaim(5, 5, MemberState::Dead)});
    forgetRemoved(view, TimePoint() + std::chrono::seconds(10), std::chrono::seconds(10));
    EXPECT_EQ(view.members.size(), 1U);
    forgetRemoved(view, TimePoint() + std::chrono::seconds(11), std::chrono::seconds(10));
    EXPECT_TRUE(view.members.empty());
}

TEST(GossipQueue, EachUpdateIsSentTheSameNumberOfTimes)
{
    MemberView view{.self = makeNodeId("self")};
    GossipQueue queue;
    constexpr int kMembers = 40;
    constexpr int kLimit = 6;
    for (int n = 0; n < kMembers; ++n) {
        auto claim = makeClaim(1, 1, MemberState::Alive);
        claim.id = makeNodeId("node-" + std::to_string(n));
        applyClaim(view, TimePoint(), claim);
        enqueueUpdate(queue, TimePoint(), claim.id, true, false);
    }
    std::map<NodeId, int> sent;
    for (int n = 0; n < kMembers * kLimit && !queue.updates.empty(); ++n) {
        std::vector<MemberUpdate> updates;
        takeUpdates(queue, view, 700, kLimit, updates);
        for (const auto &it : updates) {
            ++sent[it.id];
        }
    }
    EXPECT_TRUE(queue.updates.empty());
    ASSERT_EQ(sent.size(), static_cast<std::size_t>(kMembers));
    for (const auto &[id, count] : sent) {
        EXPECT_EQ(count, kLimit);
    }
}

RC_GTEST_PROP(SendBudget, NeverSpendsMoreThanRateAndBurst, (const std::vector<std::pair<std::uint16_t, std::uint16_t>> &steps))
{
    SendBudget budget{.bytesPerSecond = 1000, .burstBytes = 5000, .available = 5000};
    TimePoint now;
    double spent = 0;
    for (const auto &[wait, bytes] : steps) {
        now += std::chrono::milliseconds(wait);
        if (budget.trySpend(now, bytes)) {
            spent += bytes;
        }
        RC_ASSERT(spent <= 5000 + 1000 * std::chrono::duration<double>(now.time_since_epoch()).count() + 1e-6);
    }
}

TEST(MemberTables, EveryNameIsFound)
{
    for (std::size_t n = 0; n < static_cast<std::size_t>(MemberState::Count); ++n) {
        const auto state = static_cast<MemberState>(n);
        EXPECT_EQ(findMemberState(rowOf(state).name), std::optional(state));
    }
    for (std::size_t n = 0; n < static_cast<std::size_t>(BackendReadiness::Count); ++n) {
        const auto readiness = static_cast<BackendReadiness>(n);
        EXPECT_EQ(findBackendReadiness(rowOf(readiness).name), std::optional(readiness));
    }
    EXPECT_FALSE(findMemberState("ready"));
}

RC_GTEST_PROP(Versions, IncreaseAndDifferBetweenProcesses,
              (std::uint32_t first, std::uint32_t second, std::uint16_t processA, std::uint16_t processB))
{
    const auto versionA = std::uint64_t{first} << kVersionProcessBits | processA;
    const auto versionB = std::uint64_t{second} << kVersionProcessBits | processB;
    const auto next = nextVersion(versionA, versionB);
    RC_ASSERT(next > versionA);
    RC_ASSERT(next > versionB);
    RC_PRE(processA != processB);
    RC_ASSERT(next != nextVersion(versionB, versionA));
}
