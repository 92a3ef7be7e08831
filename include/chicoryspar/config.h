#pragma once

/// @file
/// Configuration: typed objects, their parsing and validation, and the set of objects in force on a node, that is, those that the
/// node currently applies. Nothing here reads a clock or does input or output.

#include <chicoryspar/core.h>

#include <deque>
#include <map>
#include <memory>
#include <span>
#include <unordered_map>
#include <variant>

namespace chicoryspar {

// Kinds.

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

/// Properties of an object kind.
struct ObjectKindRow
{
    std::string_view name;
    /// Name of the collection in API paths.
    std::string_view plural;
    /// Whether nodes apply objects of this kind and exchange them with peers. Contacts aren't: they only serve to find a first peer.
    bool isConfiguration;
};

const ObjectKindRow &rowOf(ObjectKind value);

/// Finds a kind by its name or plural, ignoring case.
std::optional<ObjectKind> findObjectKind(std::string_view name);

constexpr std::string_view kApiVersion = "chicoryspar.io/v1";
constexpr std::string_view kChangeIdAnnotation = "chicoryspar.io/change-id";
constexpr std::string_view kChangedByAnnotation = "chicoryspar.io/changed-by";
constexpr std::string_view kReasonAnnotation = "chicoryspar.io/reason";
constexpr std::string_view kChangedAtAnnotation = "chicoryspar.io/changed-at";

// Specs.

/// One method of a service.
struct MethodSpec
{
    std::string name;
    /// HTTP method; empty or "*" matches any.
    std::string verb;
    /// Begins with a slash.
    std::string pathPrefix;
    RequestClass requestClass = RequestClass::Lookup;
    /// Runs with at-most-once semantics under an Idempotency-Key.
    bool once = false;
    /// May be retried without an idempotency key after an unknown outcome.
    bool idempotent = false;
    /// Timeout of requests whose caller doesn't state one.
    Duration defaultTimeout = std::chrono::seconds(2);

    bool operator==(const MethodSpec &) const = default;
};

/// Configuration of a service. An empty policy name selects the default policy.
struct ServiceSpec
{
    std::vector<MethodSpec> methods;
    /// Number of upstreams of the service when all are up. Required for methods with once: their record owners need a majority of it.
    std::uint32_t upstreams = 0;
    /// HTTP statuses with which the backend server reports that it did not run the request.
    std::vector<int> notRunStatuses;
    std::string retryPolicy;
    std::string overloadPolicy;
    std::string routePolicy;
};

constexpr std::uint8_t kDefaultImportance = 7;

/// Importance of a group of callers.
struct CallerPolicySpec
{
    /// Caller names, or name prefixes followed by '*'.
    std::vector<std::string> callers;
    /// From 0 (refused first) to kMaxImportance.
    std::uint32_t importance = kDefaultImportance;
};

/// Parameters of the gate of a service.
struct OverloadPolicySpec
{
    /// Name of the algorithm that sets the concurrency limit; empty for the node's default.
    std::string algorithm;
    /// Bounds of the concurrency limit. An upper bound of 0 means the number of slots that the backend server announced.
    std::uint32_t minLimit = 1;
    std::uint32_t maxLimit = 0;
    Duration queueTarget = std::chrono::milliseconds(10);
    Duration queueInterval = std::chrono::milliseconds(100);
    /// Queue capacity in calls; 0 for four per slot.
    std::uint32_t queueLength = 0;
    Duration coldStart = std::chrono::seconds(5);
    /// Limit on how strongly refusals are propagated back towards callers, in percent.
    std::uint32_t pushBack = 100;
};

/// Limits on retries per root request and per node.
struct RetryPolicySpec
{
    /// Retries for one root request over its whole tree of calls.
    std::uint32_t budget = 3;
    /// Retries of a node in percent of its first attempts.
    std::uint32_t ratioPercent = 10;
    Duration backoff = std::chrono::milliseconds(20);
    Duration maxBackoff = std::chrono::milliseconds(500);
};

/// Parameters of routing across zones and regions.
struct RoutePolicySpec
{
    /// Bytes of requests and answers per second that one node may exchange with other regions for the service; 0 for none.
    std::uint64_t crossRegionBytesPerSecond = 4'000'000;
    /// Share of the own region's upstreams that are saturated or ejected, in percent, at which calls spill over to other regions.
    std::uint32_t spillAtPercent = 90;
    /// Maximum share of upstreams that are ejected at the same time, in percent.
    std::uint32_t ejectSharePercent = 30;
    Duration slowStart = std::chrono::seconds(10);
};

/// Address of a node that starting nodes may contact to join.
struct ContactSpec
{
    /// address:port of the listener for peers.
    std::string address;
};

/// One of the services among which a route distributes its requests.
struct RouteBackend
{
    std::string service;
    /// Relative to the sum of the weights of the route; 0 for no requests.
    double weight = 1;

