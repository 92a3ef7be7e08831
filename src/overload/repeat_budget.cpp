/// @file
/// Repeats that a gate may dispatch: a token bucket and a bank earned in the window before, and the choice of the roots that get them.

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
/// Fraction of the extra that a process younger than that holds at most: one that starts on the smaller side of a partition doesn't know
/// the other gates. Four of them stay within the part of the extra that isn't divided.
constexpr double kMaxYoungFraction = 0.05;
/// Period and time constant of the averaged rates: long enough for some hundred repeats, short against an incident of a few seconds.
constexpr Duration kRatePeriod = std::chrono::milliseconds(20);
constexpr double kRateSeconds = 0.5;
/// The share of roots served is scaled by this plus the fill of the bucket, so that errors of the averaged rates don't accumulate.
constexpr double kMinServedFactor = 0.5;
/// Above this fill every repeat is served, so that no token stays unused.
constexpr double kServeAllFill = 0.9;
/// Part of the ratio that fills the bucket as calls arrive. The other part is earned by the arrivals of the window before.
constexpr double kBucketPart = 0.5;
/// The bank is released at a rate that would empty it in this time: fast enough for an incident of four seconds, and never all at once, so
/// that a longer one isn't left without repeats.
constexpr double kReleaseSeconds = 3;
/// Released repeats that aren't used accumulate up to this time's.
constexpr double kMaxReleasedSeconds = 0.2;
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
    advance(now);
    m_options = options;
    updateGateCount(now, std::max(1U, options.gates));
    m_capacity = shareOfExtra(options.extra, m_gates);
    if (const Duration age = now - m_startedAt; age < kGateCountHold) {
        m_capacity = std::min(m_capacity, age < kStartTime ? kStartCapacity : std::max(kStartCapacity, options.extra * kMaxYoungFraction));
    }
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

void RepeatBudget::onFirstArrival(TimePoint now)
{
    advanceSlots(now);
    const auto gain = m_options.ratio * kBucketPart;
    m_tokens = std::min(m_capacity, m_tokens + gain);
    m_gained += gain;
    ++m_slots[static_cast<std::size_t>(m_slot) % kSlots].firsts;
}

void RepeatBudget::advance(TimePoint now)
{
    advanceSlots(now);
    if (now - m_ratesUpdatedAt < kRatePeriod) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - m_ratesUpdatedAt;
    const auto released = std::max(0.0, m_bank) * std::min(1.0, elapsed.count() / kReleaseSeconds);
    m_gained += released;
    m_released = std::min(m_released + released, releaseLimit());
    updateRates(now);
}

void RepeatBudget::advanceSlots(TimePoint now)
{
    const std::int64_t slot = now.time_since_epoch() / kSlotLength;
    if (slot == m_slot) {
        return;
    }
    for (auto n = std::max(m_slot + 1, slot - static_cast<std::int64_t>(kSlots) + 1); n <= slot; ++n) {
        m_slots[static_cast<std::size_t>(n) % kSlots] = {};
    }
    m_slot = slot;
    m_bank = bankBalance();
    m_released = std::min(m_released, releaseLimit());
}

double RepeatBudget::releaseLimit() const
{
    return m_bank < 1 ? 0 : std::max(1.0, m_bank * kMaxReleasedSeconds / kReleaseSeconds);
}

/// Returns the repeats that may still be taken from the bank so that each window that includes the present has at most as many as the
/// arrivals of the window before it allow.
double RepeatBudget::bankBalance() const
{
    const auto at = [this](std::size_t age) -> const Slot & { return m_slots[(static_cast<std::size_t>(m_slot) + kSlots - age) % kSlots]; };
    double balance = 0;
    double taken = 0;
    for (std::size_t age = 0; age <= kSlotsPerWindow; ++age) {
        taken += at(age).banked;
        double firsts = 0;
        // A window that starts within a slot is preceded by one that includes only these slots whole.
        for (std::size_t n = age + 1; n < age + kSlotsPerWindow; ++n) {
            firsts += at(n).firsts;
        }
        const auto allowed = firsts * m_options.ratio * (1 - kBucketPart) - taken;
        balance = age == 0 ? allowed : std::min(balance, allowed);
    }
    return balance;
}

void RepeatBudget::updateRates(TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - m_ratesUpdatedAt;
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
    updateServedShare();
}

void RepeatBudget::updateServedShare()
{
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
    if (m_tokens < 1 && m_released < 1) {
        return false;
    }
    if (request.isDescendant) {
        return true;
    }
    const auto reserve = std::min(capacity() * kMaxReserveFraction, m_descendantRate * kReserveSeconds);
    const auto fill = tokens() / capacity();
    const auto served = fill >= kServeAllFill ? 1 : m_servedShare * (kMinServedFactor + fill);
    return tokens() >= 1 + reserve && hashOf(request.rank) >= (1 - served) * kHashSpan;
}

bool RepeatBudget::takeRepeat(TimePoint now, const RepeatRequest &request)
{
    if (request.isDescendant) {
        m_descendantsOffered += 1;
    } else {
        m_offered[hashOf(request.rank) / (kHashSpan / kBins)] += 1;
    }
    advance(now);
    if (!mayTake(request)) {
        return false;
    }
    if (m_released >= 1) {
        m_released -= 1;
        m_bank -= 1;
        ++m_slots[static_cast<std::size_t>(m_slot) % kSlots].banked;
    } else {
        m_tokens -= 1;
    }
    return true;
}

double RepeatBudget::tokens() const
{
    return m_tokens + m_released;
}

double RepeatBudget::capacity() const
{
    return m_capacity + std::max(m_released, releaseLimit());
}

double RepeatBudget::servedShare() const
{
    return m_servedShare;
}

} // namespace chicoryspar
