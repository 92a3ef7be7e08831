#pragma once

/// @file
/// Client of the platform's object API: an interface that tests can replace, the HTTP client, and writes that find out by reading back
/// whether an attempt without an answer took effect.

#include <chicoryspar/config.h>

namespace chicoryspar {

// Errors

/// Errors of calls to the store.
enum class StoreError : std::uint8_t {
    None,
    Unreachable,
    TimedOut,
    /// The object changed since it was read.
    Conflict,
    NotFound,
    AlreadyExists,
    /// The store no longer has events from that version on; a new list is needed.
    Expired,
    /// The store rejected the object or the request.
    Invalid,
    /// The store reported an internal error.
    Unavailable,
    /// The answer doesn't have the form that the API defines.
    Malformed,
    /// The rate limit of this client or of the store is exceeded.
    Throttled,
    Count,
};

/// One row of the table of store errors.
struct StoreErrorRow
{
    std::string_view name;
    std::string_view text;
    /// Whether a write that ended with this error may have taken effect.
    bool isUncertain;
};

const StoreErrorRow &rowOf(StoreError value);
const std::error_category &storeCategory();
std::error_code make_error_code(StoreError value);

/// Returns whether a write that ended with @a ec may have taken effect.
bool isUncertain(std::error_code ec);

// Store

/// Answer to a list call.
struct ObjectList
{
    /// Version of the store from which a watch continues the list.
    std::uint64_t version = 0;
    /// Era of the store, which rises when the store returns from an older copy and gives versions out again; 0 if the store states none.
    std::uint64_t era = 0;
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
    /// Era of the store; see ObjectList::era.
    std::uint64_t era = 0;
};

struct WatchRequest
{
    ObjectKind kind = ObjectKind::Count;
    /// The watch brings the events after this version.
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
    /// Replaces the object if its version in the store equals the version in @a object.
    virtual void replaceObject(ObjectKind kind, const std::string &name, const std::string &object, ObjectHandler handler) = 0;
    /// Replaces only the status if the version in the store equals the version in @a object.
    virtual void replaceStatus(ObjectKind kind, const std::string &name, const std::string &object, ObjectHandler handler) = 0;
    /// Deletes the object if its version in the store equals @a version.
    virtual void removeObject(ObjectKind kind, const std::string &name, std::uint64_t version, ObjectHandler handler) = 0;
    /// Calls @a onEvent for each event in order, then @a onEnd once.
    virtual void watchObjects(const WatchRequest &request, EventHandler onEvent, EndHandler onEnd) = 0;
};

// Dialects

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

/// Paths, bodies and error statuses of one kind of store. Object texts that callers of the dialect pass and receive are JSON in the form
/// of docs/INTERFACES.md.
class StoreDialect
{
public:
    virtual ~StoreDialect() = default;

    /// Returns the kinds of configuration objects that the store holds; empty for all.
    virtual std::vector<ObjectKind> kinds() const = 0;
    /// Returns whether nodes register themselves in the store as contacts, by which other nodes find them.
    virtual bool storesContacts() const = 0;

    /// @param after name after which the page starts; empty for the first
    virtual std::string listPath(ObjectKind kind, const std::string &after) const = 0;
    virtual std::string objectPath(ObjectKind kind, const std::string &name) const = 0;
    virtual std::string watchPath(const WatchRequest &request) const = 0;
    virtual StoreCallParts createCall(ObjectKind kind, const std::string &object) const = 0;
    virtual StoreCallParts replaceCall(ObjectKind kind, const std::string &name, const std::string &object) const = 0;
    virtual StoreCallParts replaceStatusCall(ObjectKind kind, const std::string &name, const std::string &object) const = 0;
    virtual StoreCallParts removeCall(ObjectKind kind, const std::string &name, std::uint64_t version) const = 0;

    /// Returns the name of the header that states the store's era in each answer, a whole number.
    virtual std::string eraHeader() const = 0;
    /// Returns the error of an answer, or none for a success.
    virtual std::error_code errorOf(int status, const std::string &body) const = 0;
    virtual std::optional<ObjectPage> readPage(ObjectKind kind, const std::string &body) const = 0;
    virtual std::optional<std::string> readObject(ObjectKind kind, const std::string &body) const = 0;

    /// Returns whether a watch is answered by a stream with one event a line. Otherwise the answer comes as soon as there are events, with
    /// all of them.
    virtual bool streamsEvents() const = 0;
    /// Reads one line of a stream, or the whole answer of a store that doesn't stream.
    /// @returns nothing when @a text isn't valid
    virtual std::optional<std::vector<StoreEvent>> readEvents(ObjectKind kind, const std::string &text) const = 0;
};

/// Returns the dialect of docs/INTERFACES.md.
std::shared_ptr<const StoreDialect> nativeStoreDialect();

// Client

/// Options of the HTTP client.
struct StoreClientOptions
{
    /// "host:port" of the object API.
    std::string address;
    Duration callTimeout = std::chrono::seconds(3);
    /// Added to the duration of a watch to give its time limit, after which a connection without data is closed.
    Duration watchGrace = std::chrono::milliseconds(1500);
    /// Token bucket for the calls of this client: refill rate and size. A call that finds it empty fails with StoreError::Throttled.
    double callsPerSecond = 20;
    double burst = 60;
    std::shared_ptr<const StoreDialect> dialect = nativeStoreDialect();
};

/// Creates the HTTP client. Calls in progress are cancelled when it is destroyed.
std::unique_ptr<ObjectStore> createStoreClient(StoreClientOptions options);

/// Limits the number of threads that the HTTP library starts; has no effect after the library's first use.
void limitHttpThreads();

// Writes

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
    /// Backoff between attempts: starts at minBackoff and doubles up to maxBackoff; each wait is drawn from the upper half of it.
    Duration minBackoff = std::chrono::milliseconds(200);
    Duration maxBackoff = std::chrono::seconds(3);
    /// Waits for the backoff before another attempt; if empty, the thread sleeps. Tests set it to avoid real waits.
    std::function<void(Duration)> sleep;
};

struct WriteResult
{
    std::error_code ec;
    /// The stored object as far as it was received; on a conflict the version of the other writer.
    std::string object;
    /// True when the write succeeded after an attempt with an uncertain outcome; always false when ec is set.
    bool wasReadBack = false;
};

/// Writes an object and blocks until the outcome is certain or the attempts are used up. After an attempt that may have taken effect the
/// object is read back and its change id compared, so that the change takes effect at most once.
WriteResult writeObject(ObjectStore &store, const WriteRequest &request, const WriteOptions &options, Random &random);

/// Outcome of a blocking read.
struct ReadResult
{
    std::error_code ec;
    std::string object;
};

/// Reads one object and blocks until the answer is there.
ReadResult readObject(ObjectStore &store, ObjectKind kind, const std::string &name);

/// Outcome of a blocking list.
struct ListResult
{
    std::error_code ec;
    ObjectList list;
};

/// Lists all objects of a kind and blocks until the answer is there.
ListResult readObjects(ObjectStore &store, ObjectKind kind);

/// Returns the change id among the annotations of @a object, or an empty text.
std::string changeIdOf(const std::string &object);

} // namespace chicoryspar

template<>
struct std::is_error_code_enum<chicoryspar::StoreError> : std::true_type
{
};
