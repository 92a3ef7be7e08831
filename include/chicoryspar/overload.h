#pragma once

/// @file
/// Overload control without I/O: ranks and admission levels, the gate before a backend server, retry budgets, backoff and the choice
/// of an upstream. Each function that decides takes the current time and allocates no memory.

#include <chicoryspar/core.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

namespace chicoryspar {

// Ranks and admission levels.

/// Priority of a call under overload: the lowest ranks are refused first. Ordered by request class, then depth in the call tree, then
/// importance of the caller, then the hash of the root request.
struct Rank
{
    std::uint32_t value = 0;

    auto operator<=>(const Rank &) const = default;
};

/// Admission level: the lowest rank that a gate admits. The default admits every call.
struct Level
{
    std::uint32_t value = 0;

    constexpr bool admits(Rank rank) const
    {
        return rank.value >= value;
    }
    auto operator<=>(const Level &) const = default;
};

/// Admission levels that an answer or refusal returns to the node that sent the call.
struct Levels
{
    /// Level of the gate that answered.
    Level gate;
    /// Highest level among the services of this call's descendant calls, translated to the depth of this call.
    Level descendants;
};

Rank makeRank(const CallContext &context);

/// Number of label steps of a request of a customer, see customerImportance().
constexpr std::uint8_t kLabelSteps = 5;

/// Returns the importance of a request of a customer whose priority determines the request class: the route's priority decides first, then
/// the label.
/// @param routePriority 0 is the highest; all above 2 count as 2
/// @param labelStep from 0 (refused first) to kLabelSteps - 1
constexpr std::uint8_t customerImportance(std::uint32_t routePriority, std::uint8_t labelStep)
{
    constexpr std::uint32_t kLowestPriority = 2;
    const auto step = labelStep < kLabelSteps ? labelStep : kLabelSteps - 1;
    return static_cast<std::uint8_t>((kLowestPriority - std::min(routePriority, kLowestPriority)) * kLabelSteps + step);
}

/// Returns the request class of a rank or level.
RequestClass classOf(Rank rank);
RequestClass classOf(Level level);

/// Returns the lowest rank of a request class.
Rank lowestRank(RequestClass value);

/// Translates a level for child calls to the depth of their parent call, within its request class.
Level levelAtParentDepth(Level level);

// Gate.

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
    /// Time after which overload counts as sustained if the backlog has exceeded twice its target and not returned to the target since.
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
    /// Calls per second that the backend server accepts, if it has stated a limit.
    std::optional<double> rateLimit;
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

    /// Restarts the cold-start ramp and discards measured latencies and the rate limit, for a new instance of the backend server.
    void restart(TimePoint now);

    /// Sets the calls per second that the backend server accepts; nothing for no limit.
    void setRateLimit(TimePoint now, std::optional<double> rate);

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

    /// Returns what offer() would decide, without a change of state and without regard to the capacity of the queue. The retryAfter of a
    /// call that isn't refused is its expected wait; that of a refused call is zero.
    GateDecision explain(TimePoint now, const GateRequest &request) const;

    GateSnapshot snapshot() const;

    /// Returns the memory of the gate in bytes; constant between configure() calls.
    std::size_t bytes() const;

private:
    std::unique_ptr<struct GateState> m_state;
};

// Admission levels of descendant services.

struct LevelCacheOptions
{
    /// Time after which a level that no answer has confirmed is dropped, so that every call is admitted.
    Duration expiry = std::chrono::milliseconds(1000);
    /// Expiry of a level that refuses orders.
    Duration orderExpiry = std::chrono::milliseconds(300);
    /// Time without an answer or a probe after which one call is admitted as a probe.
    Duration probeInterval = std::chrono::milliseconds(100);
    /// Weight of one answer in the moving average of the refused share of a key's calls; 1 uses each level unchanged.
    double weight = 1;
};

/// Caches the levels that answers returned, by a key such as the hash of service and method, so that an entry node can refuse calls before
/// sending them. Fixed size and set-associative: a new key evicts the least recently updated one of its set.
class LevelCache
{
public:
    explicit LevelCache(const LevelCacheOptions &options = {});

    /// Records the level that an answer returned.
    /// @param rank rank of the answered call, used only for a weight under 1; the calls of one key differ in rank only by the hash of the
    /// root request
    void record(TimePoint now, std::uint64_t key, Level level, Rank rank = {});

    /// Returns whether a call may be sent; a refusal has the reason EntryLevel. Admits one call per probe interval as a probe.
    bool admit(TimePoint now, std::uint64_t key, Rank rank);

