/// @file
/// Upstream selection: power of two choices within the own zone, then the own region, then other regions.

#include <algorithm>
#include <cassert>
#include <vector>

#include "overload/rank_layout.h"
#include "overload/router_state.h"

namespace chicoryspar {
namespace {

constexpr Duration kRefusalRetryAfter = std::chrono::milliseconds(500);
constexpr int kMaxDraws = 8;
/// In the replay of test_overload_placement, four draws gave the lowest p99 without a higher ratio of busiest to mean than two.
constexpr std::size_t kDrawsWithLoad = 4;
constexpr std::uint64_t kExploringCalls = 64;
/// Calls stay in the own zone while its mean cost is at most this multiple of the own region's mean cost.
constexpr double kMaxZoneCostRatio = 1.5;
/// A repeat avoids upstreams whose chance of answering it is lower than the best one by more than this: it may be the last attempt.
constexpr double kMaxRepeatChanceGap = 0.1;

enum class Tier : std::uint8_t {
    Zone,
    Region,
    OtherRegion,
};

Tier tierOf(const RouterOptions &options, const Candidate &candidate)
{
    if (candidate.region != options.region) {
        return Tier::OtherRegion;
    }
    return candidate.zone == options.zone ? Tier::Zone : Tier::Region;
}

/// Selection of an upstream for one call.
struct Choice
{
    RouterState &state;
    TimePoint now;
    Random &random;
    const RouteRequest &request;
    std::span<const NodeId> exclude;

    bool isExcluded(NodeId node) const
    {
        return std::find(exclude.begin(), exclude.end(), node) != exclude.end();
    }

    /// Returns the ready upstreams of the tiers @a first to @a last that the call hasn't tried yet.
    Pool pool(Tier first, Tier last) const
    {
        Pool result;
        for (std::size_t n = 0; n < state.count; ++n) {
            const auto &upstream = state.upstreams[n];
            const auto tier = tierOf(state.options, upstream.candidate);
            if (tier >= first && tier <= last && upstream.candidate.ready && !isExcluded(upstream.candidate.node)) {
                result.add(n);
            }
        }
        return result;
    }

    template<typename Predicate>
    Pool filter(const Pool &from, Predicate isKept) const
    {
        Pool result;
        for (std::size_t n = 0; n < from.size; ++n) {
            if (isKept(state.upstreams[from.indexes[n]])) {
                result.add(from.indexes[n]);
            }
        }
        return result;
    }

    bool admits(const Upstream &upstream) const
    {
        return levelOf(state, upstream, now).admits(request.rank);
    }

    bool isSaturatedForRequest(const Upstream &upstream) const
    {
        return isSaturated(state, upstream, now, request.rank);
    }

    /// Returns a random upstream; one in slow start is drawn in proportion to its weight.
    const Upstream &draw(const Pool &from) const
    {
        for (int n = 0; n < kMaxDraws; ++n) {
            const auto &upstream = state.upstreams[from.indexes[drawBelow(random, from.size)]];
            const auto weight = slowStartWeight(state, upstream, now);
            if (weight >= 1 || drawUnit(random) < weight) {
                return upstream;
            }
        }
        return state.upstreams[from.indexes[drawBelow(random, from.size)]];
    }

    /// Returns the cheaper of two random upstreams (power of two choices), and the cheapest of kDrawsWithLoad where upstreams report their
    /// load. There one call in kExploringCalls goes to the first one drawn, so that what is known of each upstream stays current.
    const Upstream &pickByCost(const Pool &from) const
    {
        const auto &first = draw(from);
        if (from.size == 1 || (hasLoadCost(first, now) && drawBelow(random, kExploringCalls) == 0)) {
            return first;
        }
        const auto *second = &draw(from);
        for (int n = 0; n < kMaxDraws && second == &first; ++n) {
            second = &draw(from);
        }
        if (hasLoadCost(first, now) && hasLoadCost(*second, now)) {
            return pickByLoad(from, first, *second);
        }
        return costOf(*second, now) < costOf(first, now) ? *second : first;
    }

    const Upstream &pickByLoad(const Pool &from, const Upstream &first, const Upstream &second) const
    {
        const auto cost = [this](const Upstream &upstream) {
            return placementCost(upstream.load, now, loadUseOf(upstream, request.expectedWork));
        };
        const auto *best = &first;
        auto bestCost = cost(first);
        const auto *it = &second;
        for (std::size_t n = 2;; ++n) {
            if (const auto itsCost = cost(*it); itsCost < bestCost && hasLoadCost(*it, now)) {
                best = it;
                bestCost = itsCost;
            }
            if (n >= std::min(kDrawsWithLoad, from.size)) {
                return *best;
            }
            it = &draw(from);
        }
    }

