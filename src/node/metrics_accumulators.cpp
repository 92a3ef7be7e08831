/// @file
/// Request counters and latency statistics on Boost.Accumulators.

#include "node/metrics.h"

#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace chicoryspar {

namespace acc = boost::accumulators;

namespace {

constexpr auto kClassCount = static_cast<std::size_t>(RequestClass::Count);
constexpr auto kOutcomeCount = static_cast<std::size_t>(Outcome::Count);
constexpr auto kReasonCount = static_cast<std::size_t>(Reason::Count);
constexpr std::array<double, 4> kQuantileProbabilities{0.5, 0.9, 0.99, 0.999};
/// Number of samples after which all markers of the P-square estimator are set; earlier estimates are invalid.
constexpr std::uint64_t kMinQuantileSamples = 2 * kQuantileProbabilities.size() + 3;
constexpr double kMicrosecondsPerMillisecond = 1000.0;

using LatencySet =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::max, acc::tag::mean, acc::tag::extended_p_square_quantile>>;

} // namespace

struct Metrics::State
{
    State()
    {
        latencies.reserve(kClassCount);
        for (std::size_t n = 0; n < kClassCount; ++n) {
            latencies.emplace_back(acc::extended_p_square_probabilities = kQuantileProbabilities);
        }
    }

    std::array<std::array<std::uint64_t, kOutcomeCount>, kClassCount> outcomes{};
    std::array<std::array<std::uint64_t, kReasonCount>, kClassCount> reasons{};
    std::vector<LatencySet> latencies;
    std::uint64_t retries = 0;
};

Metrics::Metrics()
    : m_state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::countOutcome(RequestClass requestClass, Outcome outcome, Reason reason, Duration latency)
{
    const auto n = static_cast<std::size_t>(requestClass);
    ++m_state->outcomes.at(n).at(static_cast<std::size_t>(outcome));
    ++m_state->reasons.at(n).at(static_cast<std::size_t>(reason));
    if (outcome == Outcome::Answer) {
        m_state->latencies.at(n)(static_cast<double>(latency.count()) / kMicrosecondsPerMillisecond);
    }
}

void Metrics::countRetry()
{
    ++m_state->retries;
}

std::uint64_t Metrics::outcomeCount(RequestClass requestClass, Outcome outcome) const
{
    return m_state->outcomes.at(static_cast<std::size_t>(requestClass)).at(static_cast<std::size_t>(outcome));
}

std::uint64_t Metrics::reasonCount(RequestClass requestClass, Reason reason) const
{
    return m_state->reasons.at(static_cast<std::size_t>(requestClass)).at(static_cast<std::size_t>(reason));
}

std::uint64_t Metrics::retryCount() const
{
    return m_state->retries;
}

LatencySummary Metrics::latency(RequestClass requestClass) const
{
    const auto &set = m_state->latencies.at(static_cast<std::size_t>(requestClass));
    LatencySummary summary;
    summary.count = acc::count(set);
    if (summary.count == 0) {
        return summary;
    }
    summary.meanMs = acc::mean(set);
    if (summary.count < kMinQuantileSamples) {
        summary.medianMs = summary.meanMs;
        summary.p99Ms = acc::max(set);
        return summary;
    }
    summary.medianMs = acc::quantile(set, acc::quantile_probability = 0.5);
    summary.p99Ms = acc::quantile(set, acc::quantile_probability = 0.99);
    return summary;
}

std::string Metrics::renderText(std::string_view node) const
{
    std::ostringstream text;
    for (std::size_t c = 0; c < kClassCount; ++c) {
        const auto requestClass = static_cast<RequestClass>(c);
        const auto className = rowOf(requestClass).name;
        for (std::size_t n = 0; n < kOutcomeCount; ++n) {
            text << "chicoryspar_requests_total{node=\"" << node << "\",class=\"" << className << "\",outcome=\""
                 << rowOf(static_cast<Outcome>(n)).name << "\"} " << m_state->outcomes.at(c).at(n) << "\n";
        }
        for (std::size_t n = 1; n < kReasonCount; ++n) {
            if (m_state->reasons.at(c).at(n) > 0) {
                text << "chicoryspar_refusals_total{node=\"" << node << "\",class=\"" << className << "\",reason=\""
                     << rowOf(static_cast<Reason>(n)).name << "\"} " << m_state->reasons.at(c).at(n) << "\n";
            }
        }
        const auto summary = latency(requestClass);
        text << "chicoryspar_latency_milliseconds{node=\"" << node << "\",class=\"" << className << "\",quantile=\"0.5\"} "
             << summary.medianMs << "\n";
        text << "chicoryspar_latency_milliseconds{node=\"" << node << "\",class=\"" << className << "\",quantile=\"0.99\"} "
             << summary.p99Ms << "\n";
    }
    text << "chicoryspar_repeats_total{node=\"" << node << "\"} " << m_state->retries << "\n";
    return text.str();
}

} // namespace chicoryspar
