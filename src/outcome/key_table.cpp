/// @file
/// Bounded table of the records of one record owner.

#include "outcome/key_table.h"

namespace chicoryspar {

KeyTable::KeyTable(const KeyOwnerOptions &options)
    : m_retention(options.limits.lifetime + options.limits.futureTolerance + options.limits.maxSkew)
    , m_maxEntries(options.maxEntries)
    , m_maxBytes(options.maxBytes)
{
    if (!options.rules.keepsRecords) {
        m_retention = options.limits.lifetime / 4;
    }
}

KeyRecord *KeyTable::find(const RequestId &key)
{
    const auto it = m_records.find(key);
    return it == m_records.end() ? nullptr : &it->second;
}

const KeyRecord *KeyTable::find(const RequestId &key) const
{
    const auto it = m_records.find(key);
    return it == m_records.end() ? nullptr : &it->second;
}

bool KeyTable::isFull() const
{
    return m_records.size() >= m_maxEntries;
}

bool KeyTable::insert(KeyRecord record)
{
    if (m_records.contains(record.key)) {
        return true;
    }
    if (isFull()) {
        return false;
    }
    const auto key = record.key;
    const auto answer = std::move(record.answer);
    m_expiry.emplace(record.created, key);
    auto &added = m_records.emplace(key, std::move(record)).first->second;
    if (answer) {
        setDone(added, answer);
    }
    return true;
}

void KeyTable::erase(const RequestId &key)
{
    const auto it = m_records.find(key);
    if (it == m_records.end()) {
        return;
    }
    dropAnswer(it->second);
    const auto [begin, end] = m_expiry.equal_range(it->second.created);
    for (auto expiry = begin; expiry != end; ++expiry) {
        if (expiry->second == key) {
            m_expiry.erase(expiry);
            break;
        }
    }
    m_records.erase(it);
}

void KeyTable::setDone(KeyRecord &record, std::shared_ptr<const KeyAnswer> answer)
{
    dropAnswer(record);
    record.state = KeyState::Done;
    record.answer = std::move(answer);
    if (record.answer) {
        m_answerBytes += record.answer->size();
        m_answerOrder.push_back(record.key);
        evictAnswers();
    }
}

void KeyTable::expire(WallTime wall)
{
    while (!m_expiry.empty() && m_expiry.begin()->first + m_retention < wall) {
        const auto it = m_records.find(m_expiry.begin()->second);
        dropAnswer(it->second);
        m_records.erase(it);
        m_expiry.erase(m_expiry.begin());
    }
    while (!m_answerOrder.empty() && !m_records.contains(m_answerOrder.front())) {
        m_answerOrder.pop_front();
    }
}

void KeyTable::refuseUntil(WallTime created)
{
    m_refusedUntil = std::max(m_refusedUntil, created);
}

void KeyTable::evictAnswers()
{
    while (m_answerBytes > m_maxBytes) {
        const auto key = m_answerOrder.front();
        m_answerOrder.pop_front();
        if (auto *record = find(key); record && record->answer) {
            dropAnswer(*record);
            ++m_evicted;
        }
    }
}

void KeyTable::dropAnswer(KeyRecord &record)
{
    if (record.answer) {
        m_answerBytes -= record.answer->size();
        record.answer.reset();
    }
}

} // namespace chicoryspar
