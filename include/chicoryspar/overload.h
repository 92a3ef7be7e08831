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
#include <string>
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
    /// Ranks have many importances, as customers' requests do: the rates of all classes and importances are estimated one by one.
    bool hasManyGroups = false;
    /// While the backlog is over its target, serves calls that can still meet their objective before those of the same class, depth and
    /// importance that can't, and refuses at once what can't be served before its deadline.
    bool prefersObjective = false;
    /// States to refused calls when room is expected for them, instead of a constant.
    bool spacesReturns = false;
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
    /// Time after which the answer is worth less; used with GateOptions::prefersObjective and GateOptions::spacesReturns only.
    TimePoint objective = TimePoint::max();
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
    /// How long calls have been refused for lack of room; zero if none was within the last second.
    Duration overloadTime{0};
    /// Calls per second offered while there was no overload; 0 while unknown.
    double usualRate = 0;
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

// Repeats at a gate: calls that repeat one that may have reached a backend server, and the calls that descend from them.

/// Bound on the repeats that the gates of one service dispatch, all together.
struct RepeatBudgetOptions
{
    /// Repeats allowed per first arrival.
    double ratio = 0;
    /// Repeats allowed beyond that in each window, over all gates of the service.
    double extra = 0;
    /// Ready gates of the service that this node knows, this one included.
    std::uint32_t gates = 1;
};

struct RepeatRequest
{
    Rank rank;
    /// As CallContext::descendsFromRepeat.
    bool isDescendant = false;
};

/// Repeats that one gate may dispatch. Its gates divide the extra repeats of a service, so that in each kWindow all of them dispatch at
/// most RepeatBudgetOptions::ratio repeats per first arrival, in this window or in the one before, plus RepeatBudgetOptions::extra. Half of
/// the ratio fills a token bucket; the other half is earned by the arrivals of the window before, so that an incident of a few seconds can
/// use what ten seconds allow. While more repeats are offered than can be dispatched, those of the roots with the highest hashes are
/// chosen: all gates then serve the same roots, whose calls all succeed, instead of a few calls of every root.
class RepeatBudget
{
public:
    static constexpr Duration kWindow = std::chrono::seconds(10);

    /// Starts without tokens, so that a restart grants none.
    explicit RepeatBudget(TimePoint now);

    /// Applies new settings. To be called again as time passes, because a smaller number of gates takes effect after a delay.
    void configure(TimePoint now, const RepeatBudgetOptions &options);

    /// Counts a first arrival that is dispatched.
    void onFirstArrival(TimePoint now);

    /// Takes one token for a repeat that is about to be dispatched.
    /// @returns false when the repeat must not be dispatched
    bool takeRepeat(TimePoint now, const RepeatRequest &request);

    /// Returns the repeats that may be dispatched now, and the most that this can be.
    double tokens() const;
    double capacity() const;
    /// Share of the roots whose repeats are served, 0 to 1.
    double servedShare() const;

private:
    static constexpr std::size_t kBins = 64;
    static constexpr std::size_t kSlotsPerWindow = 20;
    static constexpr std::size_t kSlots = 2 * kSlotsPerWindow;
    static constexpr Duration kSlotLength{kWindow.count() / static_cast<std::int64_t>(kSlotsPerWindow)};

    /// Arrivals in a part of a window.
    struct Slot
    {
        std::uint32_t firsts = 0;
        /// Repeats that were taken from the bank.
        std::uint32_t banked = 0;
    };

    void updateGateCount(TimePoint now, std::uint32_t gates);
    void advance(TimePoint now);
    void advanceSlots(TimePoint now);
    double bankBalance() const;
    double releaseLimit() const;
    void updateRates(TimePoint now);
    void updateServedShare();
    bool mayTake(const RepeatRequest &request) const;

