#pragma once

/// @file
/// Overload control without I/O: ranks and admission levels, the gate before a backend server, retry budgets, backoff and the choice
/// of an upstream. Each function that decides takes the current time and allocates no memory.

#include <chicoryspar/core.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

namespace chicoryspar {

// --- Ranks and admission levels --------------------------------------------------------------------------------------

/// Order in which overload refuses calls: the lowest is refused first. Ordered by request class, then depth in the tree of calls,
/// then importance of the caller, then the hash of the root request.
struct Rank
{
    std::uint32_t value = 0;

    auto operator<=>(const Rank &) const = default;
};

/// Lowest rank that a gate admits; the default admits every call.
struct Level
{
    std::uint32_t value = 0;

    constexpr bool admits(Rank rank) const
    {
        return rank.value >= value;
    }
    auto operator<=>(const Level &) const = default;
};

/// Admission levels that an answer or refusal carries back to the node that sent the call.
struct Levels
{
    /// Level of the gate that answered.
    Level gate;
    /// Highest level of the services below it that this call used, as seen from the depth of this call.
    Level below;
};

Rank makeRank(const CallContext &context);
RequestClass classOf(Rank rank);
RequestClass classOf(Level level);
Rank lowestRank(RequestClass value);

/// Translates a level that applies to calls one hop below to the depth of the call that makes them.
Level liftLevel(Level level);

// Gate

/// Algorithm that adapts the concurrency limit of a gate.
enum class LimitAlgorithm : std::uint8_t {
    /// Always the maximum.
    Static,
    /// AIMD: increase in small steps while saturated, multiplicative decrease on queueing inside the backend server or on shed requests.
    Aimd,
    /// Limit scaled by the ratio of the latency without queueing to the current latency.
    Gradient,
    /// Limit moved to the point from which more concurrency no longer raises throughput.
    Throughput,
    Count,
};

/// Why the concurrency limit has its current value.
enum class LimitReason : std::uint8_t {
    Unknown,
    Slots,
    ColdStart,
    Queueing,
    Shedding,
    /// The backend server sheds requests at any limit, so a lower limit would only cost answers.
    SheddingAnyway,
    Growing,
    Minimum,
    Count,
};

struct LimitAlgorithmRow
{
    std::string_view name;
};

struct LimitReasonRow
{
    std::string_view name;
    std::string_view text;
};

const LimitAlgorithmRow &rowOf(LimitAlgorithm value);
const LimitReasonRow &rowOf(LimitReason value);
std::optional<LimitAlgorithm> findLimitAlgorithm(std::string_view name);

/// Settings of a gate, as given by an OverloadPolicy and the backend server.
struct GateOptions
{
    LimitAlgorithm algorithm = LimitAlgorithm::Throughput;
    /// Lowest concurrency limit, in calls.
    std::uint32_t minLimit = 1;
    /// Highest concurrency limit, in calls; the announced slots bound it too.
    std::uint32_t maxLimit = 1000;
    /// Slots that the backend server announced.
    std::uint32_t slots = 1;
    /// Target queueing delay.
    Duration queueTarget = std::chrono::milliseconds(10);
    /// Time for which the backlog may exceed its target before the overload counts as sustained.
    Duration queueInterval = std::chrono::milliseconds(100);
    /// Upper bound of the target queueing delay, which is otherwise raised to absorb random variation of arrivals; zero for no bound.
    Duration maxQueueDelay{0};
    /// Queue capacity for calls below the class Order; 0 takes four times the slots. Never under 64.
    std::uint32_t queueLength = 0;
    /// Queue capacity for calls of the class Order.
    std::uint32_t orderQueueLength = 4096;
    /// Time over which the limit ramps up from a quarter of its maximum, after construction or restart().
    Duration coldStart = std::chrono::seconds(5);
    /// Share of the excess load that callers are told to throttle, in percent; 0 keeps the level at its lowest.
    std::uint32_t pushBack = 100;
};

/// One call that requests admission.
struct GateRequest
{
    /// Identifies the call; chosen by the user of the gate, unique among the calls that wait or run.
    std::uint64_t ticket = 0;
    Rank rank;
    /// Time after which the answer is of no use.
    TimePoint deadline;
    /// The root request was admitted at the entry node, so no level refuses this call.
    bool isRootAdmitted = false;
    /// Shortest time in which the backend server answers such a call; zero takes the average service time of all calls.
    Duration minServiceTime{0};
};

/// Returns whether the root request of a call was admitted at the entry node.
bool isRootAdmitted(const CallContext &context);

GateRequest makeGateRequest(TimePoint now, std::uint64_t ticket, const CallContext &context);

enum class GateVerdict : std::uint8_t {
    Admitted,
    Queued,
    Refused,
    Count,
};

struct GateDecision
{
    std::uint64_t ticket = 0;
    GateVerdict verdict = GateVerdict::Refused;
    /// None unless refused.
    Reason reason = Reason::None;
    /// Delay before a retry makes sense; zero when unknown.
    Duration retryAfter{0};
};

/// How a call that the gate admitted ended at the backend server.
enum class GateResult : std::uint8_t {
    Success,
    /// The backend server stated that it didn't execute the call.
    Shed,
    /// Lost connection, failure, or no answer.
    Failure,
    Count,
};

/// State of a gate, for status and explain.
struct GateSnapshot
{
    std::uint32_t limit = 0;
    LimitReason limitReason = LimitReason::Unknown;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint32_t queuedOrders = 0;
    Level level;
    /// Queueing delay of the most recently dispatched call.
    Duration queueingDelay{0};
    /// Average time from dispatch to answer.
    Duration serviceTime{0};
    /// Throughput of the backend server at its limit, in answers per second; 0 while unknown.
    double capacity = 0;
    /// Lookups are refused because an order was refused within the last second, or because the level refuses orders.
    bool lookupsHeld = false;
    std::uint64_t admitted = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(RequestClass::Count)> refused{};
};

/// Admits calls to one backend server. After each call of another function, and at nextEvent(), call poll() until it returns 0.
class Gate
{
public:
    Gate(TimePoint now, const GateOptions &options);
    ~Gate();
    Gate(Gate &&other) noexcept;
    Gate &operator=(Gate &&other) noexcept;

