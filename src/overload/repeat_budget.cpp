/// @file
/// Token bucket of a gate for repeats, and the choice of the roots that get its tokens.

#include <chicoryspar/overload.h>

#include <algorithm>
#include <cmath>

#include "overload/rank_layout.h"

namespace chicoryspar {
namespace {

/// Fraction of the extra repeats that the gates divide. The rest covers gates that join before the others know of them.
constexpr double kDividedExtraFraction = 0.8;
/// Capacity during the first seconds of a process, in which it may not yet know the other gates.
constexpr double kStartCapacity = 1;
constexpr Duration kStartTime = std::chrono::seconds(5);
/// A smaller number of gates takes effect after this time. Gates that a partition cuts off look like lost ones, and both sides of it would
/// otherwise divide the whole extra.
constexpr Duration kGateCountHold = std::chrono::minutes(10);
/// Period and time constant of the averaged rates: long enough for some hundred repeats, short against an incident of a few seconds.
constexpr Duration kRatePeriod = std::chrono::milliseconds(20);
constexpr double kRateSeconds = 0.5;
/// The share of roots served is scaled by this plus the fill of the bucket, so that errors of the averaged rates don't accumulate.
constexpr double kMinServedFactor = 0.5;
/// Above this fill every repeat is served, so that no token stays unused.
constexpr double kServeAllFill = 0.9;
/// Tokens kept for repeats that descend from others: their recent number in this time, at most this fraction of the capacity.
constexpr double kReserveSeconds = 0.1;
constexpr double kMaxReserveFraction = 0.25;

std::uint32_t hashOf(Rank rank)
{
    return rank.value % kHashSpan;
}

double shareOfExtra(double extra, std::uint32_t gates)
{
    const auto equalShare = extra / gates;
    // A bucket that can't hold one whole token would refuse every repeat.
    return equalShare >= 1 ? std::max(1.0, equalShare * kDividedExtraFraction) : equalShare * kDividedExtraFraction;
}

} // namespace

RepeatBudget::RepeatBudget(TimePoint now)
    : m_startedAt(now)
    , m_ratesUpdatedAt(now)
    , m_gatesSeenAt(now)
{
}

void RepeatBudget::configure(TimePoint now, const RepeatBudgetOptions &options)
{
    m_options = options;
    updateGateCount(now, std::max(1U, options.gates));
    const auto share = shareOfExtra(options.extra, m_gates);
    m_capacity = now - m_startedAt < kStartTime ? std::min(share, kStartCapacity) : share;
    m_tokens = std::min(m_tokens, m_capacity);
}

void RepeatBudget::updateGateCount(TimePoint now, std::uint32_t gates)
{
    if (gates < m_gates && now - m_gatesSeenAt < kGateCountHold) {
        m_fewerGates = std::max(m_fewerGates, gates);
        return;
    }
    m_gates = std::max(gates, gates < m_gates ? m_fewerGates : 0);
    m_gatesSeenAt = now;
    m_fewerGates = 0;
}

void RepeatBudget::onFirstArrival()
{
    m_tokens = std::min(m_capacity, m_tokens + m_options.ratio);
    m_gained += m_options.ratio;
}

void RepeatBudget::updateRates(TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - m_ratesUpdatedAt;
    if (now - m_ratesUpdatedAt < kRatePeriod) {
        return;
    }
    m_ratesUpdatedAt = now;
    const auto weight = 1 - std::exp(-elapsed.count() / kRateSeconds);
    const auto average = [&](auto &rate, auto &sum) {
        rate += static_cast<std::remove_reference_t<decltype(rate)>>((sum / elapsed.count() - rate) * weight);
        sum = 0;
    };
    average(m_supplyRate, m_gained);
    average(m_descendantRate, m_descendantsOffered);
    for (std::size_t n = 0; n < kBins; ++n) {
        average(m_demandRates[n], m_offered[n]);
    }
    auto supply = std::max(0.0, m_supplyRate - m_descendantRate);
    m_servedShare = 0;
    for (std::size_t n = kBins; n-- > 0 && supply >= 0;) {
        const double demand = m_demandRates[n];
        m_servedShare += (demand > supply ? supply / demand : 1.0) / kBins;
        supply = demand > supply ? -1 : supply - demand;
    }
}

bool RepeatBudget::mayTake(const RepeatRequest &request) const
{
    if (m_tokens < 1) {
        return false;
    }
    if (request.isDescendant) {
        return true;
    }
    const auto reserve = std::min(m_capacity * kMaxReserveFraction, m_descendantRate * kReserveSeconds);
    const auto fill = m_tokens / m_capacity;
    const auto served = fill >= kServeAllFill ? 1 : m_servedShare * (kMinServedFactor + fill);
    return m_tokens >= 1 + reserve && hashOf(request.rank) >= (1 - served) * kHashSpan;
}

bool RepeatBudget::takeRepeat(TimePoint now, const RepeatRequest &request)
{
    if (request.isDescendant) {
        m_descendantsOffered += 1;
    } else {
        m_offered[hashOf(request.rank) / (kHashSpan / kBins)] += 1;
    }
    updateRates(now);
    const bool isTaken = mayTake(request);
    m_tokens -= isTaken ? 1 : 0;
    return isTaken;
}

double RepeatBudget::tokens() const
{
    return m_tokens;
}

double RepeatBudget::capacity() const
{
    return m_capacity;
}

double RepeatBudget::servedShare() const
{
    return m_servedShare;
}

} // namespace chicoryspar