    /// Returns the upstreams of @a from that aren't ejected and admit the rank; for a repeat, those of them most likely to answer it.
    Pool usable(const Pool &from) const
    {
        const auto pool = filter(from, [this](const Upstream &upstream) { return !isEjected(upstream, now) && admits(upstream); });
        return request.isRepeat ? mostLikelyToAnswer(pool) : pool;
    }

    Pool mostLikelyToAnswer(const Pool &from) const
    {
        double best = 0;
        for (std::size_t n = 0; n < from.size; ++n) {
            best = std::max(best, repeatChance(state.upstreams[from.indexes[n]], now));
        }
        return filter(from, [&](const Upstream &upstream) { return repeatChance(upstream, now) >= best - kMaxRepeatChanceGap; });
    }

    double meanCost(const Pool &from, bool usesLoad) const
    {
        double sum = 0;
        for (std::size_t n = 0; n < from.size; ++n) {
            const auto &upstream = state.upstreams[from.indexes[n]];
            sum += usesLoad ? zoneCost(upstream.load, now, loadUseOf(upstream, request.expectedWork)) : costOf(upstream, now);
        }
        return sum / static_cast<double>(from.size);
    }

    /// Chooses in the own region, and there in the own zone unless it is saturated or its mean cost is too high (kMaxZoneCostRatio).
    std::optional<RouteDecision> chooseInRegion(const Pool &region) const
    {
        if (region.size == 0) {
            return std::nullopt;
        }
        const auto zone = filter(region, [this](const Upstream &upstream) {
            return tierOf(state.options, upstream.candidate) == Tier::Zone && !isSaturatedForRequest(upstream);
        });
        const bool usesLoad = filter(region, [this](const Upstream &upstream) { return hasLoadCost(upstream, now); }).size == region.size;
        if (zone.size > 0 && meanCost(zone, usesLoad) <= meanCost(region, usesLoad) * kMaxZoneCostRatio) {
            return RouteDecision{.node = pickByCost(zone).candidate.node, .route = RouteReason::OwnZone};
        }
        const auto &upstream = pickByCost(region);
        const bool isZone = tierOf(state.options, upstream.candidate) == Tier::Zone;
        return RouteDecision{.node = upstream.candidate.node, .route = isZone ? RouteReason::OwnZone : RouteReason::OwnRegion};
    }

    /// Returns whether @a upstream is expected to admit the call. One whose last level refused the rank is tried again only after the level
    /// has expired and probeInterval has passed since the last attempt.
    bool mayTry(const Upstream &upstream) const
    {
        if (isSaturatedForRequest(upstream)) {
            return false;
        }
        const bool wasSaturated = !upstream.level.admits(request.rank);
        return !wasSaturated || now - std::max(upstream.lastResultAt, upstream.lastSentAt) >= state.options.probeInterval;
    }

    /// Returns whether the share of ejected or saturated upstreams in @a ownRegion has reached spillAtPercent.
    bool shouldSpill(const Pool &ownRegion) const
    {
        const auto saturated =
            filter(ownRegion, [this](const Upstream &upstream) { return isEjected(upstream, now) || isSaturatedForRequest(upstream); });
        return saturated.size * 100 >= ownRegion.size * state.options.spillAtPercent;
    }

    /// Chooses in other regions, within the cap on cross-region bytes.
    /// @param isOverByteCap set when only the cap prevented a choice
    std::optional<RouteDecision> chooseOtherRegion(const Pool &otherRegions, RouteReason reason, bool &isOverByteCap) const
    {
        const auto mayBeTried = filter(usable(otherRegions), [this](const Upstream &upstream) { return mayTry(upstream); });
        // When the other regions are saturated too, going there only adds latency and cross-region traffic.
        const auto candidates = mayBeTried.size > 0 || reason == RouteReason::OwnRegionSaturated ? mayBeTried : usable(otherRegions);
        if (candidates.size == 0) {
            return std::nullopt;
        }
        if (!refillCrossRegionBudget(state, now, request.bytes)) {
            isOverByteCap = true;
            return std::nullopt;
        }
        return RouteDecision{.node = pickByCost(candidates).candidate.node, .route = reason};
    }

    /// Chooses an upstream without a result or probe during the last probeInterval, to refresh its level.
    std::optional<RouteDecision> chooseProbe(const Pool &from) const
    {
        for (std::size_t n = 0; n < from.size; ++n) {
            auto &upstream = state.upstreams[from.indexes[n]];
            const auto lastSignalAt = std::max(upstream.lastResultAt, upstream.lastProbeAt);
            if (!isEjected(upstream, now) && now - lastSignalAt >= state.options.probeInterval) {
                upstream.lastProbeAt = now;
                return RouteDecision{.node = upstream.candidate.node, .route = RouteReason::Probe};
            }
        }
        return std::nullopt;
    }

