/// @file
/// Tests of ConfigSync in a simulated fleet with random faults: versions never decrease, all nodes converge after the last fault, and
/// the rate of store calls stays bounded.

#include "tests/config_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace chicoryspar;
using namespace chicoryspar::fleet;
using namespace std::chrono_literals;

namespace {

/// Required maximum time from a change in the store until it is in force on all nodes.
constexpr Duration kMaxPropagationTime = 11s;
const std::array<std::string, 3> kNames{"a", "b", "c"};

/// Tracks the version of each object at each node since the node's start.
class VersionMonitor
{
public:
    /// Checks that no version decreased since the last check.
    void check(const Fleet &fleet)
    {
        m_versions.resize(fleet.nodes.size());
        for (std::size_t n = 0; n < fleet.nodes.size(); ++n) {
            for (const auto &name : kNames) {
                const auto *entry = fleet.nodes[n].sync->set().findIncludingDeleted(ObjectKind::RetryPolicy, name);
                const auto version = entry ? entry->object->order() : VersionOrder();
                RC_ASSERT(version >= m_versions[n][name]);
                m_versions[n][name] = version;
            }
        }
    }
    void reset(std::size_t n)
    {
        m_versions.resize(std::max(m_versions.size(), n + 1));
        m_versions[n].clear();
    }

private:
    std::vector<std::map<std::string, VersionOrder>> m_versions;
};

/// Returns the budget of the retry policy that is in force on a node; nothing if there is none.
std::optional<std::uint32_t> budgetInForce(const FleetNode &node, const std::string &name)
{
    const auto *entry = node.sync->set().find(ObjectKind::RetryPolicy, name);
    return entry ? std::optional(std::get<RetryPolicySpec>(entry->object->spec).budget) : std::nullopt;
}

using FleetAction = void (*)(Fleet &fleet, VersionMonitor &monitor, std::size_t n);

void changeObject(Fleet &fleet, VersionMonitor &, std::size_t n)
{
    fleet.store.put(kNames[n % kNames.size()], n % 8);
}
void removeObject(Fleet &fleet, VersionMonitor &, std::size_t n)
{
    fleet.store.remove(kNames[n % kNames.size()]);
}
void toggleStore(Fleet &fleet, VersionMonitor &, std::size_t)
{
    fleet.store.faults.isDown = !fleet.store.faults.isDown;
}
void setListLag(Fleet &fleet, VersionMonitor &, std::size_t n)
{
    fleet.store.faults.listLagVersions = n % 8;
}
void setWatchFaults(Fleet &fleet, VersionMonitor &, std::size_t n)
{
    fleet.store.faults.duplicateEvents = n % 2 == 0;
    fleet.store.faults.reorderEvents = n % 3 == 0;
    fleet.store.faults.isCompacted = n % 5 == 0;
}
void restartNode(Fleet &fleet, VersionMonitor &monitor, std::size_t n)
{
    fleet.startNode(n % fleet.nodes.size());
    monitor.reset(n % fleet.nodes.size());
    fleet.updateMembers();
}
void stopNode(Fleet &fleet, VersionMonitor &, std::size_t n)
{
    fleet.stopNode(n % fleet.nodes.size());
    fleet.updateMembers();
}
void partitionNetwork(Fleet &fleet, VersionMonitor &, std::size_t n)
{
    for (std::size_t it = 0; it < fleet.nodes.size(); ++it) {
        fleet.nodes[it].partition = (it + n) % 3 == 0 ? 1 : 0;
    }
    fleet.updateMembers();
}

void restoreStore(Fleet &fleet, VersionMonitor &, std::size_t n)
{
    fleet.store.restore(n % 6);
}

constexpr std::array<FleetAction, 10> kFleetActions{&changeObject,   &changeObject, &removeObject, &toggleStore,      &setListLag,
                                                    &setWatchFaults, &restartNode,  &stopNode,     &partitionNetwork, &restoreStore};

/// Ends every fault and starts every node.
void endAllFaults(Fleet &fleet, VersionMonitor &monitor)
{
    fleet.store.faults = {};
    for (std::size_t n = 0; n < fleet.nodes.size(); ++n) {
        fleet.nodes[n].partition = 0;
        if (!fleet.nodes[n].isUp) {
            fleet.startNode(n);
            monitor.reset(n);
        }
    }
    fleet.updateMembers();
}

} // namespace