    RepeatBudgetOptions m_options;
    TimePoint m_startedAt;
    TimePoint m_ratesUpdatedAt;
    /// Number of gates in force, when it was last seen, and the highest smaller number seen since.
    std::uint32_t m_gates = 1;
    TimePoint m_gatesSeenAt;
    std::uint32_t m_fewerGates = 0;
    /// Tokens of the bucket.
    double m_capacity = 0;
    double m_tokens = 0;
    /// Repeats that the arrivals of the window before allow in all windows that include the present, and the part of them released for use.
    double m_bank = 0;
    double m_released = 0;
    std::array<Slot, kSlots> m_slots{};
    /// Number of the current slot since the epoch of the clock.
    std::int64_t m_slot = 0;
    /// Tokens gained, and repeats offered, since m_ratesUpdatedAt.
    double m_gained = 0;
    double m_descendantsOffered = 0;
    std::array<float, kBins> m_offered{};
    /// Averages per second: tokens gained, repeats offered that descend from others, and other repeats offered by the hash of their roots.
    double m_supplyRate = 0;
    double m_descendantRate = 0;
    std::array<float, kBins> m_demandRates{};
    /// Share of the roots, from the highest hash down, whose offered repeats use the supply.
    double m_servedShare = 1;
};

/// Learns how many calls one execution at the local backend server makes to each service, and how many repeats these services can take.
class CallEdges
{
public:
    static constexpr std::size_t kMaxEdges = 16;

    /// What is known of the calls to one service.
    struct Edge
    {
        std::string service;
        /// Decayed count.
        double calls = 0;
        /// Average of the tokens that each gate of the service reported last.
        double tokensPerGate = 0;
        std::uint32_t gates = 0;
        TimePoint tokensReportedAt;
    };

    explicit CallEdges(TimePoint now);

    /// Counts an execution at the local backend server.
    void onExecution(TimePoint now);

    /// Counts a call that an execution makes.
    void onCall(TimePoint now, std::string_view service);

    /// Records the tokens that a gate of @a service reported.
    /// @param gates ready gates of the service
    void onTokens(TimePoint now, std::string_view service, std::uint32_t tokens, std::uint32_t gates);

    /// Returns how many executions could be repeated now with the tokens of all services that they call; nothing if that isn't known or
    /// executions make no calls.
    std::optional<double> repeatableExecutions(TimePoint now) const;

    std::span<const Edge> edges() const;
    double callsPerExecution(const Edge &edge) const;

private:
    Edge *find(std::string_view service);
    void decay(TimePoint now);

    TimePoint m_decayedAt;
    double m_executions = 0;
    std::array<Edge, kMaxEdges> m_edges;
    std::size_t m_edgeCount = 0;
};

// Expected work and load.

/// Load of a gate and its backend server, as reported to the senders of calls.
struct LoadReport
{
    /// Expected time, per slot, to complete the calls that run and wait there.
    Duration outstandingWork{0};
    /// Time that work takes there now, in percent of its usual time; 0 for none stated.
    std::uint32_t pacePercent = 0;
    /// Time since the backend server stated its pace.
    Duration paceAge{0};
};

/// Returns a key for WorkEstimator: requests of one method or route, in classes of body size that differ by a factor of four.
std::uint64_t workKeyOf(std::uint64_t methodKey, std::size_t bodyBytes);

/// Learns the work of requests of one service, as service time divided by the pace at that time. Fixed size and set-associative: a new key
/// evicts the least recently updated one of its set.
class WorkEstimator
{
public:
    /// Records the work of one request that ran.
    void record(std::uint64_t key, Duration work);

    /// Returns the exponentially decayed mean work of the key, and that of the whole service for an unknown key; zero before the first
    /// sample.
    Duration expected(std::uint64_t key) const;

    /// Returns the decayed mean of the ratio of recorded to expected work; 1 while the estimates are right on average.
    double meanRatio() const;

private:
    struct Entry
    {
        std::uint64_t key = 0;
        float meanMicros = 0;
        std::uint32_t samples = 0;
        std::uint64_t updatedAt = 0;
    };
    static constexpr std::size_t kSets = 32;
    static constexpr std::size_t kWays = 4;

    const Entry *find(std::uint64_t key) const;

    std::array<Entry, kSets * kWays> m_entries{};
    std::uint64_t m_recordCount = 0;
    float m_meanMicros = 0;
    float m_meanRatio = 1;
};

/// How an AgedFigure loses its weight.
struct AgingRule
{
    /// Age at which a report has lost its whole weight, and half of it at half this age.
    Duration lifetime{0};
    /// Time constant of the mean of reports.
    Duration meanTime{0};
};