    /// Applies new settings; waiting and running calls are kept.
    void configure(TimePoint now, const GateOptions &options);

    /// Restarts the cold-start ramp and forgets measured latencies, for a new instance of the backend server.
    void restart(TimePoint now);

    /// Decides on one call: admitted, queued or refused.
    GateDecision offer(TimePoint now, const GateRequest &request);

    /// Ends a call that was admitted.
    /// @param latency time from dispatch to the end of the answer
    void finish(TimePoint now, std::uint64_t ticket, Duration latency, GateResult result);

    /// Removes a call that waits or runs.
    /// @returns whether there was a call with this ticket
    bool cancel(TimePoint now, std::uint64_t ticket);

    /// Writes decisions on waiting calls into @a out.
    /// @returns the number written
    std::size_t poll(TimePoint now, std::span<GateDecision> out);

    /// Returns the time at which poll() must be called even if no other function is; TimePoint::max() for never.
    TimePoint nextEvent() const;

    /// Returns the level to send back on answers and refusals.
    Level level() const;

    /// Returns what offer() would decide, without a change of state.
    GateDecision explain(TimePoint now, const GateRequest &request) const;

    GateSnapshot snapshot() const;

    /// Returns the memory of the gate in bytes; constant between configure() calls.
    std::size_t bytes() const;

private:
    std::unique_ptr<struct GateState> m_state;
};

// --- Levels of services below ----------------------------------------------------------------------------------------

struct LevelCacheOptions
{
    /// Time after which a level that no answer repeated admits everything.
    Duration expiry = std::chrono::milliseconds(1000);
    /// Expiry of a level that refuses orders.
    Duration orderExpiry = std::chrono::milliseconds(300);
    /// Longest time without an answer before one refused call is let through.
    Duration probeInterval = std::chrono::milliseconds(100);
    /// Weight of one answer in the share of a key's calls that is refused; 1 takes over each level as it is.
    double weight = 1;
};

/// Remembers the levels that came back on answers, by a key such as the hash of service and method, so that an entry node refuses
/// early. Bounded; the least recently updated key makes room.
class LevelCache
{
public:
    explicit LevelCache(const LevelCacheOptions &options = {});

