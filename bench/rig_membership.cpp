/// @file
/// Measures membership of a full-size fleet in virtual time: traffic, CPU time and memory per node, and the time until a change has
/// reached all nodes. Usage: rig-membership [NODES]. The exit status is 1 when a figure exceeds its bound.

#include <chicoryspar/membership.h>
#include <chicoryspar/wire.h>

#include <array>
#include <cstdlib>
#include <ctime>
#include <iostream>

#include "../tests/membership_network.h"

using namespace chicoryspar;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::size_t kDefaultNodes = 830;
constexpr std::size_t kRackHosts = 40;
/// Budgets of a node for all control work.
constexpr double kBandwidthBudgetBytesPerSecond = 9000;
constexpr double kCpuBudgetCorePercent = 1.4;
constexpr double kMemoryBudgetMegabytes = 128;
/// All nodes must have received a drain or a leave within this time, since an upstream gets no new calls after it.
constexpr Duration kDrainPropagationBound = seconds(2);
/// Bound on the time until all nodes have detected an unplanned loss.
constexpr Duration kLossDetectionBound = seconds(30);
/// Bound on the time until all views are equal after all nodes started at once.
constexpr Duration kStartConvergenceBound = seconds(120);
/// Names of the message bodies, in the order of MembershipMessage::body.
constexpr std::array<std::string_view, std::variant_size_v<decltype(MembershipMessage::body)>> kBodyNames{
    "gossip", "probe", "ack", "probe-request", "digest", "summary", "record-request", "records"};

bool g_isWithinBounds = true;

double cpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double toSeconds(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

void checkBound(std::string_view name, double value, double bound, std::string_view unit)
{
    const bool isWithin = value <= bound;
    g_isWithinBounds = g_isWithinBounds && isWithin;
    std::cout << "  " << name << ": " << value << " " << unit << " (bound " << bound << ") " << (isWithin ? "ok" : "OVER") << "\n";
}

void checkDuration(std::string_view name, std::optional<Duration> took, Duration bound)
{
    checkBound(name, took ? toSeconds(*took) : toSeconds(bound) * 1e6, toSeconds(bound), "s");
}

/// Prints the traffic over @a length of an average node and of the busiest node, and checks traffic and CPU time against the budgets.
void checkTraffic(FakeNetwork &network, Duration length, double cpuTime)
{
    double total = 0;
    double busiest = 0;
    double messages = 0;
    std::size_t running = 0;
    std::array<std::uint64_t, kBodyNames.size()> byKind{};
    for (const auto &it : network.hosts()) {
        for (std::size_t n = 0; n < byKind.size(); ++n) {
            byKind[n] += it.sentBytesByKind[n];
        }
        const auto bytes = static_cast<double>(it.sentBytes + it.receivedBytes);
        total += bytes;
        busiest = std::max(busiest, bytes);
        messages += static_cast<double>(it.sentMessages + it.receivedMessages);
        running += it.node != nullptr ? 1 : 0;
    }
    const auto n = static_cast<double>(running);
    const auto time = toSeconds(length);
    std::cout << "  bytes/s sent per node, by message body:";
    for (std::size_t it = 0; it < byKind.size(); ++it) {
        std::cout << " " << kBodyNames[it] << " " << static_cast<double>(byKind[it]) / n / time;
    }
    std::cout << "\n  messages sent and received: " << messages / n / time << " /s per node\n";
    checkBound("bytes sent and received, average node", total / n / time, kBandwidthBudgetBytesPerSecond, "B/s");
    checkBound("bytes sent and received, busiest node", busiest / time, kBandwidthBudgetBytesPerSecond, "B/s");
    checkBound("CPU time, including the simulated network", cpuTime / n / time * 100, kCpuBudgetCorePercent, "% of a core");
    network.resetTraffic();
}

/// Runs @a action, then the network until at least @a length has passed, and checks the traffic.
template<typename Action>
void measure(FakeNetwork &network, std::string_view name, Duration length, Action action)
{
    std::cout << name << "\n";
    network.resetTraffic();
    const auto begin = network.now();
    const auto cpuTime = cpuSeconds();
    action();
    if (network.now() - begin < length) {
        network.run(length - (network.now() - begin));
    }
    checkTraffic(network, network.now() - begin, cpuSeconds() - cpuTime);
}

auto hasState(NodeId id, MemberState state)
{
    return [id, state](const Membership &node) {
        const auto *member = node.find(id);
        return member != nullptr && member->state == state;
    };
}

auto hasReadiness(NodeId id, BackendReadiness readiness)
{
    return [id, readiness](const Membership &node) { return node.find(id)->info.readiness == readiness; };
}

void measureStart(FakeNetwork &network, std::size_t nodes)
{
    measure(network, "all nodes start at once, first 2 minutes", minutes(2), [&] {
        for (std::size_t n = 0; n < nodes; ++n) {
            network.addHost();
        }
        for (std::size_t n = 0; n < nodes; ++n) {
            network.start(n);
        }
        checkDuration("time until all views are equal and complete",
                      network.runUntil(
                          minutes(5), [&] { return network.hasConverged(); }, milliseconds(500)),
                      kStartConvergenceBound);
    });
    network.run(minutes(1));
    measure(network, "idle, 1 minute", minutes(1), [] {});
    std::size_t bytes = 0;
    for (const auto &it : network.hosts()) {
        bytes = std::max(bytes, it.node->memoryBytes());
    }
    checkBound("memory of the view", static_cast<double>(bytes) / 1e6, kMemoryBudgetMegabytes, "MB");
}

void measureDrainsAndLeave(FakeNetwork &network)
{
    constexpr int kDrains = 20;
    Duration worst{};
    measure(network, "20 backend servers start to drain, one every 3 s", seconds(60), [&] {
        for (std::size_t n = 0; n < kDrains; ++n) {
            const auto id = network.hosts()[n].info.id;
            network.announce(n, BackendReadiness::Draining);
            const auto took =
                network.runUntil(minutes(1), [&] { return network.allNodesSatisfy(hasReadiness(id, BackendReadiness::Draining)); });
            worst = std::max(worst, took.value_or(minutes(10)));
            network.run(seconds(3));
        }
    });
    checkDuration("time until all nodes have the change, slowest", worst, kDrainPropagationBound);
    measure(network, "one node leaves", seconds(60), [&] {
        const auto id = network.hosts()[30].info.id;
        network.leave(30);
        checkDuration("time until all nodes have the change",
                      network.runUntil(minutes(1), [&] { return network.allNodesSatisfy(hasState(id, MemberState::Left)); }),
                      kDrainPropagationBound);
        network.run(kLeaveTime);
        network.kill(30);
    });
}

void measureNodeLoss(FakeNetwork &network, std::size_t nodes)
{
    measure(network, "one node is lost", seconds(60), [&] {
        const auto id = network.hosts()[31].info.id;
        network.kill(31);
        checkDuration("time until all nodes list it as dead",
                      network.runUntil(minutes(2), [&] { return network.allNodesSatisfy(hasState(id, MemberState::Dead)); }),
                      kLossDetectionBound);
    });
    const auto rack = std::min(kRackHosts, nodes / 4);
    measure(network, "a rack of nodes is lost", seconds(60), [&] {
        for (std::size_t n = 0; n < rack; ++n) {
            network.kill(nodes - 1 - n);
        }
        checkDuration("views agree again",
                      network.runUntil(
                          minutes(5), [&] { return network.hasConverged(); }, milliseconds(500)),
                      kLossDetectionBound);
    });
    measure(network, "the rack restarts", seconds(60), [&] {
        for (std::size_t n = 0; n < rack; ++n) {
            network.start(nodes - 1 - n);
        }
        checkDuration("views agree again",
                      network.runUntil(
                          minutes(5), [&] { return network.hasConverged(); }, milliseconds(500)),
                      kLossDetectionBound);
    });
}

void measurePartition(FakeNetwork &network)
{
    measure(network, "partition between the regions, 3 minutes", minutes(3), [&] {
        network.setPartitioned(true);
        const auto hasOnlyOwnRegion = [&](const Membership &node) { return node.presentCount() <= network.hosts().size() / 2 + 1; };
        checkDuration("time until each region lists only its own nodes",
                      network.runUntil(
                          minutes(3), [&] { return network.allNodesSatisfy(hasOnlyOwnRegion); }, milliseconds(500)),
                      minutes(1));
    });
    measure(network, "the partition ends", minutes(1), [&] {
        network.setPartitioned(false);
        checkDuration("views agree again",
                      network.runUntil(
                          minutes(10), [&] { return network.hasConverged(); }, milliseconds(500)),
                      minutes(1));
    });
}

void measureMessageLoss(FakeNetwork &network)
{
    const auto takeDeathCount = [&network] {
        std::uint64_t died = 0;
        for (auto &it : network.hosts()) {
            died += static_cast<std::uint64_t>(std::count_if(
                it.changes.begin(), it.changes.end(), [](const MemberChange &change) { return change.kind == MemberChangeKind::Died; }));
            it.changes.clear();
        }
        return died;
    };
    takeDeathCount();
    measure(network, "5 % message loss, 2 minutes", minutes(2), [&] { network.setLoss(0.05); });
    checkBound("running members declared dead, over all views", static_cast<double>(takeDeathCount()), 0, "");
    network.setLoss(0);
}

/// Measures the CPU time of encoding and decoding full messages, which the simulated network doesn't do.
void measureCodec()
{
    constexpr int kRounds = 20'000;
    MembershipMessage message;
    MemberInfo info{.name = "orders-node-100", .region = "region-0", .zone = "zone-1", .address = "10.1.2.3:7400", .service = "service-12"};
    while (packedSizeBound(message) + packedSizeBound(MemberUpdate{.info = info}) <= kMaxMessageBytes) {
        message.updates.push_back(MemberUpdate{.id = makeNodeId(info.name), .info = info});
    }
    std::size_t decoded = 0;
    const auto cpuTime = cpuSeconds();
    for (int n = 0; n < kRounds; ++n) {
        decoded += decodePayload<MembershipMessage>(encodePayload(message))->updates.size();
    }
    const auto perMessage = (cpuSeconds() - cpuTime) / kRounds;
    std::cout << "encoding and decoding a message of " << decoded / kRounds << " records: " << perMessage * 1e6 << " us\n";
    // Assumes that the whole bandwidth budget goes into full messages.
    const auto messagesPerSecond = kBandwidthBudgetBytesPerSecond / static_cast<double>(kMaxMessageBytes);
    checkBound("CPU time of encoding and decoding at the bandwidth budget", perMessage * messagesPerSecond * 100, kCpuBudgetCorePercent,
               "% of a core");
}

} // namespace

int main(int argc, char **argv)
{
    const auto nodes = argc > 1 ? static_cast<std::size_t>(std::strtoul(argv[1], nullptr, 10)) : kDefaultNodes;
    std::cout << nodes << " nodes\n";
    FakeNetwork network({.seed = 7});
    measureStart(network, nodes);
    measureDrainsAndLeave(network);
    measureNodeLoss(network, nodes);
    measurePartition(network);
    measureMessageLoss(network);
    std::size_t largest = 0;
    for (const auto &it : network.hosts()) {
        largest = std::max(largest, it.largestMessage);
    }
    checkBound("largest message", static_cast<double>(largest), static_cast<double>(kMaxMessageBytes), "B");
    measureCodec();
    return g_isWithinBounds ? 0 : 1;
}
