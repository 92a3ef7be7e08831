#pragma once

/// @file
/// Client of the platform's object API: an interface that tests can replace, the HTTP client, and writes whose lost answers are resolved.

#include <chicoryspar/config.h>

namespace chicoryspar {

// --- Errors ----------------------------------------------------------------------------------------------------------

/// How a call to the store failed.
enum class StoreError : std::uint8_t {
    None,
    Unreachable,
    TimedOut,
    /// The object changed since it was read.
    Conflict,
    NotFound,
    AlreadyExists,
    /// The version is compacted; list again.
    Expired,
    /// The store refused the object.
    Invalid,
    /// The store answered with an error of its own.
    Unavailable,
    /// The answer isn't what the API promises.
    Malformed,
    /// The own bound on calls is reached.
    Throttled,
    Count,
};

struct StoreErrorRow
{
    std::string_view name;
    std::string_view text;
    /// Whether a write may have taken effect all the same.
    bool isUncertain;
};

const StoreErrorRow &rowOf(StoreError value);
const std::error_category &storeCategory();
std::error_code make_error_code(StoreError value);

/// Tells whether a write that ended with @a ec may have taken effect.
bool isUncertain(std::error_code ec);

// --- Store -----------------------------------------------------------------------------------------------------------

/// Answer to a list call.
struct ObjectList
{
    std::uint64_t version = 0;
    /// Objects as JSON.
    std::vector<std::string> objects;
};

enum class StoreEventKind : std::uint8_t {
    Added,
    Modified,
    Deleted,
    Bookmark,
    Error,
    Count,
};

struct StoreEventKindRow
{
    std::string_view name;
};

const StoreEventKindRow &rowOf(StoreEventKind value);
std::optional<StoreEventKind> findStoreEventKind(std::string_view name);

/// One event of a watch.
struct StoreEvent
{
    StoreEventKind kind = StoreEventKind::Bookmark;
    /// Version of the object, or of a bookmark.
    std::uint64_t version = 0;
    /// Object as JSON.
    std::string object;
};

struct WatchRequest
{
    ObjectKind kind = ObjectKind::Count;
    /// Events above this version are wanted.
    std::uint64_t version = 0;
    /// How long the store keeps the watch open.
    Duration duration = std::chrono::seconds(6);
};

/// The object API. Calls return at once; each handler is called exactly once, on any thread.
class ObjectStore
{
public:
    using ListHandler = std::function<void(std::error_code ec, ObjectList list)>;
    /// @a object is the stored object as JSON, empty on errors.
    using ObjectHandler = std::function<void(std::error_code ec, std::string object)>;
    using EventHandler = std::function<void(StoreEvent event)>;
    using EndHandler = std::function<void(std::error_code ec)>;

    virtual ~ObjectStore() = default;

    virtual void listObjects(ObjectKind kind, ListHandler handler) = 0;
    virtual void getObject(ObjectKind kind, const std::string &name, ObjectHandler handler) = 0;
    virtual void createObject(ObjectKind kind, const std::string &object, ObjectHandler handler) = 0;
    /// Replaces the object if its version is still that in @a object.
    virtual void replaceObject(ObjectKind kind, const std::string &name, const std::string &object, ObjectHandler handler) = 0;
    /// Replaces the status alone if the version is still that in @a object.
    virtual void replaceStatus(ObjectKind kind, const std::string &name, const std::string &object, ObjectHandler handler) = 0;
    /// Deletes the object if its version is still @a version.
    virtual void removeObject(ObjectKind kind, const std::string &name, std::uint64_t version, ObjectHandler handler) = 0;
    /// Calls @a onEvent for each event in order, then @a onEnd once.
    virtual void watchObjects(const WatchRequest &request, EventHandler onEvent, EndHandler onEnd) = 0;
};

// --- Dialects --------------------------------------------------------------------------------------------------------

/// One page of a list.
struct ObjectPage
{
    ObjectList list;
    /// Name after which the next page starts; empty on the last one.
    std::string next;
};

/// Path and body of a call.
struct StoreCallParts
{
    std::string path;
    std::string body;
};

/// How a store spells paths, bodies and errors. Objects on this side are JSON in the form of docs/INTERFACES.md.
class StoreDialect
{
public:
    virtual ~StoreDialect() = default;

    /// Kinds of configuration that the store holds; empty for all.
    virtual std::vector<ObjectKind> kinds() const = 0;
    /// Nodes enter themselves in the store as contacts, by which others find them.
    virtual bool storesContacts() const = 0;

