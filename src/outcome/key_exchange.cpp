/// @file
/// Messages of the record owner: queries to the next node in rank, and the hand-over of records on a planned leave.

#include "outcome/key_group.h"
#include "outcome/key_table.h"

#include <algorithm>
#include <cassert>

namespace chicoryspar {
namespace {

/// Bounds of one part of a hand-over, and of the number of parts.
constexpr std::size_t kMaxPartRecords = 512;
constexpr std::size_t kMaxPartBytes = 256 * 1024;
constexpr std::size_t kMaxParts = 65536;

/// Splits the records for one receiver into one or more parts.
std::vector<KeyHandover> splitIntoParts(const KeyHandover &head, const std::vector<KeyRecord> &records)
{
    std::vector<KeyHandover> parts{head};
    std::size_t bytes = 0;
    for (const auto &it : records) {
        bytes += it.answer ? it.answer->size() : 0;
        if (parts.back().records.size() >= kMaxPartRecords || bytes > kMaxPartBytes) {
            parts.push_back(head);
            bytes = it.answer ? it.answer->size() : 0;
        }
        parts.back().records.push_back(it);
    }
    for (std::size_t n = 0; n < parts.size(); ++n) {
        parts[n].part = static_cast<std::uint32_t>(n);
        parts[n].parts = static_cast<std::uint32_t>(parts.size());
    }
    return parts;
}

} // namespace

void KeyOwner::onMessage(TimePoint now, WallTime wall, const KeyMessage &message)
{
    if (const auto *hello = std::get_if<KeyHello>(&message)) {
        m_group->onHello(now, wall, *hello, m_messages);
    } else if (const auto *ack = std::get_if<KeyHelloAck>(&message)) {
        m_group->onHelloAck(now, wall, *ack);
    } else if (const auto *query = std::get_if<KeyQuery>(&message)) {
        m_messages.push_back({query->from.id, answerQuery(now, wall, *query)});
    } else if (const auto *reply = std::get_if<KeyQueryReply>(&message)) {
        onQueryReply(now, wall, *reply);
    } else if (const auto *handover = std::get_if<KeyHandover>(&message)) {
        onHandover(now, wall, *handover);
    } else if (const auto *handoverAck = std::get_if<KeyHandoverAck>(&message)) {
        if (handoverAck->to == m_group->self()) {
            m_handovers.erase(handoverAck->from.id);
        }
    }
}

KeyDecision KeyOwner::startQuery(TimePoint now, const KeyRequest &request, WallTime created, NodeId next)
{
    if (!m_table->insert({request.key, request.fingerprint, created, KeyState::Asking})) {
        return decideUncertain(request, Reason::KeyTableFull);
    }
    const auto nonce = ++m_lastNonce;
    m_queries[request.key] = {nonce, now + m_options.queryTimeout, request};
    m_messages.push_back({next, KeyQuery{m_group->self(), request.key, request.fingerprint, nonce}});
    return {KeyVerdict::Join};
}

/// Returns whether this node would own and execute the key without the member that was left out of @a ranking.
bool KeyOwner::isSafeToRun(TimePoint now, WallTime wall, WallTime created, const KeyRanking &ranking) const
{
    if (m_leaving || !m_group->isFullMember() || !m_group->hasQuorum(now) || ranking.first.isValid()) {
        return false;
    }
    return created > ranking.floor && (!m_options.rules.expiryCheck || checkKeyAge(created, wall, m_options.limits) == Reason::None);
}

KeyQueryReply KeyOwner::answerQuery(TimePoint now, WallTime wall, const KeyQuery &query)
{
    KeyQueryReply reply{m_group->self(), query.from, query.key, query.nonce};
    const auto created = creationTime(query.key).value_or(WallTime{});
    if (const auto *record = m_table->find(query.key)) {
        if (record->state == KeyState::Moved) {
            reply.result = record->movedTo == query.from ? KeyQueryResult::Ceded : KeyQueryResult::Uncertain;
        } else if (record->state != KeyState::Asking) {
            reply.result = KeyQueryResult::Recorded;
            reply.record = *record;
        }
        return reply;
    }
    const auto ranking = m_group->rankingOf(query.key, query.from.id);
    const bool safe = isSafeToRun(now, wall, created, ranking) && created > m_group->joinFloor();
    if (!safe || !m_group->isAlive(query.from)) {
        return reply;
    }
    if (created <= m_table->refusedUntil()) {
        reply.result = KeyQueryResult::Recorded;
        reply.record = {query.key, query.fingerprint, created, KeyState::Refused, Reason::KeyTableFull};
        return reply;
    }
    KeyRecord moved{query.key, query.fingerprint, created, KeyState::Moved};
    moved.movedTo = query.from;
    if (m_table->insert(std::move(moved))) {
        reply.result = KeyQueryResult::Ceded;
    }
    return reply;
}

void KeyOwner::onQueryReply(TimePoint now, WallTime wall, const KeyQueryReply &reply)
{
    const auto it = m_queries.find(reply.key);
    if (it == m_queries.end() || it->second.nonce != reply.nonce || reply.to != m_group->self()) {
        return;
    }
    const auto pending = it->second;
    m_queries.erase(it);
    endQuery(now, wall, pending, &reply);
}

/// Ends a query; @a reply is null when none arrived.
void KeyOwner::endQuery(TimePoint now, WallTime wall, const PendingQuery &pending, const KeyQueryReply *reply)
{
    const auto &key = pending.request.key;
    const auto created = creationTime(key).value_or(WallTime{});
    m_table->erase(key);
    if (reply && reply->result == KeyQueryResult::Recorded) {
        if (reply->record.state == KeyState::Running) {
            emit(key, {KeyVerdict::Forward, Reason::None, reply->from.id});
            return;
        }
        m_table->insert(reply->record);
        emit(key, decideRecorded(reply->record, pending.request));
        return;
    }
    if (reply && reply->result == KeyQueryResult::Ceded && isSafeToRun(now, wall, created, m_group->rankingOf(key))) {
        emit(key, decideOwned(now, wall, pending.request, created));
        return;
    }
    emit(key, {KeyVerdict::Unknown, Reason::KeyOwnerUncertain});
}

void KeyOwner::beginLeave(TimePoint now, WallTime wall)
{
    if (m_leaving) {
        return;
    }
    while (!m_queries.empty()) {
        const auto pending = m_queries.begin()->second;
        m_queries.erase(m_queries.begin());
        endQuery(now, wall, pending, nullptr);
    }
    const bool wasFullMember = m_group->isFullMember();
    m_group->beginLeave();
    m_leaving = true;
    m_nextHandover = now;
    (void)wall;
    if (wasFullMember) {
        prepareHandovers();
    }
}

bool KeyOwner::hasLeft() const
{
    return m_leaving && m_handovers.empty() && m_running == 0;
}

/// Splits the records by their next owners. Done only once, because parts that are sent again must hold the same records.
void KeyOwner::prepareHandovers()
{
    std::map<NodeId, std::vector<KeyRecord>> records;
    for (const auto &[key, it] : m_table->records()) {
        const auto next = m_group->rankingOf(key).firstOther();
        if (!next.isValid()) {
            continue;
        }
        records[next].push_back(it);
        if (it.state == KeyState::Running) {
            m_resultTargets[key] = next;
        }
    }
    const KeyHandover head{.from = m_group->self(), .alive = m_group->alive(), .refusedUntil = m_table->refusedUntil()};
    for (const auto &it : head.alive) {
        m_handovers[it.id] = splitIntoParts(head, records[it.id]);
    }
}

/// Sends every part of the hand-over to the members that haven't acknowledged it.
void KeyOwner::sendHandovers()
{
    for (const auto &[id, parts] : m_handovers) {
        for (const auto &it : parts) {
            m_messages.push_back({id, it});
        }
    }
}

/// Stores a record that another owner handed over. @returns false when the table is full
bool KeyOwner::importRecord(TimePoint now, const KeyRecord &record)
{
    if (record.state == KeyState::Asking || (record.state == KeyState::Moved && record.movedTo == m_group->self())) {
        return true;
    }
    auto *existing = m_table->find(record.key);
    const bool isPlaceholder = existing && (existing->state == KeyState::Asking || existing->state == KeyState::Moved);
    if (existing && !isPlaceholder) {
        if (awaitsResult(*existing) && record.state != KeyState::Running && existing->executor == record.executor) {
            endRun(*existing, record.state, record.reason, record.answer);
        }
        return true;
    }
    if (existing) {
        m_table->erase(record.key);
        if (m_queries.erase(record.key) > 0 && record.state != KeyState::Running) {
            emit(record.key, decideRecorded(record, {record.key, record.fingerprint}));
        }
    }
    if (!m_table->insert(record)) {
        return false;
    }
    if (record.state == KeyState::Running) {
        ++m_running;
        m_runTimeouts.emplace_back(now + m_options.runTimeout, record.key);
    }
    return true;
}

void KeyOwner::onHandover(TimePoint now, WallTime wall, const KeyHandover &handover)
{
    bool allStored = true;
    for (const auto &it : handover.records) {
        allStored = importRecord(now, it) && allStored;
    }
    if (handover.part >= handover.parts || handover.parts > kMaxParts) {
        return;
    }
    m_table->refuseUntil(handover.refusedUntil);
    auto &parts = m_receivedParts[handover.from];
    parts.resize(handover.parts);
    parts[handover.part] = allStored;
    if (std::find(parts.begin(), parts.end(), false) != parts.end()) {
        return;
    }
    m_receivedParts.erase(handover.from);
    auto ownView = m_group->alive(handover.from.id);
    ownView.push_back(m_group->self());
    std::sort(ownView.begin(), ownView.end());
    const bool viewsMatch = ownView == handover.alive || !m_options.rules.handoverNeedsEqualView;
    m_group->markLeft(now, wall, handover.from, viewsMatch);
    m_messages.push_back({handover.from.id, KeyHandoverAck{m_group->self(), handover.from}});
}

} // namespace chicoryspar
