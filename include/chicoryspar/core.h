#pragma once

/// @file
/// Vocabulary shared by every library: time, identifiers, request classes, outcomes, reasons, findings and the call context.
/// Nothing here reads a clock or does input or output.

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace chicoryspar {

// --- Time ------------------------------------------------------------------------------------------------------------

/// Duration of every interval, in microseconds.
using Duration = std::chrono::microseconds;

/// Tag of the monotonic time that callers pass to deciding functions. It has no now(): the core can't read a clock.
struct MonotonicClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock, duration>;
};

/// Tag of the wall-clock time, counted from the Unix epoch.
struct WallClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<WallClock, duration>;
};

using TimePoint = MonotonicClock::time_point;
using WallTime = WallClock::time_point;

/// Returns @a value in whole milliseconds, rounded down.
constexpr std::int64_t toMilliseconds(Duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

// --- Random numbers --------------------------------------------------------------------------------------------------

/// Seeded generator that deciding functions take as an argument.
using Random = std::mt19937_64;

/// Returns a number in [0, bound).
/// @param bound exclusive upper end, above 0
std::uint64_t drawBelow(Random &random, std::uint64_t bound);

/// Returns a number in [0, 1).
double drawUnit(Random &random);

// --- Identifiers -----------------------------------------------------------------------------------------------------

/// Identifies a node by the hash of its configured name.
struct NodeId
{
    std::uint64_t value = 0;

    constexpr bool isValid() const
    {
        return value != 0;
    }
    auto operator<=>(const NodeId &) const = default;
};

/// Returns the identifier of the node named @a name; never invalid.
NodeId makeNodeId(std::string_view name);

/// 128-bit identifier in UUID form, used for root requests and idempotency keys.
struct RequestId
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    constexpr bool isValid() const
    {
        return high != 0 || low != 0;
    }
    auto operator<=>(const RequestId &) const = default;
};

/// Returns a UUIDv7 (RFC 9562) created at @a wall.
RequestId makeRequestId(WallTime wall, Random &random);

/// Parses the 36-character UUID form, in either case, also between double quotes.
/// @returns nothing when @a text isn't a UUID
std::optional<RequestId> parseRequestId(std::string_view text);

/// Returns the lower-case 36-character UUID form.
std::string toString(const RequestId &id);

/// Returns the creation time that a UUIDv7 carries, in whole milliseconds, or nothing for any other UUID version.
std::optional<WallTime> creationTime(const RequestId &id);

/// Returns the 64-bit xxHash of @a bytes.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// Returns the stable hash of @a id under @a seed, equal on every node.
std::uint64_t hashRequest(const RequestId &id, std::uint64_t seed = 0);

// --- Request classes and outcomes ------------------------------------------------------------------------------------

/// What a request is for, in the order in which overload refuses: lower values are refused first.
enum class RequestClass : std::uint8_t {
    Lookup,
    Standard,
    Order,
    Count,
};

/// How one attempt at a request ended.
enum class Outcome : std::uint8_t {
    /// The whole answer of the backend server.
    Answer,
    /// Proven not to have been run; may be retried.
    NotRun,
    /// Dispatched, but its answer isn't known.
    Unknown,
    Count,
};

/// Why a request was answered, refused or left unknown.
enum class Reason : std::uint8_t {
    None,
    // Refusals by overload.
    LevelTooLow,
    QueueFull,
    QueueTimeout,
    ShedByBackend,
    LimitReached,
    EntryLevel,
    // Deadlines and retries.
    DeadlineExpired,
    DeadlineTooShort,
    RetryBudgetSpent,
    Cancelled,
    // Routing.
    UnknownService,
    NoUpstream,
    CrossRegionCap,
    NotConfigured,
    // Leaving.
    Draining,
    Stopping,
    // Idempotency keys.
    KeyMissing,
    KeyMalformed,
    KeyExpired,
    KeyFromFuture,
    KeyMismatch,
    KeyTableFull,
    KeyOwnerUncertain,
    KeyAnswerEvicted,
    KeyBusy,
    // Transport.
    ConnectFailed,
    ConnectionLost,
    ConnectionSilent,
    BackendFailed,
    BackendSilent,
    // Callers' errors.
    BodyTooLarge,
    HeaderTooLarge,
    MalformedRequest,
    TooManyConnections,
    SlowCaller,
    MemoryLimit,
    Count,
};

