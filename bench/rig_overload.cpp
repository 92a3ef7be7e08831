/// @file
/// Benchmark of overload decisions in virtual time. Checks bounds on goodput, recovery time, wasted work, the order of refusal and
/// attempts.

#include <cstdio>
#include <cstdlib>
#include <numeric>

#include "bench/rig_client.h"

using namespace chicoryspar;
using namespace chicoryspar::rig;

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr Duration kColdStartEnd = std::chrono::seconds(8);
constexpr double kRecoveredGoodputShare = 0.95;
/// Lowest baseline that recovery is measured against, for runs whose goodput was lower already before the disturbance.
constexpr double kMinRecoveryBaseline = 0.5;

struct ChainSize
{
    std::string name;
    std::vector<ServiceSize> services;
};

/// Bounds for one scenario; a negative bound isn't checked.
struct Bounds
{
    double minGoodput = -1;
    double maxRecoverySeconds = -1;
};

/// One column of the table, for one control.
struct Column
{
    Control control;
    /// Measured only when selected by name or by "all".
    bool isOptIn = false;
};

struct Scenario
{
    Disturbance disturbance;
    Bounds bounds;
};

struct Row
{
    /// Goodput during the disturbance as a share of the attainable one.
    double goodput = 0;
    double recoverySeconds = 0;
    double wastedShare = 0;
    double completedOrderShare = 0;
    Totals totals;
};

constexpr double kMaxWastedShare = 0.05;

std::vector<ChainSize> chains()
{
    const ServiceSize largeService;
    const ServiceSize treasury{.slots = 5, .connections = 130, .meanServiceTime = std::chrono::milliseconds(20)};
    const ServiceSize prensas{.slots = 7, .connections = 140, .meanServiceTime = std::chrono::milliseconds(20)};
    std::vector<ServiceSize> graniteNine(8, largeService);
    graniteNine.push_back(treasury);
    std::vector<ServiceSize> valparaisoNine(8, largeService);
    valparaisoNine.push_back(prensas);
    return {
        {"granite-3", {largeService, largeService, treasury}},
        {"granite-9", graniteNine},
        {"valparaiso-3", {largeService, largeService, prensas}},
        {"valparaiso-9", valparaisoNine},
    };
}

std::vector<Scenario> scenarios()
{
    return {
        {{.name = "a-slow-5x", .slowdown = 5}, {.maxRecoverySeconds = 3}},
        {{.name = "b-surge-4x", .surge = 4}, {.minGoodput = 0.95, .maxRecoverySeconds = 3}},
        {{.name = "c-hard-retries", .surge = 1.7, .aggressiveRetries = true}, {.maxRecoverySeconds = 3}},
        {{.name = "d-all", .surge = 4, .slowdown = 5, .aggressiveRetries = true}, {.minGoodput = 0.9, .maxRecoverySeconds = 3}},
        {{.name = "e-lying", .surge = 1.7, .overstatesSlots = true, .contention = 0.5}, {}},
        {{.name = "f-slow-upstream", .slowUpstream = 10}, {}},
    };
}

/// Returns the columns of the table. "now" has the default settings and is the only one whose bounds are checked.
std::vector<Column> columns()
{
    return {
        {{.name = "none", .hasGate = false, .pushBack = 0, .hasBudget = false}},
        {{.name = "static", .algorithm = LimitAlgorithm::Static, .pushBack = 0, .hasBudget = false}},
        {{.name = "now"}},
        {{.name = "aimd", .algorithm = LimitAlgorithm::Aimd}, true},
        {{.name = "gradient", .algorithm = LimitAlgorithm::Gradient}, true},
        {{.name = "levels", .algorithm = LimitAlgorithm::Static}, true},
    };
}

bool isSelected(const Column &column, const std::string &selection)
{
    return selection.empty() ? !column.isOptIn : selection == "all" || selection == column.control.name;
}

double ratePerSecond(const std::vector<std::uint32_t> &countsPerInterval, Duration from, Duration to)
{
    const auto first = countsPerInterval.begin() + from / kSampleInterval;
    const auto last = countsPerInterval.begin() + to / kSampleInterval;
    return std::accumulate(first, last, 0.0) / std::chrono::duration<double>(to - from).count();
}

/// Returns the goodput as a share of the offered load. The share can be compared before and after the disturbance, as both periods have the
/// same offered load apart from the randomness of arrivals.
double completedShare(const Totals &totals, Duration from, Duration to)
{
    return ratePerSecond(totals.completedPerInterval, from, to) / ratePerSecond(totals.offeredPerInterval, from, to);
}