    /// Returns whether the own region has a ready upstream, including those that the call has tried.
    bool hasReadyUpstreamInRegion() const
    {
        const auto last = state.upstreams.begin() + static_cast<std::ptrdiff_t>(state.count);
        return std::any_of(state.upstreams.begin(), last, [this](const Upstream &upstream) {
            return upstream.candidate.ready && tierOf(state.options, upstream.candidate) != Tier::OtherRegion;
        });
    }

    RouteDecision run() const
    {
        const auto ownRegion = pool(Tier::Zone, Tier::Region);
        const auto otherRegions = pool(Tier::OtherRegion, Tier::OtherRegion);
        const bool isRegionGone = !hasReadyUpstreamInRegion();
        if (isRegionGone && otherRegions.size == 0) {
            return {.refusal = Reason::NoUpstream, .retryAfter = kRefusalRetryAfter};
        }
        bool isOverByteCap = false;
        if (otherRegions.size > 0 && shouldSpill(ownRegion)) {
            const auto reason = isRegionGone ? RouteReason::OwnRegionGone : RouteReason::OwnRegionSaturated;
            if (const auto decision = chooseOtherRegion(otherRegions, reason, isOverByteCap)) {
                return *decision;
            }
        }
        if (const auto decision = chooseInRegion(usable(ownRegion))) {
            return *decision;
        }
        if (isRegionGone) {
            return isOverByteCap ? RouteDecision{.refusal = Reason::CrossRegionCap, .retryAfter = kRefusalRetryAfter}
                                 : chooseLastResortOtherRegion(otherRegions);
        }
        if (ownRegion.size == 0) {
            // The call has tried every upstream of the own region, and no other region may be used or is expected to admit it.
            return {.refusal = Reason::LimitReached, .retryAfter = kRefusalRetryAfter};
        }
        return chooseLastResort(ownRegion);
    }

    RouteDecision chooseLastResortOtherRegion(const Pool &otherRegions) const
    {
        if (!refillCrossRegionBudget(state, now, request.bytes)) {
            return {.refusal = Reason::CrossRegionCap, .retryAfter = kRefusalRetryAfter};
        }
        return chooseLastResort(otherRegions);
    }

