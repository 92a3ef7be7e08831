/// @file
/// Expected work of requests, and the outstanding work of a gate.

#include <chicoryspar/overload.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace chicoryspar {
namespace {

/// Each sample moves a mean by at least 1 / kMeanSamples of the difference.
constexpr std::uint32_t kMeanSamples = 32;
/// Samples of a key that count as much as the mean of the service.
constexpr float kPriorSamples = 2;
constexpr double kRatioWeight = 1.0 / 64;

/// A report counts in the long-run mean for at most this time.
constexpr Duration kMaxReportTime = std::chrono::seconds(1);

/// Bounds of the pace. Slow periods of 12 times the usual time occur; a figure beyond these bounds is taken for an error.
constexpr double kMinPace = 0.2;
constexpr double kMaxPace = 20;
constexpr double kPercent = 100;
/// A call that has run for longer than expected is expected to run on for this share of its expected work.
constexpr double kMinRemainingShare = 0.25;
constexpr double kChildShareWeight = 0.05;

template<typename Number>
Duration toDuration(Number micros)
{
    return Duration(static_cast<std::int64_t>(micros));
}

} // namespace

std::uint64_t workKeyOf(std::uint64_t methodKey, std::size_t bodyBytes)
{
    constexpr int kBitsPerClass = 2;
    constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;
    const auto sizeClass = static_cast<std::uint64_t>(std::bit_width(bodyBytes) / kBitsPerClass);
    return methodKey ^ ((sizeClass + 1) * kMultiplier);
}

// WorkEstimator

const WorkEstimator::Entry *WorkEstimator::find(std::uint64_t key) const
{
    const auto *const first = m_entries.data() + (key % kSets) * kWays;
    const auto *const last = first + kWays;
    const auto *const it = std::find_if(first, last, [key](const Entry &entry) { return entry.samples > 0 && entry.key == key; });
    return it == last ? nullptr : it;
}

void WorkEstimator::record(std::uint64_t key, Duration work)
{
    const auto sample = static_cast<float>(std::max<std::int64_t>(work.count(), 1));
    if (const auto before = expected(key); before > Duration{0}) {
        m_meanRatio += static_cast<float>((sample / static_cast<float>(before.count()) - m_meanRatio) * kRatioWeight);
    }
    ++m_recordCount;
    m_meanMicros += (sample - m_meanMicros) / static_cast<float>(std::min<std::uint64_t>(m_recordCount, kMeanSamples));
    const auto first = m_entries.begin() + static_cast<std::ptrdiff_t>((key % kSets) * kWays);
    const auto last = first + kWays;
    auto it = std::find_if(first, last, [key](const Entry &entry) { return entry.samples > 0 && entry.key == key; });
    if (it == last) {
        it = std::min_element(first, last, [](const Entry &a, const Entry &b) { return a.updatedAt < b.updatedAt; });
        *it = Entry{.key = key};
    }
    it->samples = std::min(it->samples + 1, kMeanSamples);
    it->meanMicros += (sample - it->meanMicros) / static_cast<float>(it->samples);
    it->updatedAt = m_recordCount;
}

Duration WorkEstimator::expected(std::uint64_t key) const
{
    const auto *it = find(key);
    if (!it) {
        return toDuration(m_meanMicros);
    }
    const auto samples = static_cast<float>(it->samples);
    return toDuration((it->meanMicros * samples + m_meanMicros * kPriorSamples) / (samples + kPriorSamples));
}

double WorkEstimator::meanRatio() const
{
    return m_meanRatio;
}

// AgedFigure

void AgedFigure::record(TimePoint at, double reported, const AgingRule &rule)
{
    if (at <= recordedAt) {
        return;
    }
    if (recordedAt > TimePoint{}) {
        const std::chrono::duration<double> elapsed = std::min(at - recordedAt, kMaxReportTime);
        mean += static_cast<float>((value - mean) * elapsed / (elapsed + std::chrono::duration<double>(rule.meanTime)));
    }
    value = static_cast<float>(reported);
    recordedAt = at;
}

double AgedFigure::valueAt(TimePoint now, const AgingRule &rule) const
{
    const auto weight = 1 - std::clamp(std::chrono::duration<double>(now - recordedAt) / rule.lifetime, 0.0, 1.0);
    return mean + (value - mean) * weight;
}

bool AgedFigure::isCurrent(TimePoint now) const
{
    return recordedAt > TimePoint{} && now - recordedAt < kMaxSilence;
}

// LoadMeter

void LoadMeter::setPace(TimePoint now, std::uint32_t percent)
{
    m_pace.record(now, std::clamp(percent / kPercent, kMinPace, kMaxPace), kPaceAging);
}

void LoadMeter::restart()
{
    m_pace = {.mean = 1};
}

bool LoadMeter::hasPace(TimePoint now) const
{
    return m_pace.isCurrent(now);
}

double LoadMeter::paceAt(TimePoint now) const
{
    return m_pace.valueAt(now, kPaceAging) * (1 - m_childShare) + m_childShare;
}

Duration LoadMeter::expectedWork(std::uint64_t key) const
{
    return m_work.expected(key);
}

void LoadMeter::recordService(TimePoint now, std::uint64_t key, Duration serviceTime, Duration childTime)
{
    if (!hasPace(now) || serviceTime <= Duration{0}) {
        return;
    }
    const auto childShare = std::clamp(std::chrono::duration<double>(childTime) / serviceTime, 0.0, 1.0);
    m_childShare += (childShare - m_childShare) * kChildShareWeight;
    m_work.record(key, toDuration(static_cast<double>(serviceTime.count()) / paceAt(now)));
}

Duration LoadMeter::remainingOf(TimePoint now, const OutstandingCall &call) const
{
    const auto whole = static_cast<double>(call.expectedWork.count()) * paceAt(now);
    const auto elapsed = call.startedAt ? static_cast<double>((now - *call.startedAt).count()) : 0.0;
    return toDuration(std::max(whole - elapsed, whole * kMinRemainingShare));
}

LoadReport LoadMeter::report(TimePoint now, Duration remaining, std::uint32_t slots) const
{
    const auto weighted = m_pace.value * (1 - m_childShare) + m_childShare;
    return {.outstandingWork = remaining / std::max(slots, 1U),
            .pacePercent = static_cast<std::uint32_t>(std::lround(weighted * kPercent)),
            .paceAge = now - m_pace.recordedAt};
}

} // namespace chicoryspar