    bool operator==(const RouteBackend &) const = default;
};

/// Returns the request class of the requests with @a priority, 0 being the highest.
RequestClass requestClassOfPriority(std::uint32_t priority);

/// Route of the requests to one host and path prefix.
struct RouteSpec
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    std::vector<RouteBackend> backends;
    /// May run more than once.
    bool idempotent = false;
    /// Maximum time until the caller gets an answer.
    Duration timeout = std::chrono::seconds(2);
    /// Target latency; a later answer, up to the timeout, is worth less.
    Duration latencyObjective = std::chrono::seconds(1);
    /// 0 is the highest priority, refused last.
    std::uint32_t priority = 0;
    /// Maximum number of upstreams on which one request may be attempted.
    std::uint32_t maxAttempts = 1;
    /// Requests need no key of a customer.
    bool isPublic = false;
    /// False if only host and path prefix could be read. Requests that match are refused for now: neither another route with a shorter
    /// prefix nor a final refusal would be right.
    bool isUsable = true;

    /// Returns the request class that decides when the route's requests are refused in an overload.
    RequestClass requestClass() const;
};

/// A customer, known by its keys.
struct CustomerSpec
{
    std::string name;
    /// Digests of the keys, in lower-case hex: the first 16 bytes of the SHA-256 of each key. The keys themselves aren't kept.
    std::vector<std::string> keyDigests;
    /// Priority that precedes the route's; 0 is the highest. Nothing to use the route's.
    std::optional<std::uint32_t> priority;
    /// Limit on the customer's requests over all nodes: a token bucket with this rate and capacity. A rate of 0 means no limit. With a
    /// limit, the capacity is at least 1; unless stated, it is what the rate gives in one second.
    double requestsPerSecond = 0;
    double burst = 0;
};

/// Properties of the backend servers of a service, as the route table states them.
struct RoutedServiceSpec
{
    std::string name;
    std::string healthPath;
    /// Maximum number of connections that one backend server accepts.
    std::uint32_t maxConnections = 256;
};

/// Limits on requests and connections of callers.
struct TrafficLimits
{
    std::uint64_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 4194304;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// All routes of a deployment, kept in one object so that they change together.
struct RouteTableSpec
{
    std::vector<RouteSpec> routes;
    std::vector<RoutedServiceSpec> services;
    TrafficLimits limits;
    /// Customers whose keys are accepted; nothing if requests need no key.
    std::optional<std::vector<CustomerSpec>> customers;
    /// A route was left out because its host or path prefix couldn't be read.
    bool hasUnreadRoutes = false;
    /// A customer or a key was left out because it couldn't be read or is ambiguous.
    bool hasUnreadKeys = false;
};

using ObjectSpec =
    std::variant<ServiceSpec, CallerPolicySpec, OverloadPolicySpec, RetryPolicySpec, RoutePolicySpec, ContactSpec, RouteTableSpec>;

// Objects.

/// Position of a write in the order of the store's writes. A store that returns from an older copy of its data gives revisions out again,
/// under a higher era.
struct StoreRevision
{
    /// 0 if the store doesn't state an era.
    std::uint64_t era = 0;
    std::uint64_t number = 0;

    auto operator<=>(const StoreRevision &) const = default;
};

/// Order of the versions of one object. What the author of an object declares comes first, because it outlives the loss of a write in the
/// store.
struct VersionOrder
{
    std::uint64_t declared = 0;
    StoreRevision revision;

    auto operator<=>(const VersionOrder &) const = default;
};

/// Who changed an object, when and why, read from its annotations.
struct ChangeNote
{
    std::string changeId;
    std::string changedBy;
    std::string reason;
    /// RFC 3339 text.
    std::string changedAt;
};

/// A validated object, or the tombstone of a deleted one.
struct ConfigObject
{
    ObjectKind kind = ObjectKind::Count;
    std::string name;
    /// Value of the store's counter at the last known write of the object's spec or status. It increases within an era.
    std::uint64_t version = 0;
    /// Era of the store in which the version was read; 0 if the store doesn't state one.
    std::uint64_t storeEra = 0;
    /// Version that the author states in the object; 0 if none. It must increase with each change.
    std::uint64_t declaredVersion = 0;
    std::uint64_t generation = 0;
    /// Hash of everything except status, version, store era and managedFields. Versions with equal content aren't exchanged with peers.
    std::uint64_t contentHash = 0;
    bool deleted = false;
    ChangeNote change;
    ObjectSpec spec;
    /// Parts of the spec that can't be read or used. They aren't in force; the rest is.
    std::vector<Finding> unusedParts;
    /// The whole object as JSON, without its status but with unknown fields.
    std::string text;

