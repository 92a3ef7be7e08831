/// @file
/// Expected completion time from load reports, measured service times and losses.

#include "overload/router_load.h"

#include <algorithm>
#include <cmath>

namespace chicoryspar {
namespace {

constexpr double kPercent = 100;
/// Bounds of reported figures, which are hints: a false one must neither attract nor repel calls without limit.
constexpr double kMinPace = 0.2;
constexpr double kMaxPace = 20;
constexpr Duration kMaxOutstandingWork = std::chrono::seconds(30);
constexpr Duration kMaxPaceAge = std::chrono::seconds(10);
/// The outstanding work changes with each call that begins or ends at the upstream, faster than the pace.
constexpr AgingRule kOutstandingAging{.lifetime = std::chrono::milliseconds(200), .meanTime = std::chrono::seconds(1)};
/// Bounds of the ratio of service time to expected work of one upstream.
constexpr double kMaxRatio = 16;
/// Each answer moves a ratio by at least 1 / kRatioSamples of the difference.
constexpr std::uint32_t kRatioSamples = 32;
/// A single answer counts in a ratio as at most this multiple of it, because a few requests take many times their expected work.
constexpr double kMaxSampleMultiple = 4;
constexpr double kErrorWeight = 0.05;
constexpr double kRecentWeight = 0.2;
/// Short-term ratios up to this value occur by chance and change nothing.
constexpr double kRecentTolerance = 2;
/// Time without a result after which a short-term ratio or a loss rate has lost its whole weight.
constexpr Duration kRecentLifetime = std::chrono::seconds(3);
/// After ten results, a loss rate has reached four fifths of the share that is lost.
constexpr double kLossWeight = 0.15;
/// The transfer time follows lower values quickly and higher ones, which include queueing, slowly.
constexpr double kTransferFallWeight = 0.3;
constexpr double kTransferRiseWeight = 0.01;
constexpr double kMinCompletionMicros = 50;
/// Weight of the service time against outstanding work in the placement cost. With 1, calls go to the fastest upstreams until these queue.
constexpr double kServiceShare = 0.1;

double ageWeight(const LoadSignals &load, TimePoint now)
{
    const auto resultAge = std::chrono::duration<double>(now - load.lastResultAt);
    return 1 - std::clamp(resultAge / kRecentLifetime, 0.0, 1.0);
}

bool isLoss(const RouteResult &result)
{
    return result.reason == Reason::ShedByBackend || (result.outcome == Outcome::Unknown && result.reason != Reason::Cancelled);
}

double predictedRatio(const LoadSignals &load, double pace)
{
    return isPaceTrusted(load) ? load.pacedRatio * pace : load.plainRatio;
}

void approach(float &mean, double sample, double weight)
{
    mean += static_cast<float>((sample - mean) * weight);
}

void recordRatio(float &ratio, double sample, double weight)
{
    const auto bounded = std::clamp(sample, ratio / kMaxSampleMultiple, ratio * kMaxSampleMultiple);
    approach(ratio, bounded, weight);
    ratio = static_cast<float>(std::clamp<double>(ratio, 1 / kMaxRatio, kMaxRatio));
}

/// Compares the service time of an answer with its expected work and the pace that came with it.
void recordServiceTime(LoadSignals &load, Duration serviceTime, Duration expectedWork, double pace)
{
    const auto ratio = std::clamp(std::chrono::duration<double>(serviceTime) / expectedWork, 1 / kMaxRatio, kMaxRatio * kMaxPace);
    approach(load.pacedError, std::abs(std::log2(ratio / (load.pacedRatio * pace))), kErrorWeight);
    approach(load.plainError, std::abs(std::log2(ratio / load.plainRatio)), kErrorWeight);
    approach(load.recentRatio, std::min(ratio / predictedRatio(load, pace), kMaxRatio), kRecentWeight);
    load.samples = std::min(load.samples + 1, kRatioSamples);
    const auto weight = 1.0 / std::max(load.samples, 4U);
    recordRatio(load.pacedRatio, ratio / pace, weight);
    recordRatio(load.plainRatio, ratio, weight);
}

/// Parts of the expected completion of a request.
struct Parts
{
    double outstanding = 0;
    /// Service time and transfer.
    double service = 0;
    /// Above 1 when nothing has come back for longer than one request should take.
    double delayFactor = 1;
    double successSquared = 1;
};

Parts partsOf(const LoadSignals &load, TimePoint now, const LoadUse &use)
{
    Parts parts;
    parts.outstanding = outstandingMicros(load, now, use.slots);
    parts.service = static_cast<double>(use.expectedWork.count()) * serviceFactor(load, now) + load.transferMicros;
    if (use.inFlight > 0) {
        const auto silence = static_cast<double>((now - load.awaitingSince).count());
        parts.delayFactor = std::max(1.0, silence / std::max(parts.outstanding + parts.service, kMinCompletionMicros));
    }
    // A lost call takes a retry, and fails the request above it if there is none left; so its cost grows faster than the expected number of
    // attempts, 1 / (1 - loss rate).
    constexpr double kMaxLossRate = 0.8;
    const auto success = 1 - std::min<double>(load.lossRate * ageWeight(load, now), kMaxLossRate);
    parts.successSquared = success * success;
    return parts;
}

/// Returns the expected completion with the weights of the placement, without regard to the calls of this node. These are the only fresh
/// figure: reports show none of the calls that are on the way.
double completionCost(const LoadSignals &load, TimePoint now, const LoadUse &use)
{
    const auto parts = partsOf(load, now, use);
    const auto micros = std::max(parts.outstanding + parts.service * kServiceShare, kMinCompletionMicros);
    return micros * parts.delayFactor / parts.successSquared;
}

} // namespace

bool isPaceTrusted(const LoadSignals &load)
{
    // The margin keeps the pace in use where it is constant, so that both errors differ only by chance.
    constexpr float kFactor = 1.05F;
    constexpr float kMargin = 0.01F;
    return load.pacedError <= load.plainError * kFactor + kMargin;
}

bool reportsLoad(const LoadSignals &load, TimePoint now)
{
    return load.outstanding.isCurrent(now);
}

void recordSent(LoadSignals &load, TimePoint now, std::uint32_t inFlight, Duration expectedWork)
{
    if (inFlight <= 1) {
        load.awaitingSince = now;
    }
    load.sentSinceMicros += static_cast<float>(expectedWork.count());
}

void recordLoadResult(LoadSignals &load, TimePoint now, const RouteResult &result)
{
    const auto sentAt = now - result.latency;
    if (sentAt >= load.outstanding.recordedAt) {
        load.sentSinceMicros = std::max(0.0F, load.sentSinceMicros - static_cast<float>(result.expectedWork.count()));
    }
    load.awaitingSince = now;
    load.lastResultAt = now;
    approach(load.lossRate, isLoss(result) ? 1 : 0, kLossWeight);
    if (!result.load || result.load->pacePercent == 0) {
        return;
    }
    const auto pace = std::clamp(result.load->pacePercent / kPercent, kMinPace, kMaxPace);
    load.pace.record(now - std::clamp(result.load->paceAge, Duration{0}, kMaxPaceAge), pace, kPaceAging);
    const auto outstanding = std::clamp(result.load->outstandingWork, Duration{0}, kMaxOutstandingWork);
    if (!load.outstanding.isCurrent(now)) {
        load.outstanding.mean = static_cast<float>(outstanding.count());
    }
    load.outstanding.record(now, static_cast<double>(outstanding.count()), kOutstandingAging);
    load.sentSinceMicros = 0;
    if (result.outcome == Outcome::Answer && result.serviceTime > Duration{0} && result.expectedWork > Duration{0}) {
        recordServiceTime(load, result.serviceTime, result.expectedWork, pace);
        const auto transfer = static_cast<double>(std::max(Duration{0}, result.latency - result.serviceTime).count());
        approach(load.transferMicros, transfer,
                 load.samples <= 1                    ? 1
                     : transfer < load.transferMicros ? kTransferFallWeight
                                                      : kTransferRiseWeight);
    }
}

double serviceFactor(const LoadSignals &load, TimePoint now)
{
    const auto surplus = std::max(0.0, load.recentRatio / kRecentTolerance - 1) * ageWeight(load, now);
    return predictedRatio(load, load.pace.valueAt(now, kPaceAging)) * (1 + surplus);
}

double outstandingMicros(const LoadSignals &load, TimePoint now, std::uint32_t slots)
{
    return load.outstanding.valueAt(now, kOutstandingAging) + load.sentSinceMicros * serviceFactor(load, now) / std::max(slots, 1U);
}

double placementCost(const LoadSignals &load, TimePoint now, const LoadUse &use)
{
    // The exponent of 1.5 smooths the calls of each sender over the upstreams, and gave the lowest ratio of busiest to mean in the replay.
    const auto ownCalls = use.inFlight + 1.0;
    return completionCost(load, now, use) * ownCalls * std::sqrt(ownCalls);
}

double zoneCost(const LoadSignals &load, TimePoint now, const LoadUse &use)
{
    // Replay of regions with one host in each zone: with an exponent of 0.75 more calls stay in their zone than without reports, and the
    // ratio of busiest to mean is lower. With 1 fewer stay; with 0.5 hosts of similar speed are spread no better.
    const auto root = std::sqrt(use.inFlight + 1.0);
    return completionCost(load, now, use) * root * std::sqrt(root);
}

} // namespace chicoryspar