    /// @param after name after which the page starts; empty for the first
    virtual std::string listPath(ObjectKind kind, const std::string &after) const = 0;
    virtual std::string objectPath(ObjectKind kind, const std::string &name) const = 0;
    virtual std::string watchPath(const WatchRequest &request) const = 0;
    virtual StoreCallParts createCall(ObjectKind kind, const std::string &object) const = 0;
    virtual StoreCallParts replaceCall(ObjectKind kind, const std::string &name, const std::string &object) const = 0;
    virtual StoreCallParts replaceStatusCall(ObjectKind kind, const std::string &name, const std::string &object) const = 0;
    virtual StoreCallParts removeCall(ObjectKind kind, const std::string &name, std::uint64_t version) const = 0;

    /// Returns the error that an HTTP status stands for.
    virtual std::error_code errorOf(int status, const std::string &body) const = 0;
    virtual std::optional<ObjectPage> readPage(ObjectKind kind, const std::string &body) const = 0;
    virtual std::optional<std::string> readObject(ObjectKind kind, const std::string &body) const = 0;

    /// A watch answers with one event a line until it ends; otherwise with all events at once, as soon as there is one.
    virtual bool streamsEvents() const = 0;
    /// Reads one line of a stream, or the whole answer.
    virtual std::optional<std::vector<StoreEvent>> readEvents(ObjectKind kind, const std::string &text) const = 0;
};

/// Returns the dialect of docs/INTERFACES.md.
std::shared_ptr<const StoreDialect> nativeStoreDialect();

// --- Client ----------------------------------------------------------------------------------------------------------

struct StoreClientOptions
{
    /// "host:port" of the object API.
    std::string address;
    Duration callTimeout = std::chrono::seconds(3);
    /// Added to the duration of a watch; a silent connection is given up after both.
    Duration watchGrace = std::chrono::milliseconds(1500);
    /// Calls of this process, on average and at most at once.
    double callsPerSecond = 20;
    double burst = 60;
    std::shared_ptr<const StoreDialect> dialect = nativeStoreDialect();
};

/// Creates the HTTP client. Calls in progress are cancelled when it is destroyed.
std::unique_ptr<ObjectStore> createStoreClient(StoreClientOptions options);

/// Bounds the threads that the HTTP library starts; has an effect only before its first use.
void limitHttpThreads();

// --- Writes ----------------------------------------------------------------------------------------------------------

enum class WriteKind : std::uint8_t {
    Create,
    Replace,
    Remove,
    Count,
};

/// A change of one object.
struct WriteRequest
{
    WriteKind kind = WriteKind::Replace;
    ObjectKind objectKind = ObjectKind::Count;
    std::string name;
    /// Object as JSON, with the change id among its annotations.
    std::string object;
    std::string changeId;
    /// Version that a removal expects.
    std::uint64_t version = 0;
};

struct WriteOptions
{
    int attempts = 5;
    /// Wait before another attempt: doubled from the first to the second, drawn from the upper half.
    Duration minBackoff = std::chrono::milliseconds(200);
    Duration maxBackoff = std::chrono::seconds(3);
    /// Waits; tests replace it.
    std::function<void(Duration)> sleep;
};

struct WriteResult
{
    std::error_code ec;
    /// The object as stored now, as far as known; on a conflict the other's version.
    std::string object;
    /// Whether an answer was lost and the outcome read back.
    bool wasReadBack = false;
};

/// Writes and waits for the outcome. An uncertain attempt is resolved by reading back the change id, so the change takes effect at most
/// once.
WriteResult writeObject(ObjectStore &store, const WriteRequest &request, const WriteOptions &options, Random &random);

/// Outcome of a blocking read.
struct ReadResult
{
    std::error_code ec;
    std::string object;
};

/// Reads one object and waits for it.
ReadResult readObject(ObjectStore &store, ObjectKind kind, const std::string &name);

/// Outcome of a blocking list.
struct ListResult
{
    std::error_code ec;
    ObjectList list;
};

/// Lists all objects of a kind and waits for them.
ListResult readObjects(ObjectStore &store, ObjectKind kind);

/// Returns the change id that an object carries, or nothing.
std::string changeIdOf(const std::string &object);

} // namespace chicoryspar

template<>
struct std::is_error_code_enum<chicoryspar::StoreError> : std::true_type
{
};
