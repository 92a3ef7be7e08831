#pragma once

/// @file
/// Time line: typed events, the hybrid logical clock that orders them over all nodes, the bounded buffer of one node, and
/// the merging, filtering and rendering of many nodes' events. Nothing here reads a clock or does input or output.

#include <chicoryspar/core.h>

#include <deque>
#include <map>
#include <set>

namespace chicoryspar {

// Hybrid logical clock

/// Reading of a hybrid logical clock: wall-clock microseconds and a counter in one 64-bit value that compares in causal order.
struct HybridTime
{
    std::uint64_t value = 0;

    constexpr bool isValid() const
    {
        return value != 0;
    }
    auto operator<=>(const HybridTime &) const = default;
};

/// Bits of HybridTime::value that count readings within one microsecond.
constexpr int kHybridCounterBits = 12;

/// Returns the wall-clock part of @a at.
WallTime wallOf(HybridTime at);

/// Returns the reading for @a wall with counter 0.
HybridTime makeHybridTime(WallTime wall);

/// Hybrid logical clock of one node: each reading is greater than every reading returned or observed before.
class HybridClock
{
public:
    /// Readings of other nodes that are further ahead of this node's wall clock are ignored.
    static constexpr Duration kMaxDrift = std::chrono::minutes(10);

    /// Returns the reading for a local event or a message to be sent.
    HybridTime tick(WallTime wall);

    /// Advances the clock to the reading that a message carried, if that is later.
    /// @returns false when @a remote is more than kMaxDrift ahead of @a wall and was ignored
    bool observe(HybridTime remote, WallTime wall);

    /// Returns the last reading.
    HybridTime last() const
    {
        return m_last;
    }

    /// Returns how many readings observe() ignored.
    std::uint64_t ignoredCount() const
    {
        return m_ignoredCount;
    }

private:
    HybridTime m_last;
    std::uint64_t m_ignoredCount = 0;
};

// Events

/// Kinds of events.
enum class EventKind : std::uint8_t {
    NodeStarted,
    NodeStopping,
    MemberJoined,
    MemberSuspect,
    MemberDead,
    MemberLeft,
    MemberReturned,
    MemberChanged,
    NameConflict,
    ClockSkew,
    ConfigInForce,
    ConfigRefused,
    ConfigDeleted,
    LimitChanged,
    LevelChanged,
    Refusals,
    UpstreamEjected,
    UpstreamReadmitted,
    ConnectionRetired,
    DrainBegun,
    DrainEnded,
    BackendReady,
    BackendLost,
    StoreLost,
    StoreBack,
    KeyUnknown,
    KeyRecordsHandedOver,
    KeyRecordsTakenOver,
    Decision,
    Count,
};

/// One row of the table of event kinds.
struct EventKindRow
{
    std::string_view name;
    /// Description for operators.
    std::string_view text;
    /// Whether operators on call should look at events of this kind first.
    bool isWarning;
};

const EventKindRow &rowOf(EventKind value);
std::optional<EventKind> findEventKind(std::string_view name);

/// One entry of the time line.
struct Event
{
    HybridTime at;
    EventKind kind = EventKind::Decision;
    /// Name of the node that recorded it; EventBuffer fills it in.
    std::string node;
    /// Position in the node's buffer, from 1; EventBuffer fills it in.
    std::uint64_t sequence = 0;
    /// Name of the service, or empty.
    std::string service;
    /// Root request, or invalid.
    RequestId root;
    Reason reason = Reason::None;
    /// Node, object (as "Service/orders") or upstream that the event concerns.
    std::string subject;
    /// Count, limit or version, depending on the kind.
    std::int64_t value = 0;
    /// Free text.
    std::string text;
};

/// Returns the bytes that @a event takes in a buffer.
std::size_t sizeOf(const Event &event);

// Buffer of one node

struct EventBufferOptions
{
    /// Name of the node.
    std::string node;
    /// Differs at each start of the node's process.
    std::uint64_t boot = 0;
    std::size_t maxEntries = 4096;
    /// Bytes of all entries together.
    std::size_t maxBytes = 1024 * 1024;
    /// Refusals of one service, class and reason within this interval become one event.
    Duration refusalInterval = std::chrono::seconds(1);
    /// Combinations of service, class and reason that are counted separately in one interval; all others share one count.
    std::size_t maxRefusalGroups = 64;
};

/// Part of a node's buffer, as `GET /v1/events` returns it.
struct EventPage
{
    std::string node;
    std::uint64_t boot = 0;
    /// Value of `after` for reading the next page.
    std::uint64_t next = 0;
    /// Number of events after the requested position that the buffer has dropped.
    std::uint64_t dropped = 0;
    std::vector<Event> events;
};

/// Bounded buffer of the latest events of one node; the oldest are dropped first.
class EventBuffer
{
public:
    explicit EventBuffer(EventBufferOptions options);