RC_GTEST_PROP(ConfigSync, VersionsNeverDecreaseAndAllNodesConverge, ())
{
    Fleet fleet({.nodes = *rc::gen::inRange<std::size_t>(2, 16), .seed = *rc::gen::arbitrary<std::uint64_t>()});
    VersionMonitor monitor;
    const auto actions = *rc::gen::container<std::vector<std::pair<std::size_t, std::size_t>>>(
        rc::gen::pair(rc::gen::inRange<std::size_t>(0, kFleetActions.size()), rc::gen::inRange<std::size_t>(0, 64)));
    for (const auto &[action, n] : actions) {
        kFleetActions[action](fleet, monitor, n);
        const auto steps = 1 + n * n / 8;
        for (std::size_t it = 0; it < steps; ++it) {
            fleet.step();
            monitor.check(fleet);
        }
    }
    endAllFaults(fleet, monitor);
    // A list from before the faults ended may have been stale; then only the next audit brings the missing versions. An object that was
    // deleted after the store's return from a copy stays in force for its retention, and until the next audit.
    const auto deadline = fleet.now + 90s + FleetOptions().lostObjectRetention;
    while (!fleet.isConverged() && fleet.now < deadline) {
        fleet.step();
        monitor.check(fleet);
    }
    RC_ASSERT(fleet.isConverged());
}

TEST(ConfigSync, ChangeIsInForceOnAllNodesWithinTheBound)
{
    Fleet fleet({.nodes = 830, .zones = 8});
    fleet.store.put("a", 1);
    fleet.run(20s);
    ASSERT_TRUE(fleet.isConverged());
    EXPECT_EQ(fleet.watcherCount(), 16U);
    for (std::uint64_t n = 0; n < 5; ++n) {
        fleet.store.put("a", n + 2);
        const auto start = fleet.now;
        while (!fleet.isConverged() && fleet.now < start + kMaxPropagationTime) {
            fleet.step();
        }
        EXPECT_TRUE(fleet.isConverged());
    }
}