    VersionOrder order() const
    {
        return {declaredVersion, {storeEra, version}};
    }
};

/// Result of parsing one object.
struct ParsedObject
{
    /// Kind and name, as far as they could be read, also of an invalid object.
    ObjectKind kind = ObjectKind::Count;
    std::string name;
    std::uint64_t version = 0;
    std::uint64_t storeEra = 0;
    /// Set if the object is valid; unknown keys don't make it invalid.
    std::shared_ptr<const ConfigObject> object;
    /// Errors because of which the object is refused.
    std::vector<Finding> findings;
    /// As ConfigObject::unusedParts; an author's client refuses to write an object with any.
    std::vector<Finding> unusedParts;
    /// Keys that this version of the software doesn't support.
    std::vector<Finding> unknownKeys;
};

/// Parses and validates one object, and reports all of its errors together.
/// @param json text of at most kMaxObjectBytes
/// @param storeEra era of the answer of the store that held the object; if empty, the era in the text applies
ParsedObject parseObject(std::string_view json, std::optional<std::uint64_t> storeEra = {});

/// Returns the tombstone of an object that was deleted at @a version. Parsing its text yields an equal tombstone.
std::shared_ptr<const ConfigObject> makeTombstone(ObjectKind kind, std::string_view name, std::uint64_t version,
                                                  const ChangeNote &change = {});
/// Returns the tombstone of an object that was deleted at the version @a order.
std::shared_ptr<const ConfigObject> makeTombstone(ObjectKind kind, std::string_view name, const VersionOrder &order,
                                                  const ChangeNote &change = {});

/// Formats @a wall as RFC 3339 text in UTC, with a resolution of one second.
std::string formatTimestamp(WallTime wall);

/// Holds the largest object that the store accepts (1 MiB): a list of its shortest distinct keys grows sixfold as digests.
constexpr std::size_t kMaxObjectBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxObjects = 4096;

/// Key of an object in a ConfigSet.
struct ObjectKey
{
    ObjectKind kind = ObjectKind::Count;
    std::string name;

    auto operator<=>(const ObjectKey &) const = default;
};

/// Version of one object, as sent to peers for comparison.
struct ObjectVersion
{
    /// Hash of kind and name.
    std::uint64_t key = 0;
    std::uint64_t version = 0;
    std::uint64_t contentHash = 0;
    std::uint64_t storeEra = 0;
    std::uint64_t declaredVersion = 0;

