/// @file
/// Bounded buffer for the events of one node.

#include <chicoryspar/timeline.h>

#include <algorithm>
#include <cassert>

namespace chicoryspar {

EventBuffer::EventBuffer(EventBufferOptions options)
    : m_options(std::move(options))
{
    assert(m_options.maxEntries > 0);
}

std::uint64_t EventBuffer::record(HybridTime at, Event event)
{
    event.at = at;
    event.node = m_options.node;
    event.sequence = ++m_lastSequence;
    m_byteCount += sizeOf(event);
    m_events.push_back(std::move(event));
    while (m_events.size() > m_options.maxEntries || m_byteCount > m_options.maxBytes) {
        dropOldest();
    }
    return m_lastSequence;
}

void EventBuffer::dropOldest()
{
    m_byteCount -= sizeOf(m_events.front());
    m_events.pop_front();
    ++m_droppedCount;
}

void EventBuffer::countRefusal(std::string_view service, RequestClass requestClass, Reason reason, const RequestId &root)
{
    RefusalKey key{std::string(service), requestClass, reason};
    auto it = m_refusals.find(key);
    if (it == m_refusals.end() && m_refusals.size() < m_options.maxRefusalGroups) {
        it = m_refusals.emplace(std::move(key), RefusalGroup{0, root}).first;
    }
    auto &group = it == m_refusals.end() ? m_otherRefusals : it->second;
    ++group.count;
}

void EventBuffer::flushRefusals(TimePoint now, HybridTime at)
{
    if (now - m_flushedAt < m_options.refusalInterval) {
        return;
    }
    m_flushedAt = now;
    for (const auto &[key, group] : m_refusals) {
        recordRefusals(at, key, group);
    }
    m_refusals.clear();
    if (m_otherRefusals.count > 0) {
        recordRefusals(at, RefusalKey{}, m_otherRefusals);
        m_otherRefusals = {};
    }
}

void EventBuffer::recordRefusals(HybridTime at, const RefusalKey &key, const RefusalGroup &group)
{
    Event event{.kind = EventKind::Refusals, .service = key.service, .root = group.firstRoot, .reason = key.reason, .value = group.count};
    event.subject = key.service.empty() ? "several" : rowOf(key.requestClass).name;
    record(at, std::move(event));
}

EventPage EventBuffer::read(std::uint64_t after, std::size_t limit) const
{
    EventPage page{.node = m_options.node, .boot = m_options.boot, .next = std::min(after, m_lastSequence)};
    const auto lastDropped = m_lastSequence - m_events.size();
    if (after < lastDropped) {
        page.dropped = lastDropped - after;
        after = lastDropped;
    }
    if (after >= m_lastSequence) {
        return page;
    }
    const auto begin = m_events.begin() + static_cast<std::ptrdiff_t>(after - lastDropped);
    const auto count = std::min<std::size_t>(limit, static_cast<std::size_t>(m_events.end() - begin));
    page.events.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
    page.next = after + count;
    return page;
}

} // namespace chicoryspar
