/// @file
/// Tests of membership in virtual time: convergence after random sequences of faults, and time and traffic bounds in large fleets.

#include "membership_network.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace chicoryspar;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::size_t kFullFleetNodes = 830;
/// All nodes must have received a drain within this time, since an upstream gets no new calls after it.
constexpr Duration kDrainPropagationBound = seconds(2);

/// A simulated fleet with a random sequence of faults.
class FaultHistory
{
public:
    FaultHistory(std::uint64_t seed, std::size_t hosts)
        : m_network({.seed = seed, .contactCount = 2})
    {
        for (std::size_t n = 0; n < hosts; ++n) {
            m_network.addHost();
        }
        for (std::size_t n = 0; n < hosts; ++n) {
            m_network.start(n);
        }
    }

    void runFaults(int count)
    {
        for (int n = 0; n < count; ++n) {
            injectOne();
            m_network.run(milliseconds(drawBelow(m_network.random(), 9000)));
        }
    }

    /// Ends the partition and the message loss, and starts the contacts that don't run. In production the platform's service or the
    /// seeds ensure that some contact runs.
    void endFaults()
    {
        m_network.setPartitioned(false);
        m_network.setLoss(0);
        for (std::size_t n = 0; n < 2; ++n) {
            if (!m_network.hosts()[n].node) {
                m_network.start(n);
            }
        }
    }