// Guards against pulls that are given up and begun again from another peer while their answers are still on the way.
TEST(ConfigSync, ObjectThatTakesLongerThanThePullTimeoutIsInForceWithinTheBound)
{
    constexpr std::size_t kObjectBytes = 800'000;
    Fleet fleet({.nodes = 10, .zones = 1, .linkBytesPerSecond = 200'000});
    fleet.store.put("a", 1);
    fleet.run(20s);
    ASSERT_TRUE(fleet.isConverged());
    fleet.store.put("a", 2, 0, kObjectBytes);
    fleet.run(kMaxPropagationTime);
    EXPECT_TRUE(fleet.isConverged());
}

namespace {

constexpr std::size_t kLongTextBytes = 300'000;

/// A node that has the object "a", and one that pulls it.
struct PullPair
{
    Random random{1};
    NodeId source = makeNodeId("source");
    NodeId otherSource = makeNodeId("other-source");
    ConfigSync from{{.self = source}, TimePoint(), random};
    ConfigSync to{{.self = makeNodeId("puller")}, TimePoint(), random};
    FakeStore store;

    void list(ConfigSync &sync)
    {
        const std::vector<ParsedObject> objects{parseObject(store.log.back()->text)};
        for (const auto kind : {ObjectKind::Service, ObjectKind::CallerPolicy, ObjectKind::OverloadPolicy, ObjectKind::RetryPolicy,
                                ObjectKind::RoutePolicy, ObjectKind::RouteTable}) {
            sync.onListed(TimePoint(), random, kind, {0, store.log.size()},
                          kind == ObjectKind::RetryPolicy ? std::span(objects) : std::span<const ParsedObject>());
        }
    }
    std::vector<ConfigPullAnswer> pullFrom(NodeId peer, TimePoint now)
    {
        to.onPeerDigest(peer, from.digest());
        EXPECT_EQ(to.startPull(now), peer);
        return from.answerPull(to.makePull());
    }
    std::size_t budget() const
    {
        const auto *entry = to.set().find(ObjectKind::RetryPolicy, "a");
        return entry ? std::get<RetryPolicySpec>(entry->object->spec).budget : 0;
    }
};

} // namespace

TEST(ConfigSync, PullResumesFromAnotherPeer)
{
    PullPair pair;
    pair.store.put("a", 2, 0, kLongTextBytes);
    pair.list(pair.from);
    const auto answers = pair.pullFrom(pair.source, TimePoint(0s));
    ASSERT_GT(answers.size(), 3U);
    pair.to.onPullAnswer(TimePoint(100ms), pair.source, answers[0]);
    pair.to.onPullAnswer(TimePoint(200ms), pair.source, answers[1]);
    EXPECT_EQ(pair.to.startPull(TimePoint(700ms)), std::nullopt);
    EXPECT_TRUE(pair.to.isPulling());

    const auto rest = pair.pullFrom(pair.otherSource, TimePoint(1s));
    EXPECT_EQ(rest.size(), answers.size() - 2);
    EXPECT_EQ(pair.to.counters().failedPulls, 1U);
    EXPECT_EQ(pair.to.counters().resumedPulls, 1U);
    // A part of the first peer that is still on its way.
    pair.to.onPullAnswer(TimePoint(1100ms), pair.source, answers[2]);
    EXPECT_FALSE(pair.to.isConfigured());
    for (const auto &it : rest) {
        pair.to.onPullAnswer(TimePoint(1200ms), pair.otherSource, it);
    }
    EXPECT_TRUE(pair.to.isConfigured());
    EXPECT_EQ(pair.budget(), 2U);
}

TEST(ConfigSync, PullWithAMissingPartIsRepeated)
{
    PullPair pair;
    pair.store.put("a", 2, 0, kLongTextBytes);
    pair.list(pair.from);
    auto answers = pair.pullFrom(pair.source, TimePoint(0s));
    answers.erase(answers.begin() + 1);
    for (const auto &it : answers) {
        pair.to.onPullAnswer(TimePoint(100ms), pair.source, it);
    }
    EXPECT_FALSE(pair.to.isConfigured());
    EXPECT_EQ(pair.to.startPull(TimePoint(200ms)), pair.source);
    for (const auto &it : pair.from.answerPull(pair.to.makePull())) {
        pair.to.onPullAnswer(TimePoint(300ms), pair.source, it);
    }
    EXPECT_TRUE(pair.to.isConfigured());
    EXPECT_EQ(pair.budget(), 2U);
}

TEST(ConfigSync, LatePartOfAnEarlierVersionDoesNotReplaceThoseOfALaterOne)
{
    PullPair pair;
    pair.store.put("a", 2, 0, kLongTextBytes);
    pair.list(pair.from);
    const auto earlier = pair.pullFrom(pair.source, TimePoint(0s));
    pair.store.put("a", 3, 0, kLongTextBytes);
    pair.list(pair.from);
    const auto later = pair.pullFrom(pair.otherSource, TimePoint(1s));
    pair.to.onPullAnswer(TimePoint(1100ms), pair.otherSource, later[0]);
    for (const auto &it : earlier) {
        pair.to.onPullAnswer(TimePoint(1200ms), pair.source, it);
    }
    EXPECT_EQ(pair.budget(), 0U);
    EXPECT_FALSE(pair.to.isConfigured());
    for (std::size_t n = 1; n < later.size(); ++n) {
        pair.to.onPullAnswer(TimePoint(1300ms), pair.otherSource, later[n]);
    }
    EXPECT_EQ(pair.budget(), 3U);
    EXPECT_TRUE(pair.to.isConfigured());
}

// The only peer with the later version may be gone.
TEST(ConfigSync, PullOfAnEarlierVersionReplacesAnIncompleteLaterOne)
{
    PullPair pair;
    pair.store.put("a", 2, 0, kLongTextBytes);
    pair.list(pair.from);
    ConfigSync goneSource{{.self = makeNodeId("gone")}, TimePoint(), pair.random};
    pair.store.put("a", 3, 0, kLongTextBytes);
    pair.list(goneSource);
    pair.to.onPeerDigest(pair.otherSource, goneSource.digest());
    ASSERT_EQ(pair.to.startPull(TimePoint(0s)), pair.otherSource);
    pair.to.onPullAnswer(TimePoint(100ms), pair.otherSource, goneSource.answerPull(pair.to.makePull())[0]);
    for (const auto &it : pair.pullFrom(pair.source, TimePoint(1s))) {
        pair.to.onPullAnswer(TimePoint(1100ms), pair.source, it);
    }
    EXPECT_EQ(pair.budget(), 2U);
    EXPECT_TRUE(pair.to.isConfigured());
}

// Guards a fleet in which some nodes don't accept parts yet.
TEST(ConfigSync, PullWithoutPartsIsAnsweredByWholeTexts)
{
    PullPair pair;
    pair.store.put("a", 2, 0, kLongTextBytes);
    pair.list(pair.from);
    const auto answers = pair.from.answerPull(ConfigPull{});
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].objects.size(), 1U);
    EXPECT_FALSE(answers[0].part.has_value());
}

