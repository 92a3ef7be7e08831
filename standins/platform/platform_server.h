#pragma once

/// @file
/// HTTP server of the stand-in platform: object API, watches, call counters and fault injection.

#include "standins/platform/object_table.h"

namespace chicoryspar::standin {

/// Kinds of API calls, counted separately.
enum class CallKind : std::uint8_t {
    Get,
    List,
    Watch,
    Create,
    Update,
    UpdateStatus,
    Delete,
    Unknown,
    Count,
};

struct CallKindRow
{
    std::string_view name;
    /// Whether the call may change an object.
    bool isWrite;
};

const CallKindRow &rowOf(CallKind value);

/// Injected faults; can be combined.
struct PlatformFaults
{
    /// Every call is answered with 503, and open watches are closed.
    bool down = false;
    /// Calls get no answer; watches receive no bookmarks.
    bool silent = false;
    /// Delay before each call is run and answered.
    Duration slow{0};
    /// Writes take effect, but their answers are never sent.
    bool answerLost = false;
    /// Percentage of calls that are answered with 500.
    std::uint32_t errorShare = 0;
    /// Lists return the state this many versions ago.
    std::uint32_t staleListVersions = 0;
    bool duplicateWatchEvents = false;
    bool reorderWatchEvents = false;
};

struct PlatformServerOptions
{
    std::string address = "127.0.0.1";
    /// 0 selects a free port.
    std::uint16_t port = 0;
    Duration bookmarkInterval = std::chrono::seconds(2);
    /// Random seed for errorShare.
    std::uint64_t seed = 1;
};

class PlatformServerImpl;

/// Serves the object API until it is destroyed.
class PlatformServer
{
public:
    explicit PlatformServer(PlatformServerOptions options);
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    /// Starts listening.
    /// @throws std::exception when the port can't be opened
    void open();
    std::uint16_t port() const;

    void setFaults(const PlatformFaults &faults);
    /// Clears the event log, so that watches from earlier versions are answered with 410.
    void compact();
    /// Returns to the state of @a versionsBack versions ago and cuts off open watches. The era in the answers rises by one.
    void restore(std::uint64_t versionsBack);
    /// Returns the number of calls of @a kind since the start.
    std::uint64_t calls(CallKind kind) const;
    /// Reads an object without HTTP, for tests.
    ApiAnswer read(ObjectKind kind, const std::string &name) const;

private:
    std::unique_ptr<PlatformServerImpl> m_impl;
};

} // namespace chicoryspar::standin