    FakeNetwork &network()
    {
        return m_network;
    }

private:
    void injectOne()
    {
        auto &random = m_network.random();
        const auto n = drawBelow(random, m_network.hosts().size());
        auto &host = m_network.hosts()[n];
        switch (drawBelow(random, 8)) {
        case 0:
            m_network.setPartitioned(true);
            break;
        case 1:
            m_network.setPartitioned(false);
            break;
        case 2:
            m_network.setLoss(drawUnit(random) * 0.4);
            break;
        case 3:
            m_network.pause(n, milliseconds(drawBelow(random, 20'000)));
            break;
        case 4:
            m_network.kill(n);
            break;
        case 5:
            if (host.node) {
                m_network.leave(n);
                m_network.run(kLeaveTime);
                m_network.kill(n);
            }
            break;
        case 6:
            if (host.node) {
                m_network.announce(n,
                                   static_cast<BackendReadiness>(drawBelow(random, static_cast<std::uint64_t>(BackendReadiness::Count))));
            }
            break;
        default:
            // The clock of the new process may be up to 60 s behind that of the previous one.
            m_network.start(n, milliseconds(static_cast<std::int64_t>(drawBelow(random, 120'000)) - 60'000));
        }
    }

    FakeNetwork m_network;
};

bool allHaveCurrentRecords(FakeNetwork &network)
{
    return network.allNodesSatisfy([&network](const Membership &node) {
        return std::all_of(network.hosts().begin(), network.hosts().end(), [&node](const FakeHost &it) {
            const auto *member = node.find(it.info.id);
            return !it.node || (member != nullptr && member->state == MemberState::Alive && member->info == it.node->self());
        });
    });
}

/// Returns whether each change of a member after its removal has a higher incarnation than the removal.
bool returnOnlyWithHigherIncarnation(const std::vector<MemberChange> &changes)
{
    std::map<NodeId, std::uint64_t> removed;
    for (const auto &it : changes) {
        const auto &info = it.member.info;
        const bool isRemoval = it.kind == MemberChangeKind::Died || it.kind == MemberChangeKind::Left;
        if (isRemoval) {
            removed[info.id] = std::max(removed[info.id], info.incarnation);
        } else if (it.kind != MemberChangeKind::NameConflict && removed.contains(info.id) && info.incarnation <= removed[info.id]) {
            return false;
        }
    }
    return true;
}

NetworkOptions lossyFleet(double loss)
{
    return {.seed = 3, .loss = loss};
}

/// Returns a converged fleet, without recorded changes.
std::unique_ptr<FakeNetwork> makeFleet(std::size_t count, const NetworkOptions &options = {})
{
    auto network = std::make_unique<FakeNetwork>(options);
    for (std::size_t n = 0; n < count; ++n) {
        network->addHost();
    }
    for (std::size_t n = 0; n < count; ++n) {
        network->start(n);
    }
    network->introduceAll();
    network->run(seconds(20));
    for (auto &it : network->hosts()) {
        it.changes.clear();
    }
    return network;
}

std::size_t countChanges(FakeNetwork &network, MemberChangeKind kind)
{
    std::size_t count = 0;
    for (const auto &it : network.hosts()) {
        count += static_cast<std::size_t>(
            std::count_if(it.changes.begin(), it.changes.end(), [kind](const MemberChange &change) { return change.kind == kind; }));
    }
    return count;
}

std::optional<Duration> timeUntilDrainPropagates(FakeNetwork &network, std::size_t n)
{
    const auto id = network.hosts()[n].info.id;
    network.announce(n, BackendReadiness::Draining);
    return network.runUntil(seconds(30), [&] {
        return network.allNodesSatisfy(
            [id](const Membership &node) { return node.find(id)->info.readiness == BackendReadiness::Draining; });
    });
}

void expectDrainsPropagateWithinBound(FakeNetwork &network)
{
    constexpr std::size_t kDrains = 10;
    for (std::size_t n = 0; n < kDrains; ++n) {
        const auto took = timeUntilDrainPropagates(network, n * network.hosts().size() / kDrains);
        ASSERT_TRUE(took.has_value());
        EXPECT_LE(*took, kDrainPropagationBound);
        network.run(seconds(2));
    }
}

} // namespace

// Guards against views that stay different after faults, members that return without a higher incarnation, and oversized messages.
RC_GTEST_PROP(MembershipHistory, AllViewsConvergeAfterTheLastFault, (std::uint64_t seed))
{
    FaultHistory history(seed, 3 + seed % 10);
    history.runFaults(12);
    history.endFaults();
    auto &network = history.network();
    const auto took = network.runUntil(
        minutes(3), [&] { return network.hasConverged() && allHaveCurrentRecords(network); }, milliseconds(500));
    RC_ASSERT(took.has_value());
    for (const auto &it : network.hosts()) {
        RC_ASSERT(returnOnlyWithHigherIncarnation(it.changes));
        RC_ASSERT(it.largestMessage <= kMaxMessageBytes);
    }
}

TEST(MembershipFleet, DrainReachesAllNodesWithinBound)
{
    expectDrainsPropagateWithinBound(*makeFleet(kFullFleetNodes));
}

TEST(MembershipFleet, DrainReachesAllNodesWithinBoundUnderMessageLoss)
{
    expectDrainsPropagateWithinBound(*makeFleet(200, lossyFleet(0.05)));
}

// Lost probes raise suspicions; each must be refuted before the suspicion timeout.
TEST(MembershipFleet, NoRunningMemberIsDeclaredDeadUnderMessageLoss)
{
    auto network = makeFleet(100, lossyFleet(0.1));
    network->run(minutes(5));
    EXPECT_GT(countChanges(*network, MemberChangeKind::Suspected), 0U);
    EXPECT_EQ(countChanges(*network, MemberChangeKind::Died), 0U);
}

TEST(MembershipFleet, KilledMemberIsDeclaredDeadOnAllNodes)
{
    auto network = makeFleet(100);
    const auto id = network->hosts()[50].info.id;
    network->kill(50);
    const auto took = network->runUntil(minutes(1), [&] {
        return network->allNodesSatisfy([id](const Membership &node) { return node.find(id)->state == MemberState::Dead; });
    });
    ASSERT_TRUE(took.has_value());
    EXPECT_LE(*took, seconds(15));
}

// A paused process receives nothing, so after the pause it must not take the other members for unresponsive.
TEST(MembershipFleet, PausedMemberDeclaresNoMemberDeadAndReturnsWithNewBoot)
{
    auto network = makeFleet(30);
    const auto boot = network->hosts()[7].node->self().boot;
    network->pause(7, seconds(40));
    network->run(seconds(41));
    network->runUntil(minutes(1), [&] { return network->hasConverged(); });
    EXPECT_TRUE(network->hasConverged());
    EXPECT_GT(network->hosts()[7].node->self().boot, boot);
    const auto &own = network->hosts()[7].changes;
    EXPECT_TRUE(std::none_of(own.begin(), own.end(), [](const MemberChange &it) { return it.kind == MemberChangeKind::Died; }));
}

TEST(MembershipFleet, ShortPauseKeepsTheBoot)
{
    auto network = makeFleet(30);
    const auto boot = network->hosts()[7].node->self().boot;
    network->pause(7, seconds(3));
    network->run(seconds(30));
    EXPECT_TRUE(network->hasConverged());
    EXPECT_EQ(network->hosts()[7].node->self().boot, boot);
    EXPECT_EQ(countChanges(*network, MemberChangeKind::Died), 0U);
}

// The new process has a lower boot than the old one because its clock is 10 minutes behind.
TEST(MembershipFleet, NewProcessAtTheSameAddressReplacesTheOldOne)
{
    auto network = makeFleet(30);
    const auto id = network->hosts()[7].info.id;
    network->start(7, -minutes(10));
    const auto took = network->runUntil(minutes(1), [&] { return network->hasConverged() && allHaveCurrentRecords(*network); });
    ASSERT_TRUE(took.has_value());
    const auto &changes = network->hosts()[3].changes;
    EXPECT_TRUE(std::any_of(changes.begin(), changes.end(),
                            [id](const MemberChange &it) { return it.kind == MemberChangeKind::Restarted && it.member.info.id == id; }));
}

TEST(MembershipFleet, PartitionedRegionsContinueAndMerge)
{
    auto network = makeFleet(60);
    network->setPartitioned(true);
    const auto partitioned = network->runUntil(
        minutes(1), [&] { return network->allNodesSatisfy([](const Membership &it) { return it.presentCount() == 30; }); });
    ASSERT_TRUE(partitioned.has_value());
    EXPECT_TRUE(timeUntilDrainPropagates(*network, 0).has_value() == false);
    network->setPartitioned(false);
    const auto merged = network->runUntil(minutes(1), [&] { return network->hasConverged() && allHaveCurrentRecords(*network); });
    EXPECT_TRUE(merged.has_value());
}

TEST(MembershipFleet, NodesStartedAtOnceConverge)
{
    FakeNetwork network({.seed = 11, .loss = 0.02});
    for (std::size_t n = 0; n < 150; ++n) {
        network.addHost();
    }
    for (std::size_t n = 0; n < 150; ++n) {
        network.start(n);
    }
    const auto took = network.runUntil(
        minutes(2), [&] { return network.hasConverged(); }, milliseconds(500));
    ASSERT_TRUE(took.has_value());
    EXPECT_LE(*took, minutes(1));
}

// Guards against bursts of records when many nodes join at once.
TEST(MembershipFleet, RestartedRackStaysWithinTrafficBudget)
{
    constexpr std::size_t kRackHosts = 40;
    constexpr std::uint64_t kBandwidthBudgetBytesPerSecond = 9000;
    constexpr auto kWindow = seconds(30);
    auto network = makeFleet(400);
    for (std::size_t n = 0; n < kRackHosts; ++n) {
        network->kill(399 - n);
    }
    network->run(minutes(1));
    network->resetTraffic();
    for (std::size_t n = 0; n < kRackHosts; ++n) {
        network->start(399 - n);
    }
    network->run(kWindow);
    EXPECT_TRUE(network->hasConverged());
    for (const auto &it : network->hosts()) {
        EXPECT_LE(it.sentBytes + it.receivedBytes, kBandwidthBudgetBytesPerSecond * kWindow.count());
    }
}

TEST(MembershipFleet, ChangedConfigDigestReachesSomeMembersAtOnce)
{
    auto network = makeFleet(50);
    network->setConfigDigest(9, 77);
    network->run(milliseconds(100));
    const auto id = network->hosts()[9].info.id;
    const auto updated = std::count_if(network->hosts().begin(), network->hosts().end(),
                                       [id](const FakeHost &it) { return it.node->find(id)->configDigest == 77; });
    EXPECT_GE(updated, 4);
}