// Guards against nodes that retry without backoff during an outage, and against all of them calling the store at once when it returns.
TEST(ConfigSync, StoreOutageKeepsCallRateLowWithoutAThunderingHerdAfterwards)
{
    Fleet fleet({.nodes = 200, .zones = 8});
    fleet.store.put("a", 1);
    fleet.run(20s);
    fleet.store.faults.isDown = true;
    fleet.run(10s);
    auto calls = fleet.store.calls;
    fleet.run(60s);
    // The 16 watchers retry every 2 to 4 s; audits by the other nodes add the rest.
    EXPECT_LE(fleet.store.calls - calls, 60U * 10U);
    fleet.store.faults.isDown = false;
    fleet.store.put("a", 2);
    std::uint64_t highest = 0;
    for (int n = 0; n < 20; ++n) {
        calls = fleet.store.calls;
        fleet.run(1s);
        highest = std::max(highest, fleet.store.calls - calls);
    }
    EXPECT_TRUE(fleet.isConverged());
    EXPECT_LE(highest, 100U);
}

TEST(ConfigSync, NewNodesPullFromPeersWhileTheStoreIsDown)
{
    Fleet fleet({.nodes = 40});
    fleet.store.put("a", 1);
    fleet.run(20s);
    fleet.store.faults.isDown = true;
    for (std::size_t n = 0; n < 30; ++n) {
        fleet.startNode(n);
        EXPECT_FALSE(fleet.nodes[n].sync->isConfigured());
    }
    fleet.updateMembers();
    fleet.run(10s);
    EXPECT_TRUE(fleet.isConverged());
}

// A digest from before a change must not count as including it, and one from between two changes only as including the first.
TEST(ConfigSync, FindsWhichDigestsIncludeAVersion)
{
    Fleet fleet({.nodes = 2, .zones = 1});
    fleet.store.put("a", 1);
    fleet.run(20s);
    const auto &sync = *fleet.nodes[0].sync;
    const auto before = sync.digest();
    EXPECT_FALSE(sync.isVersionInDigest(ObjectKind::RetryPolicy, "a", {0, 2}, before));
    fleet.store.put("a", 2);
    fleet.run(5s);
    const auto changed = sync.digest();
    EXPECT_TRUE(sync.isVersionInDigest(ObjectKind::RetryPolicy, "a", {0, 2}, changed));
    EXPECT_FALSE(sync.isVersionInDigest(ObjectKind::RetryPolicy, "a", {0, 2}, before));
    fleet.store.put("b", 2);
    fleet.run(5s);
    EXPECT_NE(sync.digest(), changed);
    EXPECT_TRUE(sync.isVersionInDigest(ObjectKind::RetryPolicy, "a", {0, 2}, changed));
    EXPECT_FALSE(sync.isVersionInDigest(ObjectKind::RetryPolicy, "b", {0, 3}, changed));
}

// The store returns from a copy that lost confirmed writes, and gives their revisions out again.
TEST(ConfigSync, ChangeAfterTheStoresReturnFromACopyIsInForceWithinTheBound)
{
    Fleet fleet({.nodes = 24, .zones = 6});
    fleet.store.era = 1;
    for (std::uint64_t n = 1; n <= 6; ++n) {
        fleet.store.put("a", n, n);
    }
    fleet.run(20s);
    ASSERT_TRUE(fleet.isConverged());
    fleet.store.faults.isDown = true;
    fleet.run(2s);
    fleet.store.restore(4);
    fleet.store.faults.isDown = false;
    fleet.run(4s);
    fleet.store.put("a", 7, 7);
    const auto start = fleet.now;
    while (!fleet.isConverged() && fleet.now < start + 2500ms) {
        fleet.step();
    }
    EXPECT_TRUE(fleet.isConverged());
}

