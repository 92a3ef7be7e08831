#pragma once

/// @file
/// Types shared by all libraries: time, identifiers, request classes, outcomes, reasons, findings and the call context.
/// Reads no clock and does no I/O.

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

// Time

/// Type of all time intervals, in microseconds.
using Duration = std::chrono::microseconds;

/// Clock type of monotonic time points. It has no now(), so that this library can't read a clock: its users pass the time.
struct MonotonicClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock, duration>;
};

/// Clock type of wall-clock times, counted from the Unix epoch. It has no now() either.
struct WallClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<WallClock, duration>;
};

using TimePoint = MonotonicClock::time_point;
using WallTime = WallClock::time_point;

/// Returns @a value in whole milliseconds, rounded towards zero.
constexpr std::int64_t toMilliseconds(Duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

// Random numbers

/// Random generator. Functions that draw random numbers take one as an argument, so that a seed reproduces their results.
using Random = std::mt19937_64;

/// Returns a uniformly distributed number in [0, bound).
/// @param bound exclusive upper bound, must be above 0
std::uint64_t drawBelow(Random &random, std::uint64_t bound);

/// Returns a uniformly distributed number in [0, 1).
double drawUnit(Random &random);

// Identifiers

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

/// Parses the 36-character UUID form in upper or lower case, optionally enclosed in double quotes.
/// @returns nothing when @a text isn't a UUID
std::optional<RequestId> parseRequestId(std::string_view text);

/// Returns the lower-case 36-character UUID form.
std::string toString(const RequestId &id);

/// Returns the creation time encoded in a UUIDv7, in whole milliseconds, or nothing for any other UUID version or variant.
std::optional<WallTime> creationTime(const RequestId &id);

/// Returns the 64-bit xxHash of @a bytes.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// Returns the 64-bit xxHash of @a id with @a seed, equal on every node.
std::uint64_t hashRequest(const RequestId &id, std::uint64_t seed = 0);

// Request classes and outcomes

/// Class of a request. Under overload, lower values are refused first.
enum class RequestClass : std::uint8_t {
    Lookup,
    Standard,
    Order,
    Count,
};

/// How one attempt at a request ended.
enum class Outcome : std::uint8_t {
    /// The backend server returned a complete answer.
    Answer,
    /// Provably not run; may be retried.
    NotRun,
    /// Dispatched, but the result is unknown: may have been run or not.
    Unknown,
    Count,
};

/// Reason for the outcome of a request.
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
    // Shutdown.
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
    // Caller errors and limits on callers.
    BodyTooLarge,
    HeaderTooLarge,
    MalformedRequest,
    TooManyConnections,
    SlowCaller,
    MemoryLimit,
    // Customers.
    CustomerUnknown,
    CustomerRateLimit,
    // Child calls.
    ParentUnknown,
    Count,
};

/// Properties of a RequestClass.
struct RequestClassRow
{
    std::string_view name;
};

/// Properties of an Outcome.
struct OutcomeRow
{
    std::string_view name;
};

/// Properties of a Reason.
struct ReasonRow
{
    /// Stable machine-readable code, as used in problem details (RFC 9457).
    std::string_view name;
    /// HTTP status returned to callers.
    int status;
    /// Human-readable description.
    std::string_view text;
};

const RequestClassRow &rowOf(RequestClass value);
const OutcomeRow &rowOf(Outcome value);
const ReasonRow &rowOf(Reason value);

/// Returns the value whose table row has the name @a name, or nothing when there is none.
std::optional<RequestClass> findRequestClass(std::string_view name);
std::optional<Outcome> findOutcome(std::string_view name);
std::optional<Reason> findReason(std::string_view name);

/// Error category of std::error_code values made from a Reason.
const std::error_category &reasonCategory();
std::error_code make_error_code(Reason value);

/// Returns the value whose row of @a table has the name @a name, or nothing when there is none.
/// @param table table of rows with a member name, indexed by Enum
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

// Findings

/// One fault found by the validation of settings, objects or messages, and its location.
struct Finding
{
    /// Location, for example "node.ini [listen] peers" or "Service/orders spec.methods[2].class".
    std::string place;
    std::string text;

    bool operator==(const Finding &) const = default;
};

/// Returns the findings as text, one line "place: text" each.
std::string toString(const std::vector<Finding> &findings);

// Call context

/// Context that every call passes on to its child calls.
struct CallContext
{
    /// Root request that this call belongs to.
    RequestId root;
    /// Class of the root request; a child call never gets a lower one.
    RequestClass requestClass = RequestClass::Lookup;
    /// Importance of the caller, 0 (refused first) to kMaxImportance.
    std::uint8_t importance = 0;
    /// Number of ancestor calls; 0 for the root request.
    std::uint8_t depth = 0;
    /// Retries that this call and its descendant calls may still use.
    std::uint16_t retryTokens = 0;
    /// Time left until the caller stops waiting.
    Duration remaining{0};
    /// True when the call ranks as its root request does, whatever its depth: an admission level refuses only the root request itself.
    bool ranksAsRoot = false;
    /// True when this call repeats one that may have reached a backend server, or descends from such a call.
    bool isRepeat = false;
    /// True when this call descends from a call with isRepeat, so that refusing it would waste work that has been repeated already.
    bool descendsFromRepeat = false;
};

constexpr std::uint8_t kMaxImportance = 15;
constexpr std::uint8_t kMaxDepth = 32;

// Rendezvous ranks

/// Returns the rendezvous-hashing weight of @a node for @a key; the node with the highest weight ranks first.
std::uint64_t rendezvousWeight(NodeId node, std::uint64_t key);

/// Sorts @a nodes by descending rendezvous weight for @a key, equal weights by ascending identifier.
void sortByRank(std::vector<NodeId> &nodes, std::uint64_t key);

// Heads of HTTP responses of other programs.

/// Returns whether @a status is one that a response can have: 100 to 599.
bool isResponseStatus(int status);

/// Returns whether @a name is a token (RFC 9110, section 5.6.2), as the name of a field must be.
bool isFieldName(std::string_view name);

/// Returns whether @a value can be the value of a field (RFC 9110, section 5.5): no control characters but tabs.
bool isFieldValue(std::string_view value);

/// Checks the head of a response against the grammar (RFC 9112, sections 2 to 6): status line, field lines, and the fields that delimit the
/// body. Refused as well are lines that continue the one before, codings other than chunked, and more than one field that delimits the
/// body.
/// @param head all lines and the empty one that ends them
/// @returns what is wrong; empty for a valid head
std::string_view checkResponseHead(std::string_view head);

/// Percent-encodes (RFC 3986) all bytes of @a text but letters, digits and @a symbols.
std::string percentEncode(std::string_view text, std::string_view symbols);

// JSON text of other writers. These functions don't recurse and accept any bytes.

/// Deepest nesting of arrays and objects that is read; JSON libraries recurse per level and could exhaust the stack.
constexpr int kMaxJsonNesting = 32;

/// Returns whether arrays and objects in @a json are nested more than @a maxDepth deep.
bool exceedsNestingDepth(std::string_view json, int maxDepth = kMaxJsonNesting);

/// Returns the text of the value under @a key in the JSON object @a object, without spaces around it; nothing if there is none or if a
/// string or bracket of @a object is incomplete. Otherwise it doesn't matter what the other values contain.
std::optional<std::string_view> findJsonMember(std::string_view object, std::string_view key);

/// Returns the texts of the elements of the JSON array @a array; nothing if it isn't one.
std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view array);

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
