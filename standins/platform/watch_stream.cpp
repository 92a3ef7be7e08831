/// @file
/// Response body of a watch.

#include "standins/platform/watch_stream.h"

#include <algorithm>

namespace chicoryspar::standin {

WatchStream::WatchStream(ObjectKind kind, std::uint64_t version, SteadyTime deadline, SteadyTime nextBookmark)
    : m_kind(kind)
    , m_version(version)
    , m_deadline(deadline)
    , m_nextBookmark(nextBookmark)
{
}

concurrency::streams::istream WatchStream::body() const
{
    return m_buf.create_istream();
}

void WatchStream::writeLine(std::string_view type, const Json &object)
{
    const auto line = Json{{"type", type}, {"object", object}}.dump() + "\n";
    m_buf.putn_nocopy(reinterpret_cast<const std::uint8_t *>(line.data()), line.size()).wait();
    m_buf.sync().wait();
}

void WatchStream::writeEvents(const ObjectTable &table, WatchFaults faults)
{
    auto events = table.eventsAfter(m_kind, m_version);
    if (events.empty()) {
        return;
    }
    m_version = events.back().version;
    if (faults.duplicate) {
        const auto copies = events;
        events.insert(events.end(), copies.begin(), copies.end());
    }
    if (faults.reorder) {
        std::reverse(events.begin(), events.end());
    }
    for (const auto &it : events) {
        writeLine(it.type, it.object);
    }
}

void WatchStream::writeBookmark(SteadyTime now, const ObjectTable &table, Duration interval)
{
    if (now < m_nextBookmark) {
        return;
    }
    m_nextBookmark = now + interval;
    m_version = std::max(m_version, table.version());
    writeLine("BOOKMARK",
              {{"kind", rowOf(m_kind).name}, {"apiVersion", kApiVersion}, {"metadata", {{"resourceVersion", std::to_string(m_version)}}}});
}

bool WatchStream::isOver(SteadyTime now) const
{
    return now >= m_deadline || !m_buf.can_write();
}

void WatchStream::close()
{
    m_buf.close(std::ios_base::out).wait();
}

} // namespace chicoryspar::standin