// Until the operator writes it again, the copy holds an older version than the confirmed one.
TEST(ConfigSync, ConfirmedChangeStaysInForceWhenTheStoreReturnsWithoutIt)
{
    Fleet fleet({.nodes = 24, .zones = 6, .lostObjectRetention = 120s});
    fleet.store.era = 1;
    fleet.store.put("a", 3, 3);
    fleet.store.put("a", 5, 5);
    fleet.store.put("b", 1, 1);
    fleet.run(20s);
    fleet.store.faults.isDown = true;
    fleet.run(2s);
    fleet.store.restore(2);
    fleet.store.faults.isDown = false;
    for (const auto end = fleet.now + 60s; fleet.now < end;) {
        fleet.step();
        for (const auto &it : fleet.nodes) {
            ASSERT_EQ(budgetInForce(it, "a"), 5U);
            ASSERT_EQ(budgetInForce(it, "b"), 1U);
        }
    }
    // An older version that the restored store accepts is no newer one either.
    fleet.store.put("a", 4, 4);
    fleet.run(10s);
    for (const auto &it : fleet.nodes) {
        EXPECT_EQ(budgetInForce(it, "a"), 5U);
    }
    fleet.store.put("a", 6, 6);
    fleet.store.remove("b");
    fleet.run(10s);
    EXPECT_TRUE(fleet.isConverged());
}

// The revision from which nodes would resume their watches belongs to another change after the return.
TEST(ConfigSync, ChangeAtTheRevisionToResumeFromIsNotMissedAfterTheStoresReturn)
{
    Fleet fleet({.nodes = 24, .zones = 6});
    fleet.store.era = 1;
    for (std::uint64_t n = 1; n <= 6; ++n) {
        fleet.store.put("a", n, n);
    }
    fleet.run(20s);
    ASSERT_TRUE(fleet.isConverged());
    fleet.store.faults.isDown = true;
    fleet.run(2s);
    fleet.store.restore(2);
    fleet.store.put("a", 6, 6);
    fleet.store.faults.isDown = false;
    fleet.run(4s);
    fleet.store.put("a", 7, 7);
    const auto start = fleet.now;
    while (!fleet.isConverged() && fleet.now < start + 2500ms) {
        fleet.step();
    }
    EXPECT_TRUE(fleet.isConverged());
}

// A list can't tell an object that the store lost from one that was deleted after its return.
TEST(ConfigSync, DeletionAfterTheStoresReturnIsTakenWhenTheRetentionEnds)
{
    Fleet fleet({.nodes = 24, .zones = 6});
    fleet.store.era = 1;
    fleet.store.put("a", 1);
    fleet.store.put("b", 1);
    fleet.run(20s);
    fleet.store.faults.isDown = true;
    fleet.run(2s);
    fleet.store.restore(1);
    fleet.store.remove("a");
    fleet.store.faults.isDown = false;
    fleet.run(100s);
    EXPECT_TRUE(fleet.isConverged());
    for (const auto &it : fleet.nodes) {
        EXPECT_EQ(budgetInForce(it, "a"), std::nullopt);
        EXPECT_EQ(budgetInForce(it, "b"), std::nullopt);
    }
}

// A call that began before the store's return may be answered after the first call of the new era.
TEST(ConfigSync, LateAnswersOfAnEarlierEraChangeNothing)
{
    Random random(7);
    const TimePoint now{};
    ConfigSync sync({.self = makeNodeId("n"), .zone = "z", .kinds = {ObjectKind::RetryPolicy}}, now, random);
    FakeStore store;
    store.era = 1;
    store.put("a", 1);
    store.put("a", 2);
    const std::vector<ParsedObject> before{store.parsedObject(*store.log.back())};
    store.restore(1);
    const std::vector<ParsedObject> after{store.parsedObject(*store.log.back())};
    sync.onListed(now, random, ObjectKind::RetryPolicy, {2, 1}, after);
    const auto digest = sync.digest();
    sync.onWatchEvent(now, ObjectKind::RetryPolicy,
                      {.eventKind = WatchEventKind::Changed, .version = 2, .object = before.front(), .storeEra = 1});
    sync.onListed(now, random, ObjectKind::RetryPolicy, {1, 2}, before);
    EXPECT_EQ(sync.digest(), digest);
    EXPECT_EQ(sync.counters().earlierEraLists, 1U);
    EXPECT_TRUE(sync.storeDownSince());
}