    VersionOrder order() const
    {
        return {declaredVersion, {storeEra, version}};
    }
    bool operator==(const ObjectVersion &) const = default;
};

/// Returns the version of @a object as it is sent to peers.
ObjectVersion versionOf(const ConfigObject &object);

/// Request to a peer for the objects that are newer there.
struct ConfigPull
{
    /// Versions that the sender has.
    std::vector<ObjectVersion> known;
    /// Size of the parts in which the sender wants longer texts, in bytes; 0 if it accepts whole texts only.
    std::uint64_t maxPartBytes = 0;
    /// Hash of the text that the sender has received in part, and the number of its bytes received; 0 for none.
    std::uint64_t receivedTextHash = 0;
    std::uint64_t receivedBytes = 0;
};

/// A part of the text of one object.
struct ObjectPart
{
    ObjectKind kind = ObjectKind::Count;
    std::string name;
    ObjectVersion version;
    /// Hash and size of the whole text.
    std::uint64_t textHash = 0;
    std::uint64_t textBytes = 0;
    /// Position of the part in the text.
    std::uint64_t offset = 0;
    std::string bytes;
};

/// Answer to a ConfigPull, or one of several that are sent in order.
struct ConfigPullAnswer
{
    /// Digest of the answering node; 0 if it isn't configured.
    std::uint64_t digest = 0;
    /// Newer objects and tombstones as JSON.
    std::vector<std::string> objects;
    /// Whether objects were left out because of the size limit.
    bool isPartial = false;
    /// Highest era of the store that the answering node knows.
    std::uint64_t storeEra = 0;
    std::optional<ObjectPart> part;
    /// Whether another answer to the same pull follows.
    bool isContinued = false;
};

// Set of objects in force.

/// Result of applying an object to a ConfigSet.
enum class ApplyResult : std::uint8_t {
    /// The object is in force now.
    InForce,
    /// Newer version with the same content: only the version is updated.
    SameContent,
    /// The version isn't newer than that in the set.
    Stale,
    /// The object is invalid; the last valid version stays in force.
    Refused,
    /// The set holds kMaxObjects already, and no tombstone of an earlier revision can be evicted.
    Full,
    Count,
};

struct ApplyResultRow
{
    std::string_view name;
};

const ApplyResultRow &rowOf(ApplyResult value);

/// An object or tombstone of a ConfigSet, and when its content took effect.
struct ObjectInForce
{
    std::shared_ptr<const ConfigObject> object;
    TimePoint since;
};

/// The highest refused version of an object, and why it was refused.
struct RefusedObject
{
    std::uint64_t version = 0;
    std::uint64_t storeEra = 0;
    TimePoint at;
    std::vector<Finding> findings;
};

/// The last object that was ignored although its content differs from the one in force.
struct IgnoredObject
{
    VersionOrder order;
    ChangeNote change;
    TimePoint at;
};

/// A change that took effect, for the history.
struct AppliedChange
{
    ObjectKey key;
    std::uint64_t version = 0;
    bool deleted = false;
    TimePoint at;
    ChangeNote change;
};

constexpr std::size_t kChangeHistoryLength = 256;

/// The objects in force on one node. The version of an object, in the order of VersionOrder, never decreases while it or its tombstone is
/// in the set.
class ConfigSet
{
public:
    /// Applies a valid object or a tombstone if its version is newer than that in the set.
    ApplyResult applyObject(TimePoint now, std::shared_ptr<const ConfigObject> object);

    /// Applies a parsed object. An invalid one is refused as a whole, and its findings are kept in refusedObjects().
    ApplyResult applyParsed(TimePoint now, const ParsedObject &parsed);

    /// Returns a hash of the content of all objects and tombstones; 0 for an empty set.
    std::uint64_t digest() const;

    /// Returns the versions of all objects and tombstones.
    std::vector<ObjectVersion> versions() const;

    /// Returns the objects and tombstones that are missing from @a known, or that have a newer version and other content here.
    std::vector<std::shared_ptr<const ConfigObject>> objectsNewerThan(std::span<const ObjectVersion> known) const;

    /// Returns the object in force, or a null pointer if there is none or it is deleted.
    const ObjectInForce *find(ObjectKind kind, std::string_view name) const;

    /// Returns the object or its tombstone, or a null pointer if there is neither.
    const ObjectInForce *findIncludingDeleted(ObjectKind kind, std::string_view name) const;

    /// Returns all objects in force, without tombstones.
    std::vector<ObjectInForce> objectsInForce() const;

    /// Objects whose latest version was refused; the entry is removed once a version at least as high is in force.
    const std::map<ObjectKey, RefusedObject> &refusedObjects() const;
    /// Objects of which a version that isn't newer, with other content than the one in force, was ignored; the entry is removed once a
    /// newer version is in force.
    const std::map<ObjectKey, IgnoredObject> &ignoredObjects() const;
    /// The last kChangeHistoryLength changes, oldest first.
    const std::deque<AppliedChange> &history() const;
    /// Number of changes that took effect since the start.
    std::uint64_t changeCount() const;

    /// Checks references between the objects in force; see chicoryspar::checkReferences().
    std::vector<Finding> checkReferences() const;

    // Lookups on the request path. They don't allocate; their results are valid until the next change of the set.

