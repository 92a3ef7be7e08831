#pragma once

/// @file
/// Configuration: typed objects, their checks, the set in force on a node, and the schedule by which nodes keep it in step.
/// Nothing here reads a clock or does input or output.

#include <chicoryspar/core.h>

#include <deque>
#include <map>
#include <memory>
#include <span>
#include <unordered_map>
#include <variant>

namespace chicoryspar {

// --- Kinds -----------------------------------------------------------------------------------------------------------

/// Kinds of objects in the platform's API.
enum class ObjectKind : std::uint8_t {
    Service,
    CallerPolicy,
    OverloadPolicy,
    RetryPolicy,
    RoutePolicy,
    Contact,
    RouteTable,
    Count,
};

/// One row of the table of kinds.
struct ObjectKindRow
{
    std::string_view name;
    std::string_view plural;
    /// Whether nodes keep objects of this kind in force and spread them; contacts only help the first contact.
    bool isConfiguration;
};

const ObjectKindRow &rowOf(ObjectKind value);

/// Finds a kind by its name or its plural, in any case of letters.
std::optional<ObjectKind> findObjectKind(std::string_view name);

constexpr std::string_view kApiVersion = "chicoryspar.io/v1";
constexpr std::string_view kChangeIdAnnotation = "chicoryspar.io/change-id";
constexpr std::string_view kChangedByAnnotation = "chicoryspar.io/changed-by";
constexpr std::string_view kReasonAnnotation = "chicoryspar.io/reason";
constexpr std::string_view kChangedAtAnnotation = "chicoryspar.io/changed-at";

// --- Specs -----------------------------------------------------------------------------------------------------------

/// One method of a service.
struct MethodSpec
{
    std::string name;
    /// HTTP method; empty or "*" matches every one.
    std::string verb;
    std::string pathPrefix;
    RequestClass requestClass = RequestClass::Lookup;
    /// Runs with at-most-once semantics under an Idempotency-Key.
    bool once = false;
    /// May be repeated after an unknown outcome without a key.
    bool idempotent = false;
    /// How long a caller waits that states no timeout.
    Duration defaultTimeout = std::chrono::seconds(2);

    bool operator==(const MethodSpec &) const = default;
};

/// What nodes need to know of a service; empty policy names stand for the defaults.
struct ServiceSpec
{
    std::vector<MethodSpec> methods;
    /// Upstreams that the service has when all are up; needed by methods with once, whose record owners count a majority of them.
    std::uint32_t upstreams = 0;
    /// Statuses by which the backend server states that it didn't run the request.
    std::vector<int> notRunStatuses;
    std::string retryPolicy;
    std::string overloadPolicy;
    std::string routePolicy;
};

constexpr std::uint8_t kDefaultImportance = 7;

/// Which callers matter how much.
struct CallerPolicySpec
{
    /// Names, or prefixes that end with '*'.
    std::vector<std::string> callers;
    /// 0 (refused first) to kMaxImportance.
    std::uint32_t importance = kDefaultImportance;
};

/// How the gate of a service limits and refuses.
struct OverloadPolicySpec
{
    /// Name of the limit algorithm; empty takes the node's default.
    std::string algorithm;
    /// Lower and upper bound of the concurrency limit; an upper bound of 0 stands for the announced slots.
    std::uint32_t minLimit = 1;
    std::uint32_t maxLimit = 0;
    Duration queueTarget = std::chrono::milliseconds(10);
    Duration queueInterval = std::chrono::milliseconds(100);
    /// Places for waiting calls; 0 takes four for each slot.
    std::uint32_t queueLength = 0;
    Duration coldStart = std::chrono::seconds(5);
    /// How hard refusals may be passed back towards callers, in percent.
    std::uint32_t pushBack = 100;
};

/// Bounds of retries for one root request and for one node.
struct RetryPolicySpec
{
    /// Extra attempts for one root request over the whole chain.
    std::uint32_t budget = 3;
    /// Retries of a node as a share of its first attempts, in percent.
    std::uint32_t ratioPercent = 10;
    Duration backoff = std::chrono::milliseconds(20);
    Duration maxBackoff = std::chrono::milliseconds(500);
};

/// How calls choose among zones and regions.
struct RoutePolicySpec
{
    /// Bytes per second that one node may send to other regions for the service; 0 for none.
    std::uint64_t crossRegionBytesPerSecond = 4'000'000;
    /// Load of the nearer upstreams at which calls go to the next ring, in percent.
    std::uint32_t spillAtPercent = 90;
    /// Largest share of upstreams that may be ejected at once, in percent.
    std::uint32_t ejectSharePercent = 30;
    Duration slowStart = std::chrono::seconds(10);
};

/// Address at which a starting node may find another one.
struct ContactSpec
{
    /// address:port of the peers' port.
    std::string address;
};

/// A service among which a route divides its requests.
struct RouteBackend
{
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const RouteBackend &) const = default;
};