    /// Chooses when every upstream of @a from is ejected or refuses the rank.
    RouteDecision chooseLastResort(const Pool &from) const
    {
        const auto admitting = filter(from, [this](const Upstream &upstream) { return admits(upstream); });
        if (admitting.size > 0) {
            return {.node = pickByCost(admitting).candidate.node, .route = RouteReason::LastResort};
        }
        // Work has already been done for the root request of a child call, so the gate decides instead of a recorded level.
        if (request.isRootAdmitted || depthOf(request.rank) > 0) {
            const auto notEjected = filter(from, [this](const Upstream &upstream) { return !isEjected(upstream, now); });
            return {.node = pickByCost(notEjected.size > 0 ? notEjected : from).candidate.node, .route = RouteReason::LastResort};
        }
        if (const auto probe = chooseProbe(from)) {
            return *probe;
        }
        return {.refusal = Reason::EntryLevel, .retryAfter = kRefusalRetryAfter};
    }
};

void chargeCrossRegionBytes(RouterState &state, TimePoint now, const Upstream &upstream, std::uint32_t bytes)
{
    if (tierOf(state.options, upstream.candidate) == Tier::OtherRegion) {
        refillCrossRegionBudget(state, now, bytes);
        state.crossRegionBytesLeft -= bytes;
    }
}

} // namespace

Router::Router(TimePoint now, const RouterOptions &options)
    : m_state(std::make_unique<RouterState>())
{
    m_state->options = options;
    m_state->startedAt = now;
    m_state->crossRegionRefilledAt = now - std::chrono::seconds(1);
}

Router::~Router() = default;
Router::Router(Router &&other) noexcept = default;
Router &Router::operator=(Router &&other) noexcept = default;

void Router::configure(TimePoint, const RouterOptions &options)
{
    m_state->options = options;
}

void Router::setCandidates(TimePoint now, std::span<const Candidate> candidates)
{
    auto &state = *m_state;
    std::vector<Candidate> sorted(candidates.begin(), candidates.end());
    const auto byTier = [&state](const Candidate &a, const Candidate &b) { return tierOf(state.options, a) < tierOf(state.options, b); };
    if (sorted.size() > kMaxCandidates) {
        const auto key = state.options.subsetKey;
        std::sort(sorted.begin(), sorted.end(),
                  [key](const Candidate &a, const Candidate &b) { return rendezvousWeight(a.node, key) > rendezvousWeight(b.node, key); });
    }
    std::stable_sort(sorted.begin(), sorted.end(), byTier);
    sorted.resize(std::min(sorted.size(), kMaxCandidates));
    std::vector<Upstream> next;
    next.reserve(sorted.size());
    const bool isFirstSet = state.count == 0;
    for (const auto &it : sorted) {
        const auto *known = state.find(it.node);
        next.push_back(known ? *known : Upstream{.joinedAt = isFirstSet ? state.startedAt : now});
        const bool becameReady = known && !known->candidate.ready && it.ready;
        if (becameReady) {
            next.back().joinedAt = now;
        }
        next.back().candidate = it;
        next.back().candidate.slots = std::max(1U, it.slots);
    }
    state.count = next.size();
    std::copy(next.begin(), next.end(), state.upstreams.begin());
}

RouteDecision Router::choose(TimePoint now, Random &random, const RouteRequest &request, std::span<const NodeId> exclude)
{
    return Choice{*m_state, now, random, request, exclude}.run();
}

RouteDecision Router::preview(TimePoint now, Random &random, const RouteRequest &request) const
{
    auto state = *m_state;
    return Choice{state, now, random, request, {}}.run();
}

void Router::onSent(TimePoint now, NodeId node, std::uint32_t bytes, Duration expectedWork)
{
    auto &state = *m_state;
    auto *upstream = state.find(node);
    if (!upstream) {
        return;
    }
    ++upstream->inFlight;
    upstream->lastSentAt = now;
    recordSent(upstream->load, now, upstream->inFlight, expectedWork);
    chargeCrossRegionBytes(state, now, *upstream, bytes);
}

void Router::onResult(TimePoint now, NodeId node, const RouteResult &result)
{
    auto *upstream = m_state->find(node);
    if (!upstream) {
        return;
    }
    upstream->inFlight -= upstream->inFlight > 0 ? 1 : 0;
    chargeCrossRegionBytes(*m_state, now, *upstream, result.answerBytes);
    recordResult(*m_state, now, *upstream, result);
}

Level Router::level(TimePoint now) const
{
    const auto &state = *m_state;
    std::optional<Level> lowest;
    for (std::size_t n = 0; n < state.count; ++n) {
        const auto &upstream = state.upstreams[n];
        // Skips upstreams that this node hasn't used recently: without a current level they would count as admitting every call.
        const bool hasCurrentLevel = upstream.levelUpdatedAt > TimePoint{} && now - upstream.levelUpdatedAt < state.options.levelExpiry;
        if (upstream.candidate.ready && !isEjected(upstream, now) && hasCurrentLevel) {
            const auto level = levelOf(state, upstream, now);
            lowest = lowest ? std::min(*lowest, level) : level;
        }
    }
    return lowest.value_or(Level{});
}

std::size_t Router::explain(TimePoint now, std::span<CandidateView> out) const
{
    constexpr std::array kTierReasons{RouteReason::OwnZone, RouteReason::OwnRegion, RouteReason::OwnRegionSaturated};
    const auto &state = *m_state;
    const auto n = std::min(out.size(), state.count);
    for (std::size_t it = 0; it < n; ++it) {
        const auto &upstream = state.upstreams[it];
        out[it] = {
            .node = upstream.candidate.node,
            .tier = kTierReasons[static_cast<std::size_t>(tierOf(state.options, upstream.candidate))],
            .inFlight = upstream.inFlight,
            .latency = Duration(static_cast<std::int64_t>(upstream.latencyMicros)),
            .level = levelOf(state, upstream, now),
            .ejected = isEjected(upstream, now),
            .ready = upstream.candidate.ready,
            .weight = slowStartWeight(state, upstream, now),
        };
        if (hasLoadCost(upstream, now)) {
            const auto &load = upstream.load;
            out[it].reportsLoad = true;
            out[it].outstandingWork = Duration(static_cast<std::int64_t>(outstandingMicros(load, now, upstream.candidate.slots)));
            out[it].pace = load.pace.valueAt(now, kPaceAging);
            out[it].paceAge = now - load.pace.recordedAt;
            out[it].isPaceTrusted = isPaceTrusted(load);
            out[it].speed = 1 / load.pacedRatio;
            out[it].lossRate = load.lossRate;
        }
    }
    return n;
}

std::size_t Router::bytes() const
{
    return sizeof(RouterState);
}

} // namespace chicoryspar
