/// @file
/// Choice of an upstream: power of two choices, own zone, own region, other regions.

#include <algorithm>
#include <cassert>
#include <vector>

#include "overload/rank_layout.h"
#include "overload/router_state.h"

namespace chicoryspar {
namespace {

constexpr Duration kEntryRetryAfter = std::chrono::milliseconds(500);
constexpr int kMaxDraws = 8;
/// Cost of the own zone over that of the own region up to which calls stay in the zone.
constexpr double kZonePreference = 1.5;

enum class Tier : std::uint8_t {
    Zone,
    Region,
    Far,
};

Tier tierOf(const RouterOptions &options, const Candidate &candidate)
{
    if (candidate.region != options.region) {
        return Tier::Far;
    }
    return candidate.zone == options.zone ? Tier::Zone : Tier::Region;
}

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

    /// Ready upstreams up to @a tier, from @a first on.
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

    bool isFull(const Upstream &upstream) const
    {
        return isSaturated(state, upstream, now, request.rank);
    }

    const Upstream &draw(const Pool &from) const
    {
        for (int n = 0; n < kMaxDraws; ++n) {
            const auto &upstream = state.upstreams[from.indexes[drawBelow(random, from.size)]];
            const auto weight = startWeight(state, upstream, now);
            if (weight >= 1 || drawUnit(random) < weight) {
                return upstream;
            }
        }
        return state.upstreams[from.indexes[drawBelow(random, from.size)]];
    }

    /// Power of two choices.
    const Upstream &pick(const Pool &from) const
    {
        const auto &first = draw(from);
        if (from.size == 1) {
            return first;
        }
        const auto *second = &draw(from);
        for (int n = 0; n < kMaxDraws && second == &first; ++n) {
            second = &draw(from);
        }
        return costOf(*second, now) < costOf(first, now) ? *second : first;
    }

    /// Upstreams of @a from that aren't ejected and admit the rank.
    Pool usable(const Pool &from) const
    {
        return filter(from, [this](const Upstream &upstream) { return !isEjected(upstream, now) && admits(upstream); });
    }

    double meanCost(const Pool &from) const
    {
        double sum = 0;
        for (std::size_t n = 0; n < from.size; ++n) {
            sum += costOf(state.upstreams[from.indexes[n]], now);
        }
        return sum / static_cast<double>(from.size);
    }

    /// Own region: the zone while it isn't saturated and isn't much slower.
    std::optional<RouteDecision> chooseNear(const Pool &region) const
    {
        if (region.size == 0) {
            return std::nullopt;
        }
        const auto zone = filter(region, [this](const Upstream &upstream) {
            return tierOf(state.options, upstream.candidate) == Tier::Zone && !isFull(upstream);
        });
        if (zone.size > 0 && meanCost(zone) <= meanCost(region) * kZonePreference) {
            return RouteDecision{.node = pick(zone).candidate.node, .route = RouteReason::OwnZone};
        }
        const auto &upstream = pick(region);
        const bool isZone = tierOf(state.options, upstream.candidate) == Tier::Zone;
        return RouteDecision{.node = upstream.candidate.node, .route = isZone ? RouteReason::OwnZone : RouteReason::OwnRegion};
    }

    /// Has room, as far as is known; one that was saturated when last heard of is tried now and then.
    bool isOpen(const Upstream &upstream) const
    {
        if (isFull(upstream)) {
            return false;
        }
        const bool wasSaturated = !upstream.level.admits(request.rank);
        return !wasSaturated || now - std::max(upstream.heardAt, upstream.sentAt) >= state.options.probeInterval;
    }

    bool isSpilling(const Pool &near) const
    {
        const auto saturated = filter(near, [this](const Upstream &upstream) { return isEjected(upstream, now) || isFull(upstream); });
        return saturated.size * 100 >= near.size * state.options.spillAtPercent;
    }

    /// Other regions, under the cap on bytes.
    std::optional<RouteDecision> chooseFar(const Pool &far, RouteReason reason, bool &isCapped) const
    {
        const auto open = filter(usable(far), [this](const Upstream &upstream) { return isOpen(upstream); });
        // Where all regions are saturated, the way to another one only costs.
        const auto candidates = open.size > 0 || reason == RouteReason::OwnRegionSaturated ? open : usable(far);
        if (candidates.size == 0) {
            return std::nullopt;
        }
        if (!fitsCrossRegion(state, now, request.bytes)) {
            isCapped = true;
            return std::nullopt;
        }
        return RouteDecision{.node = pick(candidates).candidate.node, .route = reason};
    }

    /// One upstream that has been quiet, to learn its level.
    std::optional<RouteDecision> chooseProbe(const Pool &from) const
    {
        for (std::size_t n = 0; n < from.size; ++n) {
            auto &upstream = state.upstreams[from.indexes[n]];
            const auto quietSince = std::max(upstream.heardAt, upstream.probedAt);
            if (!isEjected(upstream, now) && now - quietSince >= state.options.probeInterval) {
                upstream.probedAt = now;
                return RouteDecision{.node = upstream.candidate.node, .route = RouteReason::Probe};
            }
        }
        return std::nullopt;
    }