/// Requests of one host and path prefix, and where they go.
struct RouteSpec
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    std::vector<RouteBackend> backends;
    /// May run more than once.
    bool idempotent = false;
    /// Longest time that a caller is kept waiting.
    Duration timeout = std::chrono::seconds(2);
    /// Time within which an answer is worth most.
    Duration latencyObjective = std::chrono::seconds(1);
    /// 0 is refused last.
    std::uint32_t priority = 0;
    /// Upstreams on which one request may run.
    std::uint32_t maxAttempts = 1;

    /// Class in which overload refuses the route's requests.
    RequestClass requestClass() const;
};

/// What a route table states about the backend servers of a service.
struct RoutedServiceSpec
{
    std::string name;
    std::string healthPath;
    /// Connections that one backend server accepts.
    std::uint32_t maxConnections = 256;
};

/// Bounds on what callers send.
struct TrafficLimits
{
    std::uint64_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 4194304;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// All routes of an installation, in force as one object.
struct RouteTableSpec
{
    std::vector<RouteSpec> routes;
    std::vector<RoutedServiceSpec> services;
    TrafficLimits limits;
};

using ObjectSpec =
    std::variant<ServiceSpec, CallerPolicySpec, OverloadPolicySpec, RetryPolicySpec, RoutePolicySpec, ContactSpec, RouteTableSpec>;

// --- Objects ---------------------------------------------------------------------------------------------------------

/// Who changed an object, when and why, as its annotations state it.
struct ChangeNote
{
    std::string changeId;
    std::string changedBy;
    std::string reason;
    /// RFC 3339 text.
    std::string changedAt;
};

/// One object, checked; a deleted one is a tombstone.
struct ConfigObject
{
    ObjectKind kind = ObjectKind::Count;
    std::string name;
    /// The store's monotonic counter at the last write known, of spec or status.
    std::uint64_t version = 0;
    std::uint64_t generation = 0;
    /// Hash of everything but status and version; equal content needs no spreading.
    std::uint64_t contentHash = 0;
    bool deleted = false;
    ChangeNote change;
    ObjectSpec spec;
    /// The whole object as JSON without its status, unknown fields kept.
    std::string text;
};

/// Outcome of reading one object.
struct ParsedObject
{
    /// The kind and name as far as they could be read, even of a bad object.
    ObjectKind kind = ObjectKind::Count;
    std::string name;
    std::uint64_t version = 0;
    /// Set when the object is good; findings about unknown keys alone don't make it bad.
    std::shared_ptr<const ConfigObject> object;
    /// Faults that refuse the object.
    std::vector<Finding> findings;
    /// Keys that this version doesn't know.
    std::vector<Finding> unknownKeys;
};

/// Reads and checks one object.
/// @param json text of at most kMaxObjectBytes
ParsedObject parseObject(std::string_view json);

/// Returns the tombstone of an object that was deleted at @a version; its text reads back as the same tombstone.
std::shared_ptr<const ConfigObject> makeTombstone(ObjectKind kind, std::string_view name, std::uint64_t version,
                                                  const ChangeNote &change = {});

/// Returns the RFC 3339 text of @a wall in UTC, in whole seconds.
std::string formatTimestamp(WallTime wall);

constexpr std::size_t kMaxObjectBytes = 1024 * 1024;
constexpr std::size_t kMaxObjects = 4096;

/// Identifies an object within the set.
struct ObjectKey
{
    ObjectKind kind = ObjectKind::Count;
    std::string name;