    /// Records the level that an answer carried.
    /// @param rank of the call that was answered, for a weight under 1; all calls of one key rank alike but for their roots
    void record(TimePoint now, std::uint64_t key, Level level, Rank rank = {});

    /// Tells whether a call may go on; a refusal has the reason EntryLevel. Lets single calls through as probes.
    bool admit(TimePoint now, std::uint64_t key, Rank rank);

    /// Returns the level in force for @a key.
    Level level(TimePoint now, std::uint64_t key) const;

private:
    struct Entry
    {
        std::uint64_t key = 0;
        Level level;
        /// Share of the calls below the level, averaged over answers.
        double refusedShare = 0;
        TimePoint updatedAt;
        TimePoint probedAt;
    };
    static constexpr std::size_t kSets = 256;
    static constexpr std::size_t kWays = 4;

    Level levelOf(TimePoint now, const Entry &entry) const;
    const Entry *find(std::uint64_t key) const;

    LevelCacheOptions m_options;
    std::array<Entry, kSets * kWays> m_entries{};
};

// --- Retries ---------------------------------------------------------------------------------------------------------

/// Tells whether another attempt may be made after one that ended so.
/// @param isSafe the request is idempotent, so that running it twice does no harm
bool mayRepeat(Outcome outcome, Reason reason, bool isSafe);

/// Retry tokens that one call in flight holds for itself and everything below it. A child call takes tokens along and brings back what is
/// left; each repeat of a child costs one. The repeats in the whole tree of calls never exceed the tokens of the root request.
class RetryBudget
{
public:
    RetryBudget() = default;
    explicit RetryBudget(std::uint16_t tokens);

    /// Takes tokens for one attempt at a child call.
    /// @param attempt identifies the attempt among those of this call
    /// @param siblings child calls that will share what is there, this one included
    /// @returns the tokens that the attempt carries
    std::uint16_t grant(std::uint64_t attempt, std::uint16_t siblings = 1);

    /// Returns what an attempt left over. A second return for the same attempt, or one of an unknown attempt, has no effect.
    void giveBack(std::uint64_t attempt, std::uint16_t left);

    /// Gives up the tokens of an attempt whose end isn't known.
    void lose(std::uint64_t attempt);

    /// Takes one token for a repeat.
    /// @returns false when none is left
    bool takeRepeat();

    /// Tokens that are left here, for the answer to the call above.
    std::uint16_t left() const;

private:
    struct Grant
    {
        std::uint64_t attempt = 0;
        std::uint16_t tokens = 0;
    };
    static constexpr std::size_t kMaxGrants = 16;

    std::array<Grant, kMaxGrants> m_grants{};
    std::uint8_t m_grantCount = 0;
    std::uint16_t m_left = 0;
};

struct RatioBudgetOptions
{
    /// Repeats allowed for each hundred first attempts.
    double ratioPercent = 10;
    /// Repeats allowed each second without any first attempt.
    double minPerSecond = 1;
    /// Repeats that may be saved up.
    double burst = 20;
};

/// Bounds the repeats of one node to a share of its traffic.
class RatioBudget
{
public:
    RatioBudget(TimePoint now, const RatioBudgetOptions &options = {});

    void configure(const RatioBudgetOptions &options);

    /// Counts a first attempt.
    void onFirstAttempt();