/// One row of the table of request classes.
struct RequestClassRow
{
    std::string_view name;
};

/// One row of the table of outcomes.
struct OutcomeRow
{
    std::string_view name;
};

/// One row of the table of reasons.
struct ReasonRow
{
    /// Stable machine-readable code, as in problem details.
    std::string_view name;
    /// HTTP status that callers receive.
    int status;
    /// Sentence for people.
    std::string_view text;
};

const RequestClassRow &rowOf(RequestClass value);
const OutcomeRow &rowOf(Outcome value);
const ReasonRow &rowOf(Reason value);

/// Finds an enum value by the name in its table.
std::optional<RequestClass> findRequestClass(std::string_view name);
std::optional<Outcome> findOutcome(std::string_view name);
std::optional<Reason> findReason(std::string_view name);

/// Category of Reason as std::error_code.
const std::error_category &reasonCategory();
std::error_code make_error_code(Reason value);

/// Finds the value whose row of @a table has the name @a name.
/// @param table constant table indexed by Enum, of rows with a member name
template<typename Enum, typename Table>
std::optional<Enum> findByName(const Table &table, std::string_view name)
{
    for (std::size_t n = 0; n < table.size(); ++n) {
        if (table[n].name == name) {
            return static_cast<Enum>(n);
        }
    }
    return std::nullopt;
}

// --- Findings --------------------------------------------------------------------------------------------------------

/// One fault found in settings, objects or messages, with its place.
struct Finding
{
    /// For example "node.ini [listen] peers" or "Service/orders spec.methods[2].class".
    std::string place;
    std::string text;

    bool operator==(const Finding &) const = default;
};

/// Returns the findings as lines of "place: text".
std::string toString(const std::vector<Finding> &findings);

// --- Call context ----------------------------------------------------------------------------------------------------

/// What travels with a call down the chain.
struct CallContext
{
    /// Identifies the root request that this call serves.
    RequestId root;
    /// Class of the root request; a child call never gets a lower one.
    RequestClass requestClass = RequestClass::Lookup;
    /// Importance of the caller, 0 (refused first) to kMaxImportance.
    std::uint8_t importance = 0;
    /// Number of hops above this call; 0 for the root request.
    std::uint8_t depth = 0;
    /// Extra attempts that this call and everything below it may still use.
    std::uint16_t retryTokens = 0;
    /// Time left until the caller stops waiting.
    Duration remaining{0};
    /// The call ranks as its root request does, whatever its depth; only the root itself is refused by an admission level.
    bool ranksAsRoot = false;
};

constexpr std::uint8_t kMaxImportance = 15;
constexpr std::uint8_t kMaxDepth = 32;

// --- Rendezvous ranks ------------------------------------------------------------------------------------------------

/// Returns the weight of @a node for @a key; the node with the highest weight ranks first.
std::uint64_t rendezvousWeight(NodeId node, std::uint64_t key);

/// Sorts @a nodes by falling rendezvous weight for @a key, ties by identifier.
void sortByRank(std::vector<NodeId> &nodes, std::uint64_t key);

} // namespace chicoryspar

template<>
struct std::is_error_code_enum<chicoryspar::Reason> : std::true_type
{
};

template<>
struct std::hash<chicoryspar::NodeId>
{
    std::size_t operator()(const chicoryspar::NodeId &id) const noexcept
    {
        return id.value;
    }
};

template<>
struct std::hash<chicoryspar::RequestId>
{
    std::size_t operator()(const chicoryspar::RequestId &id) const noexcept
    {
        return id.high ^ (id.low * 0x9E3779B97F4A7C15ULL);
    }
};
