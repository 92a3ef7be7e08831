/// @file
/// Ring of waiting calls.

#include "overload/gate_queue.h"

#include <algorithm>
#include <cassert>

namespace chicoryspar {

CallQueue::CallQueue(std::size_t capacity)
    : m_entries(std::max<std::size_t>(1, capacity))
{
}

void CallQueue::resize(std::size_t capacity)
{
    std::vector<Entry> entries(std::max({std::size_t{1}, capacity, m_size}));
    std::size_t n = 0;
    for (std::size_t index = 0; index < m_span; ++index) {
        if (at(index).isUsed) {
            entries[n++] = at(index);
        }
    }
    m_entries = std::move(entries);
    m_first = 0;
    m_span = n;
}

std::size_t CallQueue::size() const
{
    return m_size;
}

std::size_t CallQueue::capacity() const
{
    return m_entries.size();
}

bool CallQueue::isFull() const
{
    return m_size == m_entries.size();
}

std::size_t CallQueue::bytes() const
{
    return m_entries.capacity() * sizeof(Entry);
}

CallQueue::Entry &CallQueue::at(std::size_t index)
{
    const auto n = m_first + index;
    return m_entries[n < m_entries.size() ? n : n - m_entries.size()];
}

const CallQueue::Entry &CallQueue::at(std::size_t index) const
{
    const auto n = m_first + index;
    return m_entries[n < m_entries.size() ? n : n - m_entries.size()];
}

void CallQueue::push(const WaitingCall &call)
{
    assert(!isFull());
    if (m_span == m_entries.size()) {
        compact();
    }
    at(m_span) = {call, true};
    ++m_span;
    ++m_size;
}

const WaitingCall *CallQueue::oldest() const
{
    return m_size > 0 ? &at(0).call : nullptr;
}

const WaitingCall *CallQueue::highest() const
{
    const WaitingCall *found = nullptr;
    for (std::size_t n = 0; n < m_span; ++n) {
        const auto &entry = at(n);
        if (entry.isUsed && (!found || entry.call.request.rank > found->request.rank)) {
            found = &entry.call;
        }
    }
    return found;
}

const WaitingCall *CallQueue::lowest() const
{
    const WaitingCall *found = nullptr;
    for (std::size_t n = 0; n < m_span; ++n) {
        const auto &entry = at(n);
        if (entry.isUsed && (!found || entry.call.request.rank <= found->request.rank)) {
            found = &entry.call;
        }
    }
    return found;
}

const WaitingCall *CallQueue::find(std::uint64_t ticket) const
{
    for (std::size_t n = 0; n < m_span; ++n) {
        const auto &entry = at(n);
        if (entry.isUsed && entry.call.request.ticket == ticket) {
            return &entry.call;
        }
    }
    return nullptr;
}

void CallQueue::remove(const WaitingCall *call)
{
    for (std::size_t n = 0; n < m_span; ++n) {
        // Searches from both ends in turn: mostly the oldest and the newest calls are removed.
        const auto index = n % 2 == 0 ? n / 2 : m_span - 1 - n / 2;
        auto &entry = at(index);
        if (&entry.call == call) {
            entry.isUsed = false;
            --m_size;
            trim();
            return;
        }
    }
    assert(false);
}

void CallQueue::trim()
{
    while (m_span > 0 && !at(0).isUsed) {
        m_first = m_first + 1 == m_entries.size() ? 0 : m_first + 1;
        --m_span;
    }
    while (m_span > 0 && !at(m_span - 1).isUsed) {
        --m_span;
    }
}

void CallQueue::compact()
{
    std::size_t kept = 0;
    for (std::size_t n = 0; n < m_span; ++n) {
        if (at(n).isUsed) {
            if (kept != n) {
                at(kept) = at(n);
                at(n).isUsed = false;
            }
            ++kept;
        }
    }
    m_span = kept;
}

} // namespace chicoryspar