    const ServiceSpec *findService(std::string_view service) const;
    /// Returns the first method with matching verb and path prefix, or a null pointer.
    const MethodSpec *findMethod(std::string_view service, std::string_view verb, std::string_view path) const;
    /// Returns the importance of @a caller, or kDefaultImportance if no CallerPolicy applies. An exact name takes precedence over a
    /// prefix, and a longer prefix over a shorter one.
    std::uint8_t importanceOf(std::string_view caller) const;
    /// Returns the name of the CallerPolicy that applies to @a caller; empty if none does.
    std::string_view callerPolicyOf(std::string_view caller) const;
    const RetryPolicySpec &retryPolicyOf(std::string_view service) const;
    const OverloadPolicySpec &overloadPolicyOf(std::string_view service) const;
    const RoutePolicySpec &routePolicyOf(std::string_view service) const;
    /// Returns whether a route table is in force.
    bool hasRoutes() const;
    /// Returns the route of @a host with the longest matching prefix of @a path, or a null pointer.
    const RouteSpec *findRoute(std::string_view host, std::string_view path) const;
    /// Returns whether every route in force could be read, so that a request without a route can be refused for good.
    bool knowsAllRoutes() const;
    /// Returns whether every key in force could be read, so that an unknown key can be refused for good.
    bool knowsAllKeys() const;
    /// Returns the unused parts of all objects in force.
    std::vector<Finding> unusedParts() const;
    const RoutedServiceSpec *findRoutedService(std::string_view service) const;
    /// Returns the shortest latency objective of all routes to @a service, or nothing if there is no such route.
    std::optional<Duration> shortestLatencyObjective(std::string_view service) const;
    /// Returns the longest timeout of all routes; 0 without one.
    Duration longestRouteTimeout() const;
    /// Returns the limits of the route table, or the defaults without one.
    const TrafficLimits &trafficLimits() const;
    /// Returns whether requests to routes that aren't public need the key of a customer.
    bool requiresCustomers() const;
    /// Returns the customer that has a key with @a digest, or a null pointer. The duration depends on the digest only, of which a caller
    /// that guesses keys can't learn anything useful.
    const CustomerSpec *findCustomerByDigest(std::string_view digest) const;
    /// Returns all customers.
    const std::vector<const CustomerSpec *> &customers() const;
    /// Returns the number of objects and tombstones.
    std::size_t size() const;

private:
    /// Importance of the callers with one name or name prefix.
    struct CallerRule
    {
        /// Without the '*' of a prefix.
        std::string nameOrPrefix;
        std::uint8_t importance = kDefaultImportance;
        std::string policy;
    };
    /// A service with its policies resolved to pointers.
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
    bool evictOldestTombstone(const StoreRevision &revision);
    void forgetRefusal(const ConfigObject &object);
    void indexCallers(std::string_view policyName, const CallerPolicySpec &policy);
    void indexRoutes(const RouteTableSpec &table);
    void indexCustomers(const RouteTableSpec &table);
    void rebuildIndexes();

    std::map<ObjectKey, ObjectInForce> m_objects;
    std::map<ObjectKey, RefusedObject> m_refused;
    std::map<ObjectKey, IgnoredObject> m_ignored;
    std::deque<AppliedChange> m_history;
    std::uint64_t m_changeCount = 0;
    std::unordered_map<std::string, ServiceEntry, NameHash, std::equal_to<>> m_services;
    std::unordered_map<std::string, CallerRule, NameHash, std::equal_to<>> m_exactCallers;
    std::vector<CallerRule> m_callerPrefixes;
    /// Routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<const RouteSpec *>, NameHash, std::equal_to<>> m_routes;
    const RouteTableSpec *m_routeTable = nullptr;
    Duration m_longestRouteTimeout{0};
    std::vector<const CustomerSpec *> m_customers;
    /// Customers by the digests of their keys. Views and pointers lead into the objects in force.
    std::unordered_map<std::string_view, const CustomerSpec *, NameHash> m_customersByDigest;
    bool m_requiresCustomers = false;
    std::uint64_t m_digest = 0;
};

/// Distributes the requests of each route among its services by smooth weighted round robin: within any run of consecutive
/// requests, each service gets close to its share.
class WeightedRoundRobin
{
public:
    /// Returns the service for the next request of @a route.
    const std::string &pick(const RouteSpec &route);

private:
    /// Credits of the services of a route. They restart at 0 when the services or their weights change.
    struct Credits
    {
        std::vector<RouteBackend> backends;
        std::vector<double> credits;
    };
    std::unordered_map<std::string, Credits> m_routes;
};

/// Checks references between @a objects: reports policies that don't exist and callers that two policies name. A client runs it
/// before it applies the objects.
std::vector<Finding> checkReferences(std::span<const std::shared_ptr<const ConfigObject>> objects);

/// One step in the explanation of the configuration that applies to a request.
struct ExplainStep
{
    /// Property that was determined, for example "class".
    std::string what;
    std::string value;
    /// Object that determined it, for example "Service/orders"; empty for a default.
    std::string object;
    ChangeNote change;
    std::uint64_t version = 0;
};

/// Explains which configuration applies to a request of @a caller to @a service with @a verb and @a path.
std::vector<ExplainStep> explainRequest(const ConfigSet &set, std::string_view service, std::string_view caller, std::string_view verb,
                                        std::string_view path);

} // namespace chicoryspar