    /// A ready upstream of the own region exists, tried before or not.
    bool isRegionPresent() const
    {
        const auto last = state.upstreams.begin() + static_cast<std::ptrdiff_t>(state.count);
        return std::any_of(state.upstreams.begin(), last, [this](const Upstream &upstream) {
            return upstream.candidate.ready && tierOf(state.options, upstream.candidate) != Tier::Far;
        });
    }

    RouteDecision run() const
    {
        const auto near = pool(Tier::Zone, Tier::Region);
        const auto far = pool(Tier::Far, Tier::Far);
        const bool isGone = !isRegionPresent();
        if (isGone && far.size == 0) {
            return {.refusal = Reason::NoUpstream, .retryAfter = kEntryRetryAfter};
        }
        bool isCapped = false;
        if (far.size > 0 && isSpilling(near)) {
            const auto reason = isGone ? RouteReason::OwnRegionGone : RouteReason::OwnRegionSaturated;
            if (const auto decision = chooseFar(far, reason, isCapped)) {
                return *decision;
            }
        }
        if (const auto decision = chooseNear(usable(near))) {
            return *decision;
        }
        if (isGone) {
            return isCapped ? RouteDecision{.refusal = Reason::CrossRegionCap, .retryAfter = kEntryRetryAfter} : refuseFar(far);
        }
        if (near.size == 0) {
            // Each was tried, and the way to a region that refuses the rank too only costs.
            return {.refusal = Reason::LimitReached, .retryAfter = kEntryRetryAfter};
        }
        return chooseRefusing(near);
    }

    RouteDecision refuseFar(const Pool &far) const
    {
        if (!fitsCrossRegion(state, now, request.bytes)) {
            return {.refusal = Reason::CrossRegionCap, .retryAfter = kEntryRetryAfter};
        }
        return chooseRefusing(far);
    }

    /// Every upstream is ejected or refuses the rank.
    RouteDecision chooseRefusing(const Pool &from) const
    {
        const auto admitting = filter(from, [this](const Upstream &upstream) { return admits(upstream); });
        if (admitting.size > 0) {
            return {.node = pick(admitting).candidate.node, .route = RouteReason::LastResort};
        }
        // Work has been done for a deeper call, so the gate decides on it.
        if (request.isRootAdmitted || depthOf(request.rank) > 0) {
            const auto sound = filter(from, [this](const Upstream &upstream) { return !isEjected(upstream, now); });
            return {.node = pick(sound.size > 0 ? sound : from).candidate.node, .route = RouteReason::LastResort};
        }
        if (const auto probe = chooseProbe(from)) {
            return *probe;
        }
        return {.refusal = Reason::EntryLevel, .retryAfter = kEntryRetryAfter};
    }
};

void chargeCrossRegion(RouterState &state, TimePoint now, const Upstream &upstream, std::uint32_t bytes)
{
    if (tierOf(state.options, upstream.candidate) == Tier::Far) {
        fitsCrossRegion(state, now, bytes);
        state.crossBytes -= bytes;
    }
}

} // namespace

Router::Router(TimePoint now, const RouterOptions &options)
    : m_state(std::make_unique<RouterState>())
{
    m_state->options = options;
    m_state->startedAt = now;
    m_state->crossFilledAt = now - std::chrono::seconds(1);
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
    std::stable_sort(sorted.begin(), sorted.end(),
                     [&state](const Candidate &a, const Candidate &b) { return tierOf(state.options, a) < tierOf(state.options, b); });
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

void Router::onSent(TimePoint now, NodeId node, std::uint32_t bytes)
{
    auto &state = *m_state;
    auto *upstream = state.find(node);
    if (!upstream) {
        return;
    }
    ++upstream->inFlight;
    upstream->sentAt = now;
    chargeCrossRegion(state, now, *upstream, bytes);
}

void Router::onResult(TimePoint now, NodeId node, const RouteResult &result)
{
    auto *upstream = m_state->find(node);
    if (!upstream) {
        return;
    }
    upstream->inFlight -= upstream->inFlight > 0 ? 1 : 0;
    chargeCrossRegion(*m_state, now, *upstream, result.answerBytes);
    recordResult(*m_state, now, *upstream, result);
}

Level Router::level(TimePoint now) const
{
    const auto &state = *m_state;
    std::optional<Level> lowest;
    for (std::size_t n = 0; n < state.count; ++n) {
        const auto &upstream = state.upstreams[n];
        // An upstream that this node doesn't use says nothing.
        const bool isUsed = upstream.levelAt > TimePoint{} && now - upstream.levelAt < state.options.levelExpiry;
        if (upstream.candidate.ready && !isEjected(upstream, now) && isUsed) {
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
            .weight = startWeight(state, upstream, now),
        };
    }
    return n;
}

std::size_t Router::bytes() const
{
    return sizeof(RouterState);
}

} // namespace chicoryspar
