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
std::vector<KeyHandover> splitParts(const KeyHandover &head, const std::vector<KeyRecord> &records)
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
    } else if (const auto *ask = std::get_if<KeyQuery>(&message)) {
        m_messages.push_back({ask->from.id, answerAsk(now, wall, *ask)});
    } else if (const auto *reply = std::get_if<KeyQueryReply>(&message)) {
        onAskReply(now, wall, *reply);
    } else if (const auto *handover = std::get_if<KeyHandover>(&message)) {
        onHandover(now, wall, *handover);
    } else if (const auto *confirm = std::get_if<KeyHandoverAck>(&message)) {
        if (confirm->to == m_group->self()) {
            m_handovers.erase(confirm->from.id);
        }
    }
}

KeyDecision KeyOwner::startAsk(TimePoint now, const KeyRequest &request, WallTime created, NodeId next)
{
    if (!m_table->insert({request.key, request.fingerprint, created, KeyState::Asking})) {
        return decideUncertain(request, Reason::KeyTableFull);
    }
    const auto nonce = ++m_lastNonce;
    m_asks[request.key] = {nonce, now + m_options.askTimeout, request};
    m_messages.push_back({next, KeyQuery{m_group->self(), request.key, request.fingerprint, nonce}});
    return {KeyVerdict::Join};
}

/// Returns whether this node would own and execute the key without the member that was left out of @a place.
bool KeyOwner::isCertain(TimePoint now, WallTime wall, WallTime created, const KeyPlace &place) const
{
    if (m_leaving || !m_group->isComplete() || !m_group->hasQuorum(now) || place.first.isValid()) {
        return false;
    }
    return created > place.floor && (!m_options.rules.expiryCheck || checkKeyAge(created, wall, m_options.limits) == Reason::None);
}

KeyQueryReply KeyOwner::answerAsk(TimePoint now, WallTime wall, const KeyQuery &ask)
{
    KeyQueryReply reply{m_group->self(), ask.from, ask.key, ask.nonce};
    const auto created = creationTime(ask.key).value_or(WallTime{});
    if (const auto *record = m_table->find(ask.key)) {
        if (record->state == KeyState::Moved) {
            reply.result = record->movedTo == ask.from ? KeyQueryResult::Clear : KeyQueryResult::Uncertain;
        } else if (record->state != KeyState::Asking) {
            reply.result = KeyQueryResult::Known;
            reply.record = *record;
        }
        return reply;
    }
    const auto place = m_group->placeOf(ask.key, ask.from.id);
    const bool certain = isCertain(now, wall, created, place) && created > m_group->joinFloor();
    if (!certain || !m_group->isAlive(ask.from)) {
        return reply;
    }
    if (created <= m_table->refusedUntil()) {
        reply.result = KeyQueryResult::Known;
        reply.record = {ask.key, ask.fingerprint, created, KeyState::Refused, Reason::KeyTableFull};
        return reply;
    }
    KeyRecord moved{ask.key, ask.fingerprint, created, KeyState::Moved};
    moved.movedTo = ask.from;
    if (m_table->insert(std::move(moved))) {
        reply.result = KeyQueryResult::Clear;
    }
    return reply;
}

void KeyOwner::onAskReply(TimePoint now, WallTime wall, const KeyQueryReply &reply)
{
    const auto it = m_asks.find(reply.key);
    if (it == m_asks.end() || it->second.nonce != reply.nonce || reply.to != m_group->self()) {
        return;
    }
    const auto pending = it->second;
    m_asks.erase(it);
    endAsk(now, wall, pending, &reply);
}

/// Ends a query; @a reply is null when none arrived.
void KeyOwner::endAsk(TimePoint now, WallTime wall, const Pending &pending, const KeyQueryReply *reply)
{
    const auto &key = pending.request.key;
    const auto created = creationTime(key).value_or(WallTime{});
    m_table->erase(key);
    if (reply && reply->result == KeyQueryResult::Known) {
        if (reply->record.state == KeyState::Running) {
            emit(key, {KeyVerdict::Forward, Reason::None, reply->from.id});
            return;
        }
        m_table->insert(reply->record);
        emit(key, decideSeen(reply->record, pending.request));
        return;
    }
    if (reply && reply->result == KeyQueryResult::Clear && isCertain(now, wall, created, m_group->placeOf(key))) {
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
    while (!m_asks.empty()) {
        const auto pending = m_asks.begin()->second;
        m_asks.erase(m_asks.begin());
        endAsk(now, wall, pending, nullptr);
    }
    const bool wasComplete = m_group->isComplete();
    m_group->beginLeave();
    m_leaving = true;
    m_nextHandover = now;
    (void)wall;
    if (wasComplete) {
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
        const auto next = m_group->placeOf(key).firstWithoutSelf();
        if (!next.isValid()) {
            continue;
        }
        records[next].push_back(it);
        if (it.state == KeyState::Running) {
            m_passOn[key] = next;
        }
    }
    const KeyHandover head{.from = m_group->self(), .alive = m_group->alive(), .refusedUntil = m_table->refusedUntil()};
    for (const auto &it : head.alive) {
        m_handovers[it.id] = splitParts(head, records[it.id]);
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
bool KeyOwner::takeRecord(TimePoint now, const KeyRecord &record)
{
    if (record.state == KeyState::Asking || (record.state == KeyState::Moved && record.movedTo == m_group->self())) {
        return true;
    }
    auto *known = m_table->find(record.key);
    const bool isQuestion = known && (known->state == KeyState::Asking || known->state == KeyState::Moved);
    if (known && !isQuestion) {
        if (isOpen(*known) && record.state != KeyState::Running && known->executor == record.executor) {
            endRun(*known, record.state, record.reason, record.answer);
        }
        return true;
    }
    if (known) {
        m_table->erase(record.key);
        if (m_asks.erase(record.key) > 0 && record.state != KeyState::Running) {
            emit(record.key, decideSeen(record, {record.key, record.fingerprint}));
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
    bool complete = true;
    for (const auto &it : handover.records) {
        complete = takeRecord(now, it) && complete;
    }
    if (handover.part >= handover.parts || handover.parts > kMaxParts) {
        return;
    }
    m_table->refuseUntil(handover.refusedUntil);
    auto &parts = m_parts[handover.from];
    parts.resize(handover.parts);
    parts[handover.part] = complete;
    if (std::find(parts.begin(), parts.end(), false) != parts.end()) {
        return;
    }
    m_parts.erase(handover.from);
    auto mine = m_group->alive(handover.from.id);
    mine.push_back(m_group->self());
    std::sort(mine.begin(), mine.end());
    const bool covered = mine == handover.alive || !m_options.rules.handoverNeedsEqualView;
    m_group->markLeft(now, wall, handover.from, covered);
    m_messages.push_back({handover.from.id, KeyHandoverAck{m_group->self(), handover.from}});
}

} // namespace chicoryspar