    /// Takes the place of one repeat.
    /// @returns false when the share is used up
    bool takeRepeat(TimePoint now);

private:
    RatioBudgetOptions m_options;
    TimePoint m_refilledAt;
    double m_tokens;
};

struct BackoffOptions
{
    Duration base = std::chrono::milliseconds(20);
    Duration max = std::chrono::milliseconds(500);
};

/// Returns the delay before repeat number @a repeat (from 1): exponential with full jitter, never under @a retryAfter.
Duration backoffDelay(Random &random, const BackoffOptions &options, std::uint32_t repeat, Duration retryAfter = Duration{0});

// --- Routing ---------------------------------------------------------------------------------------------------------

/// Why the router chose an upstream.
enum class RouteReason : std::uint8_t {
    None,
    OwnZone,
    OwnRegion,
    OwnRegionSaturated,
    OwnRegionGone,
    /// Every upstream is ejected or refused before; the best of them is used all the same.
    LastResort,
    /// Lets one call through to learn the present level of an upstream.
    Probe,
    Count,
};

struct RouteReasonRow
{
    std::string_view name;
    std::string_view text;
};

const RouteReasonRow &rowOf(RouteReason value);

/// One upstream of a service, as membership knows it.
struct Candidate
{
    NodeId node;
    /// Equal numbers mean the same zone or region.
    std::uint32_t zone = 0;
    std::uint32_t region = 0;
    /// Announced slots; bounds the calls that this node has in flight to it.
    std::uint32_t slots = 1;
    /// Accepts new work.
    bool ready = true;
    /// Load that its endpoint states, in percent. A hint that never changes the choice.
    std::uint8_t loadHint = 0;
};

struct RouterOptions
{
    std::uint32_t zone = 0;
    std::uint32_t region = 0;
    /// Cap on bytes to other regions; 0 allows none.
    std::uint64_t crossRegionBytesPerSecond = 50'000'000;
    /// Share of the own region's upstreams that must be saturated before other regions are used.
    std::uint32_t spillAtPercent = 90;
    /// Highest share of upstreams that may be ejected at once.
    std::uint32_t ejectSharePercent = 20;
    /// Time over which a new upstream grows to its full share.
    Duration slowStart = std::chrono::seconds(5);
    /// Time after which a level or a refusal no longer counts.
    Duration levelExpiry = std::chrono::milliseconds(1000);
    Duration probeInterval = std::chrono::milliseconds(100);
};

struct RouteRequest
{
    Rank rank;
    /// Bytes of the request.
    std::uint32_t bytes = 0;
    /// Its root request was admitted where it entered, so that no level refuses it.
    bool isRootAdmitted = false;
};

struct RouteDecision
{
    /// Invalid when refused.
    NodeId node;
    RouteReason route = RouteReason::None;
    /// None unless refused: NoUpstream, EntryLevel, LimitReached (each upstream was tried) or CrossRegionCap.
    Reason refusal = Reason::None;
    Duration retryAfter{0};
};

/// What one attempt showed about its upstream.
struct RouteResult
{
    /// Rank of the call.
    Rank rank;
    /// Time from sending to the end.
    Duration latency{0};
    Outcome outcome = Outcome::Answer;
    /// Reason that came back or was found here.
    Reason reason = Reason::None;
    /// Bytes of the answer, which count against the cap on cross-region bytes.
    std::uint32_t answerBytes = 0;
    /// Level that came back; nothing when the attempt got no answer.
    std::optional<Level> level;
};

/// State of one upstream for status and explain.
struct CandidateView
{
    NodeId node;
    RouteReason tier = RouteReason::None;
    std::uint32_t inFlight = 0;
    Duration latency{0};
    Level level;
    bool ejected = false;
    bool ready = false;
    /// Share of its weight after slow start, 0 to 1.
    double weight = 1;
};

/// Chooses an upstream of one service for each call.
class Router
{
public:
    static constexpr std::size_t kMaxCandidates = 64;

    Router(TimePoint now, const RouterOptions &options);
    ~Router();
    Router(Router &&other) noexcept;
    Router &operator=(Router &&other) noexcept;

    void configure(TimePoint now, const RouterOptions &options);

    /// Replaces the upstreams; what is known about those that stay is kept. Past kMaxCandidates, own zone and region go first.
    void setCandidates(TimePoint now, std::span<const Candidate> candidates);

    /// Chooses an upstream, or refuses with the reason.
    /// @param exclude upstreams that this call tried before
    RouteDecision choose(TimePoint now, Random &random, const RouteRequest &request, std::span<const NodeId> exclude = {});

    /// Counts an attempt that was sent. Each needs one onResult().
    void onSent(TimePoint now, NodeId node, std::uint32_t bytes = 0);

    /// Counts the end of an attempt.
    void onResult(TimePoint now, NodeId node, const RouteResult &result);

    /// Returns the lowest level among the upstreams in use: what a call needs to be admitted by any of them.
    Level level(TimePoint now) const;

    /// Writes one view for each upstream into @a out.
    /// @returns the number written
    std::size_t explain(TimePoint now, std::span<CandidateView> out) const;

    /// Returns the bytes that the router holds.
    std::size_t bytes() const;

private:
    std::unique_ptr<struct RouterState> m_state;
};

} // namespace chicoryspar