/// Returns the seconds from the end of the disturbance to the first second with kRecoveredGoodputShare of the earlier goodput, or to the
/// end of the run.
double measureRecovery(const Disturbance &disturbance, const Totals &totals)
{
    const auto earlier = std::max(kMinRecoveryBaseline, completedShare(totals, kColdStartEnd, disturbance.start));
    const Duration second = std::chrono::seconds(1);
    for (auto it = disturbance.end; it + second <= disturbance.stop; it += kSampleInterval) {
        if (completedShare(totals, it, it + second) >= earlier * kRecoveredGoodputShare) {
            return std::chrono::duration<double>(it - disturbance.end).count();
        }
    }
    return std::chrono::duration<double>(disturbance.stop - disturbance.end).count();
}

Row measure(const Control &control, const Disturbance &disturbance, const ChainSize &size, std::uint64_t seed)
{
    const Workload workload{disturbance, size.services};
    Client client(control, workload, seed);
    Row row;
    row.totals = client.run();
    const auto idealGoodput = std::min(workload.offeredRate(TimePoint(disturbance.start)), workload.capacity(TimePoint(disturbance.start)));
    row.goodput = ratePerSecond(row.totals.completedPerInterval, disturbance.start, disturbance.end) / idealGoodput;
    row.recoverySeconds = measureRecovery(disturbance, row.totals);
    row.wastedShare = row.totals.wastedServiceSeconds / (row.totals.usefulServiceSeconds + row.totals.wastedServiceSeconds);
    const auto order = static_cast<std::size_t>(RequestClass::Order);
    row.completedOrderShare = static_cast<double>(row.totals.completed[order]) / static_cast<double>(row.totals.offered[order]);
    return row;
}

struct BoundsChecker
{
    int misses = 0;

    void require(bool isMet, const std::string &bound)
    {
        if (!isMet) {
            std::printf("MISS %s\n", bound.c_str());
            ++misses;
        }
    }
};

void checkBounds(BoundsChecker &checker, const std::string &name, const Bounds &bounds, const Row &row)
{
    const auto &totals = row.totals;
    checker.require(bounds.minGoodput < 0 || row.goodput >= bounds.minGoodput, name + " goodput below its bound");
    checker.require(bounds.maxRecoverySeconds < 0 || row.recoverySeconds <= bounds.maxRecoverySeconds,
                    name + " recovery slower than its bound");
    checker.require(row.wastedShare <= kMaxWastedShare, name + " wasted work above its bound");
    checker.require(totals.orderPrecedenceViolations == 0, name + " order refused while a lookup was admitted");
    checker.require(totals.maxAttempts <= 1 + kRetryTokens, name + " attempts beyond the retry budget");
}

void print(const std::string &name, const Control &control, const Row &row)
{
    const auto &refused = row.totals.refused;
    std::printf("%-28s %-8s %7.1f %% %6.1f s %6.1f %% %7.1f %% %8llu %8llu %8llu %4u %5llu\n", name.c_str(), control.name.c_str(),
                row.goodput * 100, row.recoverySeconds, row.wastedShare * 100, row.completedOrderShare * 100,
                static_cast<unsigned long long>(refused[0]), static_cast<unsigned long long>(refused[1]),
                static_cast<unsigned long long>(refused[2]), row.totals.maxAttempts,
                static_cast<unsigned long long>(row.totals.orderPrecedenceViolations));
    std::fflush(stdout);
}

} // namespace

/// Usage: rig-overload [part of a row name [column [seed]]]
int main(int argc, char **argv)
{
    const std::string selectedRow = argc > 1 ? argv[1] : "";
    const std::string selectedColumn = argc > 2 ? argv[2] : "";
    const std::uint64_t seed = argc > 3 ? std::strtoull(argv[3], nullptr, 10) : kSeed;
    BoundsChecker checker;
    std::printf("%-28s %-8s %9s %8s %8s %9s %8s %8s %8s %4s %5s\n", "scenario", "control", "goodput", "recovery", "wasted", "orders",
                "refused:l", "standard", "order", "att", "rule");
    for (const auto &size : chains()) {
        for (const auto &scenario : scenarios()) {
            const auto name = size.name + "/" + scenario.disturbance.name;
            if (name.find(selectedRow) == std::string::npos) {
                continue;
            }
            for (const auto &column : columns()) {
                if (!isSelected(column, selectedColumn)) {
                    continue;
                }
                const auto &control = column.control;
                const auto row = measure(control, scenario.disturbance, size, seed);
                print(name, control, row);
                if (control.name == "now") {
                    checkBounds(checker, name, scenario.bounds, row);
                }
            }
        }
    }
    std::printf("%d bounds missed\n", checker.misses);
    return checker.misses > 0 ? 1 : 0;
}
