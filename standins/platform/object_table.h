#pragma once

/// @file
/// In-memory object store of the stand-in platform: versions, conditional updates, deletions, and the event log that watches read.
/// Not thread-safe; does no I/O.

#include <chicoryspar/config.h>

#include <nlohmann/json.hpp>

namespace chicoryspar::standin {

using Json = nlohmann::json;

/// Response of the object API.
struct ApiAnswer
{
    /// HTTP status.
    int status = 200;
    Json body;
};

/// One change in the event log.
struct LoggedEvent
{
    std::uint64_t version = 0;
    ObjectKind kind = ObjectKind::Count;
    std::string name;
    /// ADDED, MODIFIED or DELETED.
    std::string_view type;
    /// The object after this change; for a deletion, its last state with the version of the deletion.
    Json object;
};

/// Returns an error response with an object of kind Status.
ApiAnswer makeErrorAnswer(int status, std::string_view reason, std::string_view message);

/// All objects by kind and name, and the log of their changes.
class ObjectTable
{
public:
    /// @param wall creation time of the new object
    ApiAnswer create(WallTime wall, ObjectKind kind, Json object);
    ApiAnswer read(ObjectKind kind, const std::string &name) const;
    /// Replaces everything except the status. Fails with 409 unless metadata.resourceVersion is the current version.
    ApiAnswer replace(ObjectKind kind, const std::string &name, Json object);
    /// Replaces only the status. Fails with 409 unless metadata.resourceVersion is the current version.
    ApiAnswer replaceStatus(ObjectKind kind, const std::string &name, const Json &object);
    /// @param version expected version; empty for any
    ApiAnswer remove(ObjectKind kind, const std::string &name, const std::string &version);

    /// @param versionsBack age of the listed state in versions; 0 for the current state
    ApiAnswer list(ObjectKind kind, std::uint64_t versionsBack) const;

    /// Returns the changes of objects of @a kind after @a version, oldest first.
    std::vector<LoggedEvent> eventsAfter(ObjectKind kind, std::uint64_t version) const;

    std::uint64_t version() const;
    /// Returns the lowest version from which a watch can start.
    std::uint64_t compactedVersion() const;
    /// Clears the event log, so that watches can't start before the current version.
    void compact();

    /// Returns to the state of @a versionsBack versions ago, or to the oldest one that the event log still has. The versions since are
    /// given out again.
    void restore(std::uint64_t versionsBack);
    /// Returns the number of restores plus 1.
    std::uint64_t era() const;

private:
    Json *findObject(ObjectKind kind, const std::string &name);
    ApiAnswer commitUpdate(ObjectKind kind, const std::string &name, Json object);
    void logEvent(ObjectKind kind, const std::string &name, std::string_view type, const Json &object);
    std::map<ObjectKey, Json> stateAt(std::uint64_t version) const;

    std::map<ObjectKey, Json> m_objects;
    /// State before the first entry of m_log.
    std::map<ObjectKey, Json> m_stateBeforeLog;
    std::vector<LoggedEvent> m_log;
    std::uint64_t m_version = 0;
    std::uint64_t m_compactedVersion = 0;
    std::uint64_t m_nextUid = 0;
    std::uint64_t m_era = 1;
};

} // namespace chicoryspar::standin
