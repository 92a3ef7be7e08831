/// @file
/// Measures the synchronization of configuration in virtual time: store calls per second, time until a change is in force on all
/// nodes, and bytes pulled. Exits with 1 if a result exceeds its bound.

#include "tests/config_fleet.h"

#include <cstdio>
#include <cstdlib>

using namespace chicoryspar;
using namespace chicoryspar::fleet;
using namespace std::chrono_literals;

namespace {

constexpr double kMaxPropagationSeconds = 11;
/// Configuration may take a tenth of the store's 2000 reads per second.
constexpr double kMaxStoreCallsPerSecond = 200;
constexpr int kChanges = 40;
constexpr int kObjects = 150;
constexpr Duration kSteadyDuration = 120s;
constexpr Duration kOutageDuration = 60s;

struct Measurements
{
    double steadyCallsPerSecond = 0;
    double outageCallsPerSecond = 0;
    double peakCallsPerSecondAfterOutage = 0;
    double medianSeconds = 0;
    double slowestSeconds = 0;
    double afterOutageSeconds = 0;
    double newNodesSeconds = 0;
    double bytesPerChangeAndNode = 0;
};

double seconds(Duration value)
{
    return static_cast<double>(value.count()) / 1e6;
}

double timeUntilConverged(Fleet &fleet)
{
    const auto start = fleet.now;
    while (!fleet.isConverged() && fleet.now < start + 120s) {
        fleet.step();
    }
    return seconds(fleet.now - start);
}

double callsPerSecond(Fleet &fleet, Duration duration)
{
    const auto before = fleet.store.calls;
    fleet.run(duration);
    return static_cast<double>(fleet.store.calls - before) / seconds(duration);
}

void measureChanges(Fleet &fleet, Measurements &results)
{
    std::vector<double> times;
    const auto bytesBefore = fleet.pulledBytes;
    for (int n = 0; n < kChanges; ++n) {
        fleet.store.put("object-" + std::to_string(n % kObjects), static_cast<std::uint64_t>(n % 8));
        times.push_back(timeUntilConverged(fleet));
        fleet.run(1s);
    }
    std::sort(times.begin(), times.end());
    results.medianSeconds = times[times.size() / 2];
    results.slowestSeconds = times.back();
    results.bytesPerChangeAndNode =
        static_cast<double>(fleet.pulledBytes - bytesBefore) / kChanges / static_cast<double>(fleet.nodes.size());
}

void measureOutage(Fleet &fleet, Measurements &results)
{
    fleet.store.faults.isDown = true;
    results.outageCallsPerSecond = callsPerSecond(fleet, kOutageDuration);
    fleet.store.faults.isDown = false;
    fleet.store.put("object-0", 1);
    results.afterOutageSeconds = timeUntilConverged(fleet);
    for (int n = 0; n < 20; ++n) {
        results.peakCallsPerSecondAfterOutage = std::max(results.peakCallsPerSecondAfterOutage, callsPerSecond(fleet, 1s));
    }
}

/// Measures the time until nodes without state converge from their peers: a tenth of the nodes restart while the store is down.
void measureNewNodes(Fleet &fleet, Measurements &results)
{
    fleet.store.faults.isDown = true;
    for (std::size_t n = 0; n < fleet.nodes.size(); n += 10) {
        fleet.startNode(n);
    }
    fleet.updateMembers();
    results.newNodesSeconds = timeUntilConverged(fleet);
    fleet.store.faults.isDown = false;
}

Measurements measure(std::size_t nodes)
{
    Measurements results;
    Fleet fleet({.nodes = nodes, .zones = 8, .seed = 20261204});
    for (int n = 0; n < kObjects; ++n) {
        fleet.store.put("object-" + std::to_string(n), 3);
    }
    fleet.run(30s);
    results.steadyCallsPerSecond = callsPerSecond(fleet, kSteadyDuration);
    measureChanges(fleet, results);
    measureOutage(fleet, results);
    measureNewNodes(fleet, results);
    return results;
}

bool isWithinBounds(const Measurements &results)
{
    return results.slowestSeconds <= kMaxPropagationSeconds && results.afterOutageSeconds <= kMaxPropagationSeconds
        && results.steadyCallsPerSecond <= kMaxStoreCallsPerSecond && results.peakCallsPerSecondAfterOutage <= kMaxStoreCallsPerSecond;
}

} // namespace

int main()
{
    std::printf("%6s %14s %14s %14s %12s %12s %12s %12s %16s\n", "nodes", "calls/s steady", "calls/s outage", "calls/s after", "median s",
                "slowest s", "after out. s", "fresh s", "bytes/change");
    bool areAllWithinBounds = true;
    for (const std::size_t nodes : {20, 80, 200, 830}) {
        const auto it = measure(nodes);
        std::printf("%6zu %14.2f %14.2f %14.2f %12.2f %12.2f %12.2f %12.2f %16.0f\n", nodes, it.steadyCallsPerSecond,
                    it.outageCallsPerSecond, it.peakCallsPerSecondAfterOutage, it.medianSeconds, it.slowestSeconds, it.afterOutageSeconds,
                    it.newNodesSeconds, it.bytesPerChangeAndNode);
        areAllWithinBounds = areAllWithinBounds && isWithinBounds(it);
    }
    return areAllWithinBounds ? EXIT_SUCCESS : EXIT_FAILURE;
}
