#pragma once

/// @file
/// Response body of a watch: one JSON line per event, written while the client reads.

#include "standins/platform/object_table.h"

#include <chrono>

#include <cpprest/producerconsumerstream.h>
#include <cpprest/streams.h>

namespace chicoryspar::standin {

using SteadyTime = std::chrono::steady_clock::time_point;

/// Faults injected into watches.
struct WatchFaults
{
    bool duplicate = false;
    bool reorder = false;
};

/// One open watch.
class WatchStream
{
public:
    WatchStream(ObjectKind kind, std::uint64_t version, SteadyTime deadline, SteadyTime nextBookmark);

    concurrency::streams::istream body() const;
    /// Writes the events logged since the last call.
    void writeEvents(const ObjectTable &table, WatchFaults faults);
    /// Writes a bookmark if one is due, and schedules the next one after @a interval.
    void writeBookmark(SteadyTime now, const ObjectTable &table, Duration interval);
    bool isOver(SteadyTime now) const;
    void close();

private:
    void writeLine(std::string_view type, const Json &object);

    ObjectKind m_kind;
    std::uint64_t m_version;
    SteadyTime m_deadline;
    SteadyTime m_nextBookmark;
    concurrency::streams::producer_consumer_buffer<std::uint8_t> m_buf;
};

} // namespace chicoryspar::standin
