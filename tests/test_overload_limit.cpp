/// @file
/// Tests of the throughput algorithm: the limit falls where slots only add queueing, and stays where a slow backend server uses them.

#include <cmath>
#include <functional>

#include <gtest/gtest.h>

#include "overload/limit.h"

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kAnnouncedSlots = 20;

/// Share of its slots in use from which the latency of a backend server rises, and the factor of the rise, as in the users' smallest
/// services.
constexpr double kKneeShare = 0.95;
constexpr double kKneeFactor = 1.3;

/// Simulates a backend server with exponential latencies for two minutes: 300 calls one by one, then saturation.
/// @param latencyAt mean latency in seconds for a number of calls in flight
/// @returns the mean limit of the last 20 s
double settledLimit(std::uint64_t seed, const std::function<double(double)> &latencyAt, std::uint32_t slots = kAnnouncedSlots)
{
    Random random(seed);
    TimePoint now{1h};
    LimitControl control(now, {.algorithm = LimitAlgorithm::Throughput, .slots = slots, .coldStart = Duration{0}});
    const auto end = now + 120s;
    double sum = 0;
    int count = 0;
    for (int n = 0; now < end; ++n) {
        const bool isLight = n < 300;
        const auto inFlight = isLight ? 1U : control.limit(now);
        const auto mean = latencyAt(inFlight);
        now += Duration(static_cast<std::int64_t>(mean / inFlight * 1e6));
        control.onStart(inFlight);
        const auto latency = isLight ? latencyAt(1) : mean;
        control.onEnd(now, Duration(static_cast<std::int64_t>(-std::log(1 - drawUnit(random)) * latency * 1e6)), GateResult::Success,
                      inFlight);
        if (end - now < 20s) {
            sum += control.limit(now);
            ++count;
        }
    }
    return sum / count;
}

} // namespace

TEST(ThroughputLimit, FallsTowardsTheUsefulSlots)
{
    // The backend server executes five calls at once; more calls only queue inside it.
    const auto latencyWithFiveSlots = [](double inFlight) { return 0.02 * std::max(1.0, inFlight / 5); };
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        sum += settledLimit(seed, latencyWithFiveSlots);
    }
    EXPECT_LT(sum / 10, kAnnouncedSlots * 0.6);
}

TEST(ThroughputLimit, KeepsTheSlotsOfASlowService)
{
    // Latency is five times as high under load, but all slots execute calls.
    const auto slowUnderLoad = [](double inFlight) { return inFlight > 1 ? 0.1 : 0.02; };
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        sum += settledLimit(seed, slowUnderLoad);
    }
    EXPECT_GT(sum / 10, kAnnouncedSlots * 0.95);
}

// Guards against a limit lowered without benefit: the backend server sheds part of its requests at any concurrency.
TEST(ShedWatch, KeepsTheLimitWhenShedsAreIndependentOfTheLoad)
{
    Random random(7);
    TimePoint now{1h};
    LimitControl control(now, {.algorithm = LimitAlgorithm::Throughput, .slots = kAnnouncedSlots, .coldStart = Duration{0}});
    double lowest = kAnnouncedSlots;
    double sum = 0;
    int count = 0;
    for (int n = 0; n < 4000; ++n) {
        const auto inFlight = control.limit(now);
        now += Duration(30'000 / inFlight);
        control.onStart(inFlight);
        control.onEnd(now, 30ms, drawUnit(random) < 0.55 ? GateResult::Shed : GateResult::Success, inFlight);
        lowest = std::min<double>(lowest, control.limit(now));
        sum += n >= 2000 ? control.limit(now) : 0;
        count += n >= 2000 ? 1 : 0;
    }
    EXPECT_GE(lowest, kAnnouncedSlots * 0.45);
    EXPECT_GE(sum / count, kAnnouncedSlots * 0.9);
}

// Guards against a limit that stays too high: the backend server announces more slots than it has and sheds the excess.
TEST(ShedWatch, LowersTheLimitWhenTheBackendServerShedsExcessCalls)
{
    TimePoint now{1h};
    LimitControl control(now, {.algorithm = LimitAlgorithm::Throughput, .slots = kAnnouncedSlots, .coldStart = Duration{0}});
    constexpr std::uint32_t kRealSlots = 5;
    for (int n = 0; n < 4000; ++n) {
        const auto inFlight = control.limit(now);
        now += Duration(30'000 / inFlight);
        control.onStart(inFlight);
        const bool isShed = static_cast<std::uint32_t>(n) % inFlight >= kRealSlots;
        control.onEnd(now, 30ms, isShed ? GateResult::Shed : GateResult::Success, inFlight);
    }
    EXPECT_LE(control.limit(now), kRealSlots * 2);
}

TEST(KneeSearch, StaysBelowTheKnee)
{
    for (const std::uint32_t slots : {20, 36, 42}) {
        const auto knee = [slots](double inFlight) { return 0.03 * (inFlight >= kKneeShare * slots ? kKneeFactor : 1.0); };
        double sum = 0;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            sum += settledLimit(seed, knee, slots);
        }
        // Below the knee, throughput is proportional to the limit; all slots give no more than a limit of slots / kKneeFactor would.
        // The lower bound therefore requires more throughput than all slots give.
        EXPECT_LT(sum / 10, kKneeShare * slots) << slots;
        EXPECT_GT(sum / 10, 0.78 * slots) << slots;
    }
}

TEST(KneeSearch, KeepsAllSlotsOfABackendServerWithoutKnee)
{
    for (const std::uint32_t slots : {6, 9, 42}) {
        double sum = 0;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            sum += settledLimit(
                seed, [](double) { return 0.03; }, slots);
        }
        EXPECT_GT(sum / 10, 0.95 * slots) << slots;
    }
}
