/// @file
/// Tests of ConfigSync on random histories of a fleet: versions never fall, all converge after the last fault, the store isn't overrun.

#include "tests/config_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace chicoryspar;
using namespace chicoryspar::fleet;
using namespace std::chrono_literals;

namespace {

/// Bound of the brief's time until a configuration is in force everywhere.
constexpr Duration kInForceBound = 11s;
const std::array<std::string, 3> kNames{"a", "b", "c"};

/// Highest versions seen in force at each node since its start.
class VersionWatch
{
public:
    /// Checks that no version fell.
    void check(const Fleet &fleet)
    {
        m_versions.resize(fleet.nodes.size());
        for (std::size_t n = 0; n < fleet.nodes.size(); ++n) {
            for (const auto &name : kNames) {
                const auto *entry = fleet.nodes[n].sync->set().findIncludingDeleted(ObjectKind::RetryPolicy, name);
                const auto version = entry ? entry->object->version : 0;
                RC_ASSERT(version >= m_versions[n][name]);
                m_versions[n][name] = version;
            }
        }
    }
    void forget(std::size_t n)
    {
        m_versions.resize(std::max(m_versions.size(), n + 1));
        m_versions[n].clear();
    }

private:
    std::vector<std::map<std::string, std::uint64_t>> m_versions;
};

using Act = void (*)(Fleet &fleet, VersionWatch &watch, std::size_t n);

void change(Fleet &fleet, VersionWatch &, std::size_t n)
{
    fleet.store.put(kNames[n % kNames.size()], n % 8);
}
void remove(Fleet &fleet, VersionWatch &, std::size_t n)
{
    fleet.store.remove(kNames[n % kNames.size()]);
}
void toggleStore(Fleet &fleet, VersionWatch &, std::size_t)
{
    fleet.store.faults.isDown = !fleet.store.faults.isDown;
}
void setStale(Fleet &fleet, VersionWatch &, std::size_t n)
{
    fleet.store.faults.staleVersions = n % 8;
}
void setWatchFaults(Fleet &fleet, VersionWatch &, std::size_t n)
{
    fleet.store.faults.duplicate = n % 2 == 0;
    fleet.store.faults.reorder = n % 3 == 0;
    fleet.store.faults.isCompacted = n % 5 == 0;
}
void restart(Fleet &fleet, VersionWatch &watch, std::size_t n)
{
    fleet.start(n % fleet.nodes.size());
    watch.forget(n % fleet.nodes.size());
    fleet.updateMembers();
}
void stop(Fleet &fleet, VersionWatch &, std::size_t n)
{
    fleet.stop(n % fleet.nodes.size());
    fleet.updateMembers();
}
void cut(Fleet &fleet, VersionWatch &, std::size_t n)
{
    for (std::size_t it = 0; it < fleet.nodes.size(); ++it) {
        fleet.nodes[it].side = (it + n) % 3 == 0 ? 1 : 0;
    }
    fleet.updateMembers();
}

constexpr std::array<Act, 9> kActs{&change, &change, &remove, &toggleStore, &setStale, &setWatchFaults, &restart, &stop, &cut};

/// Ends every fault and starts every node.
void heal(Fleet &fleet, VersionWatch &watch)
{
    fleet.store.faults = {};
    for (std::size_t n = 0; n < fleet.nodes.size(); ++n) {
        fleet.nodes[n].side = 0;
        if (!fleet.nodes[n].isUp) {
            fleet.start(n);
            watch.forget(n);
        }
    }
    fleet.updateMembers();
}

} // namespace

RC_GTEST_PROP(ConfigSync, VersionsNeverFallAndAllConverge, ())
{
    Fleet fleet({.nodes = *rc::gen::inRange<std::size_t>(2, 16), .seed = *rc::gen::arbitrary<std::uint64_t>()});
    VersionWatch watch;
    const auto acts = *rc::gen::container<std::vector<std::pair<std::size_t, std::size_t>>>(
        rc::gen::pair(rc::gen::inRange<std::size_t>(0, kActs.size()), rc::gen::inRange<std::size_t>(0, 64)));
    for (const auto &[act, n] : acts) {
        kActs[act](fleet, watch, n);
        const auto steps = 1 + n * n / 8;
        for (std::size_t it = 0; it < steps; ++it) {
            fleet.step();
            watch.check(fleet);
        }
    }
    heal(fleet, watch);
    // A list of the time before may have missed what only the next audit finds.
    const auto deadline = fleet.now + 90s;
    while (!fleet.isConverged() && fleet.now < deadline) {
        fleet.step();
        watch.check(fleet);
    }
    RC_ASSERT(fleet.isConverged());
}

TEST(ConfigSync, ChangeIsInForceEverywhereInTime)
{
    Fleet fleet({.nodes = 830, .zones = 8});
    fleet.store.put("a", 1);
    fleet.run(20s);
    ASSERT_TRUE(fleet.isConverged());
    EXPECT_EQ(fleet.watchers(), 16U);
    for (std::uint64_t n = 0; n < 5; ++n) {
        fleet.store.put("a", n + 2);
        const auto start = fleet.now;
        while (!fleet.isConverged() && fleet.now < start + kInForceBound) {
            fleet.step();
        }
        EXPECT_TRUE(fleet.isConverged());
    }
}

TEST(ConfigSync, OutageOfTheStoreCostsFewCallsAndNoHerdFollows)
{
    Fleet fleet({.nodes = 200, .zones = 8});
    fleet.store.put("a", 1);
    fleet.run(20s);
    fleet.store.faults.isDown = true;
    fleet.run(10s);
    auto calls = fleet.store.calls;
    fleet.run(60s);
    // 16 watchers try once in 2 to 4 s; audits add the rest.
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

TEST(ConfigSync, FreshNodesLearnFromPeersWhileTheStoreIsDown)
{
    Fleet fleet({.nodes = 40});
    fleet.store.put("a", 1);
    fleet.run(20s);
    fleet.store.faults.isDown = true;
    for (std::size_t n = 0; n < 30; ++n) {
        fleet.start(n);
        EXPECT_FALSE(fleet.nodes[n].sync->isConfigured());
    }
    fleet.updateMembers();
    fleet.run(10s);
    EXPECT_TRUE(fleet.isConverged());
}

TEST(ConfigSync, TellsWhichDigestsHoldAChange)
{
    Fleet fleet({.nodes = 2, .zones = 1});
    fleet.store.put("a", 1);
    fleet.run(20s);
    const auto &sync = *fleet.nodes[0].sync;
    const auto before = sync.digest();
    EXPECT_FALSE(sync.isVersionInDigest(ObjectKind::RetryPolicy, "a", 2, before));
    fleet.store.put("a", 2);
    fleet.run(5s);
    const auto changed = sync.digest();
    EXPECT_TRUE(sync.isVersionInDigest(ObjectKind::RetryPolicy, "a", 2, changed));
    EXPECT_FALSE(sync.isVersionInDigest(ObjectKind::RetryPolicy, "a", 2, before));
    fleet.store.put("b", 2);
    fleet.run(5s);
    EXPECT_NE(sync.digest(), changed);
    EXPECT_TRUE(sync.isVersionInDigest(ObjectKind::RetryPolicy, "a", 2, changed));
    EXPECT_FALSE(sync.isVersionInDigest(ObjectKind::RetryPolicy, "b", 3, changed));
}