    auto operator<=>(const ObjectKey &) const = default;
};

/// Version of one object, as peers compare it.
struct ObjectVersion
{
    /// Hash of kind and name.
    std::uint64_t key = 0;
    std::uint64_t version = 0;
    std::uint64_t contentHash = 0;

    bool operator==(const ObjectVersion &) const = default;
};

/// Asks a peer for what the sender lacks.
struct ConfigPull
{
    std::vector<ObjectVersion> known;
};

/// Answers a pull.
struct ConfigPullAnswer
{
    /// Digest of the sender; 0 when it has no configuration.
    std::uint64_t digest = 0;
    /// Objects and tombstones as JSON.
    std::vector<std::string> objects;
    /// Whether more objects remain.
    bool isPartial = false;
};

// --- Set in force ----------------------------------------------------------------------------------------------------

/// What became of an object that was offered to the set.
enum class ApplyResult : std::uint8_t {
    /// In force now.
    InForce,
    /// Same content under a higher version: nothing changes.
    SameContent,
    /// The version isn't higher than the known one.
    Stale,
    /// Findings; the last good version stays.
    Refused,
    /// The set holds kMaxObjects already, and no older tombstone can make room.
    Full,
    Count,
};

struct ApplyResultRow
{
    std::string_view name;
};

const ApplyResultRow &rowOf(ApplyResult value);

/// An object in force and since when.
struct ObjectInForce
{
    std::shared_ptr<const ConfigObject> object;
    TimePoint since;
};

/// A refused version of an object.
struct RefusedObject
{
    std::uint64_t version = 0;
    TimePoint at;
    std::vector<Finding> findings;
};

/// A change that took force, for history.
struct AppliedChange
{
    ObjectKey key;
    std::uint64_t version = 0;
    bool deleted = false;
    TimePoint at;
    ChangeNote change;
};

constexpr std::size_t kChangeHistoryLength = 256;

/// Versions in force on one node. A version known here never falls.
class ConfigSet
{
public:
    /// Offers a checked object or a tombstone.
    ApplyResult applyObject(TimePoint now, std::shared_ptr<const ConfigObject> object);

    /// Offers an object as read; a bad one is refused whole, and its findings are kept.
    ApplyResult applyParsed(TimePoint now, const ParsedObject &parsed);

    /// Hash over the content of all objects, 0 for an empty set.
    std::uint64_t digest() const;

    /// Versions of all objects and tombstones.
    std::vector<ObjectVersion> versions() const;

    /// Objects and tombstones that a peer with @a known versions lacks.
    std::vector<std::shared_ptr<const ConfigObject>> objectsNewerThan(std::span<const ObjectVersion> known) const;

    /// Returns the object in force, or nothing when there is none or it is deleted.
    const ObjectInForce *find(ObjectKind kind, std::string_view name) const;

    /// Returns the object or its tombstone.
    const ObjectInForce *findIncludingDeleted(ObjectKind kind, std::string_view name) const;

    /// All objects in force, without tombstones.
    std::vector<ObjectInForce> objectsInForce() const;

    const std::map<ObjectKey, RefusedObject> &refusedObjects() const;
    const std::deque<AppliedChange> &history() const;
    /// Number of changes that took force since the start; history() holds the last of them.
    std::uint64_t changeCount() const;

    /// Findings across objects: names of policies that don't exist, callers named twice.
    std::vector<Finding> checkReferences() const;

    // Lookups of the call path: no allocation; results stay valid until the next change of the set.