// After a failed watch, the revision to resume from may have been given out again: only a list tells what the store holds.
TEST(ConfigSync, FailedWatchIsFollowedByAList)
{
    Random random(7);
    TimePoint now{};
    ConfigSync sync({.self = makeNodeId("n"), .zone = "z", .kinds = {ObjectKind::RetryPolicy}}, now, random);
    sync.onListed(now, random, ObjectKind::RetryPolicy, {1, 29}, {});
    now += 5s;
    auto calls = sync.takeStoreCalls(now, random);
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_EQ(calls[0].callKind, StoreCallKind::Watch);
    EXPECT_EQ(calls[0].version, 29U);
    sync.onWatchEnded(now, random, ObjectKind::RetryPolicy, StoreCallEnd::Failed);
    now += 5s;
    calls = sync.takeStoreCalls(now, random);
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_EQ(calls[0].callKind, StoreCallKind::List);
    sync.onListed(now, random, ObjectKind::RetryPolicy, {2, 28}, {});
    now += 5s;
    calls = sync.takeStoreCalls(now, random);
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_EQ(calls[0].callKind, StoreCallKind::Watch);
    EXPECT_EQ(calls[0].version, 28U);
}

// Objects without a declared version follow the store, also where the copy holds content that a later write had replaced.
TEST(ConfigSync, ObjectsWithoutADeclaredVersionFollowTheStoresCopy)
{
    Fleet fleet({.nodes = 24, .zones = 6});
    fleet.store.era = 1;
    fleet.store.put("a", 1);
    fleet.store.put("b", 1);
    fleet.run(20s);
    fleet.store.put("a", 2);
    fleet.run(20s);
    ASSERT_TRUE(fleet.isConverged());
    fleet.store.restore(1);
    fleet.run(20s);
    EXPECT_TRUE(fleet.isConverged());
    fleet.store.put("b", 3);
    fleet.run(5s);
    EXPECT_TRUE(fleet.isConverged());
    fleet.store.remove("a");
    fleet.run(5s);
    EXPECT_TRUE(fleet.isConverged());
}

// Open connections to the store that went silent kept old routes in force for seconds: only the end of a long watch showed it. The node is
// alone, so that no peer helps.
RC_GTEST_PROP(ConfigSync, ChangeIsInForceWithinTheBoundAlthoughConnectionsToTheStoreAreSilent, ())
{
    const Duration bound = std::chrono::milliseconds(*rc::gen::inRange(2000, 12'000));
    Fleet fleet({.nodes = 1, .zones = 1, .seed = *rc::gen::arbitrary<std::uint64_t>(), .storeTimeouts = storeTimeoutsFor(bound)});
    fleet.store.put("a", 1);
    fleet.run(20s);
    fleet.store.put("a", 2);
    fleet.run(kStep * *rc::gen::inRange(0, 400));
    fleet.silenceStoreConnections();
    fleet.run(kStep * *rc::gen::inRange(0, 200));
    fleet.store.put("a", 3);
    fleet.run(bound);
    RC_ASSERT(fleet.isConverged());
}

// Guards against a bound so short that the timeouts derived from it leave no time for an answer.
TEST(StoreTimeouts, FitIntoTheBoundAndLeaveTimeForAnswers)
{
    for (const Duration bound : {500ms, 1000ms, 2500ms, 3000ms, 11'000ms}) {
        const auto it = storeTimeoutsFor(bound);
        EXPECT_LT(it.watchDuration + it.watchGrace, bound);
        EXPECT_LT(it.callTimeout, bound);
        EXPECT_GE(it.watchGrace, bound / 20);
        EXPECT_GT(it.watchDuration, it.watchGrace);
    }
}