    /// Appends @a event.
    /// @returns its sequence number
    std::uint64_t record(HybridTime at, Event event);

    /// Counts one refusal; flushRefusals() turns the counts into events.
    void countRefusal(std::string_view service, RequestClass requestClass, Reason reason, const RequestId &root);

    /// Appends one event for each group of refusals once the interval is over, and resets the counts.
    void flushRefusals(TimePoint now, HybridTime at);

    /// Returns at most @a limit events after sequence number @a after.
    EventPage read(std::uint64_t after, std::size_t limit) const;

    std::size_t entryCount() const
    {
        return m_events.size();
    }
    std::size_t byteCount() const
    {
        return m_byteCount;
    }
    /// Returns how many events were dropped since the start.
    std::uint64_t droppedCount() const
    {
        return m_droppedCount;
    }

private:
    struct RefusalKey
    {
        std::string service;
        RequestClass requestClass = RequestClass::Lookup;
        Reason reason = Reason::None;

        auto operator<=>(const RefusalKey &) const = default;
    };
    struct RefusalGroup
    {
        std::int64_t count = 0;
        RequestId firstRoot;
    };

    void dropOldest();
    void recordRefusals(HybridTime at, const RefusalKey &key, const RefusalGroup &group);

    EventBufferOptions m_options;
    std::deque<Event> m_events;
    std::size_t m_byteCount = 0;
    std::uint64_t m_droppedCount = 0;
    std::uint64_t m_lastSequence = 0;
    std::map<RefusalKey, RefusalGroup, std::less<>> m_refusals;
    RefusalGroup m_otherRefusals;
    TimePoint m_flushedAt{};
};

// Events of many nodes

/// Events of many nodes in one order.
struct Timeline
{
    std::vector<Event> events;
    /// Reasons for missing events: a node dropped some or didn't answer. The place is the node's name or address.
    std::vector<Finding> gaps;
};

/// Conditions on events, all of which must hold; an empty field is no condition.
struct EventFilter
{
    std::string service;
    std::string node;
    RequestId root;
    std::set<EventKind> kinds;
    /// Events whose wall-clock part is earlier are left out.
    std::optional<WallTime> since;
};

/// Returns whether @a event meets the conditions of @a filter.
bool matches(const EventFilter &filter, const Event &event);

/// Merges pages of any nodes, sorted by hybrid time, then node, then sequence; duplicates are removed.
Timeline mergePages(const std::vector<EventPage> &pages);

/// Removes the events that don't match @a filter.
void applyFilter(const EventFilter &filter, Timeline &timeline);

// Formats

/// Output formats.
enum class TimelineFormat : std::uint8_t {
    Text,
    Json,
    Html,
    Count,
};

/// One row of the table of formats.
struct TimelineFormatRow
{
    std::string_view name;
    std::string (*render)(const Timeline &timeline);
};

const TimelineFormatRow &rowOf(TimelineFormat value);
std::optional<TimelineFormat> findTimelineFormat(std::string_view name);

/// Returns one line for each event, then the gaps.
std::string renderText(const Timeline &timeline);

/// Returns one JSON object with "events" and "gaps".
std::string renderJson(const Timeline &timeline);

/// Returns one self-contained HTML page with a column for each node.
std::string renderHtml(const Timeline &timeline);

/// Returns the JSON body of `GET /v1/events`.
std::string formatPage(const EventPage &page);

/// Parses the JSON body of `GET /v1/events`.
/// @returns nothing when @a text has faults, which are added to @a findings
std::optional<EventPage> parsePage(std::string_view text, std::vector<Finding> &findings);

/// Returns @a wall as ISO 8601 in UTC with microseconds.
std::string toString(WallTime wall);

/// Parses ISO 8601 in UTC ("2026-12-04T05:06:07Z", fraction optional).
std::optional<WallTime> parseWallTime(std::string_view text);

} // namespace chicoryspar