    const ServiceSpec *findService(std::string_view service) const;
    /// First method whose verb and path prefix match, or nothing.
    const MethodSpec *findMethod(std::string_view service, std::string_view verb, std::string_view path) const;
    /// An exact name goes before a prefix, a longer prefix before a shorter one.
    std::uint8_t importanceOf(std::string_view caller) const;
    /// Name of the CallerPolicy that decides for @a caller; empty for the default.
    std::string_view callerPolicyOf(std::string_view caller) const;
    const RetryPolicySpec &retryPolicyOf(std::string_view service) const;
    const OverloadPolicySpec &overloadPolicyOf(std::string_view service) const;
    const RoutePolicySpec &routePolicyOf(std::string_view service) const;
    /// Returns whether a route table is in force.
    bool hasRoutes() const;
    /// Route of @a host with the longest prefix of @a path, or nothing.
    const RouteSpec *findRoute(std::string_view host, std::string_view path) const;
    const RoutedServiceSpec *findRoutedService(std::string_view service) const;
    /// shortest latency objective of the routes that lead to @a service, or nothing.
    std::optional<Duration> shortestLatencyObjective(std::string_view service) const;
    /// Limits of the route table, or the defaults.
    const TrafficLimits &trafficLimits() const;
    std::size_t size() const;

private:
    struct CallerRule
    {
        std::string nameOrPrefix;
        std::uint8_t importance = kDefaultImportance;
        std::string policy;
    };
    /// A service with its policies resolved.
    struct ServiceEntry
    {
        const ServiceSpec *service = nullptr;
        const RetryPolicySpec *retryPolicy = nullptr;
        const OverloadPolicySpec *overloadPolicy = nullptr;
        const RoutePolicySpec *routePolicy = nullptr;
    };
    struct NameHash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const;
    };

    const ServiceEntry *findServiceEntry(std::string_view service) const;
    const CallerRule *findCallerRule(std::string_view caller) const;
    bool evictOldestTombstone(std::uint64_t version);
    void indexCallers(std::string_view policyName, const CallerPolicySpec &policy);
    void indexRoutes(const RouteTableSpec &table);
    void rebuildIndexes();

    std::map<ObjectKey, ObjectInForce> m_objects;
    std::map<ObjectKey, RefusedObject> m_refused;
    std::deque<AppliedChange> m_history;
    std::uint64_t m_changeCount = 0;
    std::unordered_map<std::string, ServiceEntry, NameHash, std::equal_to<>> m_services;
    std::unordered_map<std::string, CallerRule, NameHash, std::equal_to<>> m_exactCallers;
    std::vector<CallerRule> m_callerPrefixes;
    /// Routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<const RouteSpec *>, NameHash, std::equal_to<>> m_routes;
    const RouteTableSpec *m_routeTable = nullptr;
    std::uint64_t m_digest = 0;
};

/// Divides the requests of each route among its services, so that each gets its share in every stretch of requests.
class RouteWeights
{
public:
    /// Returns the service for the next request of @a route.
    const std::string &pick(const RouteSpec &route);

private:
    /// Credit of each backend of a route, and the backends that it belongs to.
    struct Credits
    {
        std::vector<RouteBackend> backends;
        std::vector<std::int64_t> credits;
    };
    std::unordered_map<std::string, Credits> m_routes;
};

/// Checks references between @a objects, as a client does before it applies them.
std::vector<Finding> checkReferences(std::span<const std::shared_ptr<const ConfigObject>> objects);

/// One step of the explanation of what is in force for a request.
struct ExplainStep
{
    /// What was decided, for example "class".
    std::string what;
    std::string value;
    /// Object that decided, for example "Service/orders"; empty for a default.
    std::string object;
    ChangeNote change;
    std::uint64_t version = 0;
};

/// Explains what the objects in force say about such a request.
std::vector<ExplainStep> explainRequest(const ConfigSet &set, std::string_view service, std::string_view caller, std::string_view verb,
                                        std::string_view path);

} // namespace chicoryspar