    /// Returns the level in force for @a key.
    Level level(TimePoint now, std::uint64_t key) const;

private:
    struct Entry
    {
        std::uint64_t key = 0;
        Level level;
        /// Moving average of the share of calls that the level refuses, 0 to 1.
        double refusedShare = 0;
        TimePoint updatedAt;
        TimePoint lastProbeAt;
    };
    static constexpr std::size_t kSets = 256;
    static constexpr std::size_t kWays = 4;

    Level levelOf(TimePoint now, const Entry &entry) const;
    const Entry *find(std::uint64_t key) const;

    LevelCacheOptions m_options;
    std::array<Entry, kSets * kWays> m_entries{};
};

// Retries.

/// Returns whether another attempt may follow one that ended with @a outcome and @a reason.
/// @param isIdempotent running the request twice has no further effect, so it may be retried even if it may have run
bool mayRetry(Outcome outcome, Reason reason, bool isIdempotent);

/// Retry tokens that a call in flight holds for itself and its descendant calls. Each attempt at a child call is granted tokens and returns
/// the unused ones; each retry of a child call costs one. The retries in the whole call tree never exceed the tokens of the root request.
class RetryBudget
{
public:
    RetryBudget() = default;
    explicit RetryBudget(std::uint16_t tokens);

    /// Grants tokens to one attempt at a child call: an equal share of the tokens left, after one is set aside for a retry if there
    /// are more tokens than siblings.
    /// @param attempt identifies the attempt among those of this call
    /// @param siblings child calls that share the tokens left, this one included
    /// @returns the tokens granted; 0 when none are left or too many attempts hold tokens
    std::uint16_t grant(std::uint64_t attempt, std::uint16_t siblings = 1);

    /// Takes back the tokens that an attempt didn't use, at most as many as it was granted. No effect for an unknown attempt or one that
    /// has returned its tokens before.
    void returnTokens(std::uint64_t attempt, std::uint16_t remaining);

    /// Writes off the tokens of an attempt whose outcome is unknown, as it may have used them.
    void forfeitTokens(std::uint64_t attempt);

    /// Takes one token for a retry.
    /// @returns false when none is left
    bool takeRetry();

    /// Returns the tokens left, to be reported to the parent call with the answer.
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
    /// Retries allowed per hundred first attempts.
    double ratioPercent = 10;
    /// Retries allowed per second regardless of first attempts.
    double minRetriesPerSecond = 1;
    /// Capacity of the token bucket, in retries.
    double burst = 20;
};

/// Token bucket that limits the retries of one node to a share of its first attempts.
class RatioBudget
{
public:
    RatioBudget(TimePoint now, const RatioBudgetOptions &options = {});

    void configure(const RatioBudgetOptions &options);

    /// Counts a first attempt.
    void onFirstAttempt();

    /// Takes one token for a retry.
    /// @returns false when no token is left
    bool takeRetry(TimePoint now);

private:
    RatioBudgetOptions m_options;
    TimePoint m_refilledAt;
    double m_tokens;
};

struct BackoffOptions
{
    /// Upper bound of the jitter before the first retry; doubles with each further one.
    Duration base = std::chrono::milliseconds(20);
    /// Highest upper bound of the jitter.
    Duration max = std::chrono::milliseconds(500);
};

/// Returns the delay before retry number @a retry (from 1): exponential backoff with full jitter, added to @a retryAfter.
Duration backoffDelay(Random &random, const BackoffOptions &options, std::uint32_t retry, Duration retryAfter = Duration{0});

// Routing.

/// Why the router chose an upstream.
enum class RouteReason : std::uint8_t {
    None,
    OwnZone,
    OwnRegion,
    OwnRegionSaturated,
    OwnRegionGone,
    /// Every upstream is ejected or is expected to refuse the call; the best of them is used.
    LastResort,
    /// The call is sent to refresh the recorded level of an upstream.
    Probe,
    Count,
};

struct RouteReasonRow
{
    std::string_view name;
    std::string_view text;
};

const RouteReasonRow &rowOf(RouteReason value);

/// One upstream of a service, as membership reports it.
struct Candidate
{
    NodeId node;
    /// Equal numbers mean the same zone or region.
    std::uint32_t zone = 0;
    std::uint32_t region = 0;
    /// Slots that the upstream announced. The router considers it saturated once this node has twice as many calls in flight to it.
    std::uint32_t slots = 1;
    /// Accepts new calls.
    bool ready = true;
    /// Load that its endpoint reports, in percent. Informational: never affects the choice.
    std::uint8_t loadHint = 0;
};