/// Slow periods of backend servers last some 600 ms, so the probability that one still lasts falls in proportion to the age of the report.
constexpr AgingRule kPaceAging{.lifetime = std::chrono::milliseconds(600), .meanTime = std::chrono::seconds(10)};

/// A figure that is reported now and then. A report loses its weight in proportion to its age, in favour of the mean of the reports before.
struct AgedFigure
{
    float value = 0;
    float mean = 0;
    /// When the value was true; TimePoint{} before the first report.
    TimePoint recordedAt;

    /// Records a report that was true at @a at; one older than the last is ignored.
    void record(TimePoint at, double reported, const AgingRule &rule);
    double valueAt(TimePoint now, const AgingRule &rule) const;
    /// Returns whether there was a report within the last kMaxSilence.
    bool isCurrent(TimePoint now) const;

    /// Time after the last report from which the source counts as one that doesn't report.
    static constexpr Duration kMaxSilence = std::chrono::seconds(10);
};

/// Call that runs or waits at a gate, as input to LoadMeter.
struct OutstandingCall
{
    Duration expectedWork{0};
    /// Nothing while the call waits.
    std::optional<TimePoint> startedAt;
};

/// Measures the outstanding work of one gate from the pace that its backend server states. Without a pace it reports nothing.
class LoadMeter
{
public:
    /// Records the pace that the backend server stated in an answer.
    void setPace(TimePoint now, std::uint32_t percent);

    /// Discards the pace, for a new instance of the backend server.
    void restart();

    /// Returns whether the backend server has stated its pace lately.
    bool hasPace(TimePoint now) const;

    /// Returns the factor by which requests take longer now than usual. The time for which requests wait for their own child calls doesn't
    /// depend on the pace, so the pace that the backend server stated counts for the rest only.
    double paceAt(TimePoint now) const;

    Duration expectedWork(std::uint64_t key) const;

    /// Records a request that was answered.
    /// @param childTime part of @a serviceTime during which the request waited for its child calls
    void recordService(TimePoint now, std::uint64_t key, Duration serviceTime, Duration childTime);

    /// Returns the expected time for which @a call will occupy a slot from now on.
    Duration remainingOf(TimePoint now, const OutstandingCall &call) const;

    /// Returns the report on a gate with @a slots.
    /// @param remaining sum of remainingOf() over the calls that it holds
    LoadReport report(TimePoint now, Duration remaining, std::uint32_t slots) const;

private:
    WorkEstimator m_work;
    AgedFigure m_pace{.mean = 1};
    /// Decayed mean of the share of service time during which requests wait for their child calls.
    double m_childShare = 0;
};

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
    /// An earlier attempt failed, so the upstreams most likely to answer are preferred.
    bool isRepeat = false;
    /// Expected work at an upstream of average speed; used where upstreams report their load.
    Duration expectedWork{0};
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
    /// The attempt followed a failed one, see RouteRequest::isRepeat.
    bool isRepeat = false;
    /// Time for which the backend server ran the request; zero when unknown.
    Duration serviceTime{0};
    /// As in the RouteRequest.
    Duration expectedWork{0};
    /// Load that the upstream reported.
    std::optional<LoadReport> load;
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
    /// The upstream has reported its load lately; the fields below are set only then.
    bool reportsLoad = false;
    /// Outstanding work per slot, aged and with what this node has sent since the report.
    Duration outstandingWork{0};
    /// Factor by which work takes longer than usual, aged; 1 is usual.
    double pace = 1;
    /// Age of the last pace that the upstream stated.
    Duration paceAge{0};
    /// The stated pace predicts measured service times no worse than the speed alone; otherwise it isn't used.
    bool isPaceTrusted = true;
    /// Measured speed relative to the mean of the upstreams that this node uses.
    double speed = 1;
    /// Decayed share of calls that were lost or shed there.
    double lossRate = 0;
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
    /// @param expectedWork as in the RouteRequest
    void onSent(TimePoint now, NodeId node, std::uint32_t bytes = 0, Duration expectedWork = Duration{0});

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
