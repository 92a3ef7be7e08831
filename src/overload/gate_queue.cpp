/// @file
/// Ring of waiting calls.

#include "overload/gate_queue.h"

#include <algorithm>
#include <cassert>

namespace chicoryspar {

CallQueue::CallQueue(std::size_t capacity)
    : m_places(std::max<std::size_t>(1, capacity))
{
}

void CallQueue::resize(std::size_t capacity)
{
    std::vector<Place> places(std::max({std::size_t{1}, capacity, m_size}));
    std::size_t n = 0;
    for (std::size_t it = 0; it < m_used; ++it) {
        if (at(it).isUsed) {
            places[n++] = at(it);
        }
    }
    m_places = std::move(places);
    m_first = 0;
    m_used = n;
}

std::size_t CallQueue::size() const
{
    return m_size;
}

std::size_t CallQueue::capacity() const
{
    return m_places.size();
}

bool CallQueue::isFull() const
{
    return m_size == m_places.size();
}

std::size_t CallQueue::bytes() const
{
    return m_places.capacity() * sizeof(Place);
}

CallQueue::Place &CallQueue::at(std::size_t index)
{
    const auto n = m_first + index;
    return m_places[n < m_places.size() ? n : n - m_places.size()];
}

const CallQueue::Place &CallQueue::at(std::size_t index) const
{
    const auto n = m_first + index;
    return m_places[n < m_places.size() ? n : n - m_places.size()];
}

void CallQueue::push(const WaitingCall &call)
{
    assert(!isFull());
    if (m_used == m_places.size()) {
        compact();
    }
    at(m_used) = {call, true};
    ++m_used;
    ++m_size;
}

const WaitingCall *CallQueue::oldest() const
{
    return m_size > 0 ? &at(0).call : nullptr;
}

const WaitingCall *CallQueue::highest() const
{
    const WaitingCall *found = nullptr;
    for (std::size_t n = 0; n < m_used; ++n) {
        const auto &place = at(n);
        if (place.isUsed && (!found || place.call.request.rank > found->request.rank)) {
            found = &place.call;
        }
    }
    return found;
}

const WaitingCall *CallQueue::lowest() const
{
    const WaitingCall *found = nullptr;
    for (std::size_t n = 0; n < m_used; ++n) {
        const auto &place = at(n);
        if (place.isUsed && (!found || place.call.request.rank <= found->request.rank)) {
            found = &place.call;
        }
    }
    return found;
}

const WaitingCall *CallQueue::find(std::uint64_t ticket) const
{
    for (std::size_t n = 0; n < m_used; ++n) {
        const auto &place = at(n);
        if (place.isUsed && place.call.request.ticket == ticket) {
            return &place.call;
        }
    }
    return nullptr;
}

void CallQueue::remove(const WaitingCall *call)
{
    for (std::size_t n = 0; n < m_used; ++n) {
        // The newest and the oldest are asked for most.
        const auto index = n % 2 == 0 ? n / 2 : m_used - 1 - n / 2;
        auto &place = at(index);
        if (&place.call == call) {
            place.isUsed = false;
            --m_size;
            trim();
            return;
        }
    }
    assert(false);
}

void CallQueue::trim()
{
    while (m_used > 0 && !at(0).isUsed) {
        m_first = m_first + 1 == m_places.size() ? 0 : m_first + 1;
        --m_used;
    }
    while (m_used > 0 && !at(m_used - 1).isUsed) {
        --m_used;
    }
}

void CallQueue::compact()
{
    std::size_t kept = 0;
    for (std::size_t n = 0; n < m_used; ++n) {
        if (at(n).isUsed) {
            if (kept != n) {
                at(kept) = at(n);
                at(n).isUsed = false;
            }
            ++kept;
        }
    }
    m_used = kept;
}

} // namespace chicoryspar