struct RouterOptions
{
    std::uint32_t zone = 0;
    std::uint32_t region = 0;
    /// Cap on bytes exchanged with other regions; 0 allows none.
    std::uint64_t crossRegionBytesPerSecond = 50'000'000;
    /// Share of the own region's upstreams that must be saturated or ejected before other regions are used.
    std::uint32_t spillAtPercent = 90;
    /// Highest share of upstreams that may be ejected at once.
    std::uint32_t ejectSharePercent = 20;
    /// Time over which a new upstream ramps up to its full share of calls.
    Duration slowStart = std::chrono::seconds(5);
    /// Time after which a level or refusal is ignored.
    Duration levelExpiry = std::chrono::milliseconds(1000);
    /// Time without a result or probe after which an upstream that refuses calls is probed.
    Duration probeInterval = std::chrono::milliseconds(100);
    /// Selects the subset of a service that has more upstreams than the router holds; differs from node to node.
    std::uint64_t subsetKey = 0;
};

struct RouteRequest
{
    Rank rank;
    /// Size of the request, which counts against the cap on cross-region bytes.
    std::uint32_t bytes = 0;
    /// The entry node admitted its root request, so that no level refuses it.
    bool isRootAdmitted = false;
};

struct RouteDecision
{
    /// Invalid when refused.
    NodeId node;
    RouteReason route = RouteReason::None;
    /// None unless refused: NoUpstream, EntryLevel, LimitReached (the call has tried each upstream of the own region) or CrossRegionCap.
    Reason refusal = Reason::None;
    Duration retryAfter{0};
};

/// Result of one attempt, as input to the signals of its upstream.
struct RouteResult
{
    Rank rank;
    /// Time from sending the attempt to its end.
    Duration latency{0};
    Outcome outcome = Outcome::Answer;
    /// Reason that the upstream returned, or that this node found, such as a lost connection.
    Reason reason = Reason::None;
    /// Size of the answer, which counts against the cap on cross-region bytes.
    std::uint32_t answerBytes = 0;
    /// Level that the upstream returned; nothing if it didn't reply.
    std::optional<Level> level;
    /// Calls per second that the backend server accepts from all nodes together; nothing for no limit.
    std::optional<double> rateLimit;
};

/// State of one upstream for status and explain.
struct CandidateView
{
    NodeId node;
    /// OwnZone, OwnRegion, or OwnRegionSaturated for an upstream of another region.
    RouteReason tier = RouteReason::None;
    std::uint32_t inFlight = 0;
    /// Moving average of answer latencies.
    Duration latency{0};
    Level level;
    bool ejected = false;
    bool ready = false;
    /// Share of its full weight during slow start, 0 to 1.
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

    /// Replaces the upstreams; the signals of those that remain are kept. Beyond kMaxCandidates, upstreams of the own zone take precedence,
    /// then those of the own region; among equals, the rank by RouterOptions::subsetKey decides, so that each upstream is in the subsets
    /// of about as many nodes as any other, and a join or leave moves few.
    void setCandidates(TimePoint now, std::span<const Candidate> candidates);

    /// Chooses an upstream, or refuses with the reason.
    /// @param exclude upstreams that this call has tried
    RouteDecision choose(TimePoint now, Random &random, const RouteRequest &request, std::span<const NodeId> exclude = {});

    /// Returns what choose() would return, without changing any signal or budget.
    RouteDecision preview(TimePoint now, Random &random, const RouteRequest &request) const;

    /// Counts an attempt as in flight. Each needs one onResult().
    /// @param bytes size of the request, which counts against the cap on cross-region bytes
    void onSent(TimePoint now, NodeId node, std::uint32_t bytes = 0);

    /// Ends an attempt and updates the signals of its upstream.
    void onResult(TimePoint now, NodeId node, const RouteResult &result);

    /// Returns the lowest current level among the upstreams in use: the rank that a call needs to be admitted by at least one of them.
    Level level(TimePoint now) const;

    /// Writes one view for each upstream into @a out.
    /// @returns the number written
    std::size_t explain(TimePoint now, std::span<CandidateView> out) const;

    /// Returns the memory that the router holds, in bytes.
    std::size_t bytes() const;

private:
    std::unique_ptr<struct RouterState> m_state;
};

} // namespace chicoryspar
