/// @file
/// Decisions of the record owner on requests and on the results of runs.

#include "outcome/key_group.h"
#include "outcome/key_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chicoryspar {
KeyOwner::KeyOwner(TimePoint now, const KeyOwnerOptions &options)
    : m_options(options)
    , m_group(std::make_unique<KeyGroup>(now, options))
    , m_table(std::make_unique<KeyTable>(options))
    , m_nextHandover(now)
{
    assert(options.self.isValid());
    assert(options.supportDuration < options.silenceTimeout);
}

KeyOwner::~KeyOwner() = default;

void KeyOwner::setFounders(std::size_t founders)
{
    m_group->setFounders(founders);
}

KeyDecision KeyOwner::onRequest(TimePoint now, WallTime wall, const KeyRequest &request)
{
    const auto created = creationTime(request.key);
    assert(created);
    if (const auto *record = m_table->find(request.key)) {
        return decideRecorded(*record, request);
    }
    return decideUnrecorded(now, wall, request, *created);
}

KeyDecision KeyOwner::decideRecorded(const KeyRecord &record, const KeyRequest &request) const
{
    if (record.fingerprint != request.fingerprint) {
        return {KeyVerdict::Unknown, Reason::KeyMismatch};
    }
    switch (record.state) {
    case KeyState::Asking:
    case KeyState::Running:
        return {KeyVerdict::Join};
    case KeyState::Done:
        if (!record.answer) {
            return {KeyVerdict::Unknown, Reason::KeyAnswerEvicted};
        }
        return {KeyVerdict::Answer, Reason::None, {}, record.answer};
    case KeyState::Refused:
        return {KeyVerdict::NotRun, record.reason};
    case KeyState::Moved:
        if (m_group->isAlive(record.movedTo)) {
            return {KeyVerdict::Forward, Reason::None, record.movedTo.id};
        }
        return {KeyVerdict::Unknown, Reason::KeyOwnerUncertain};
    case KeyState::Lost:
    case KeyState::Count:
        break;
    }
    return {KeyVerdict::Unknown, record.reason};
}

KeyDecision KeyOwner::decideUnrecorded(TimePoint now, WallTime wall, const KeyRequest &request, WallTime created)
{
    const auto &limits = m_options.limits;
    if (m_options.rules.expiryCheck && checkKeyAge(created, wall, limits) == Reason::KeyExpired) {
        const bool expiredEverywhere = wall > created + limits.lifetime + limits.maxSkew;
        const bool notRun = request.firstAttempt && expiredEverywhere;
        return {notRun ? KeyVerdict::NotRun : KeyVerdict::Unknown, Reason::KeyExpired};
    }
    const auto ranking = m_group->rankingOf(request.key);
    if (m_leaving) {
        const auto next = ranking.firstOther();
        return next.isValid() ? KeyDecision{KeyVerdict::Forward, Reason::None, next} : decideUncertain(request, Reason::Stopping);
    }
    if (!m_group->isFullMember()) {
        return {KeyVerdict::Later, Reason::KeyOwnerUncertain};
    }
    if (ranking.first.isValid()) {
        return {KeyVerdict::Forward, Reason::None, ranking.first};
    }
    if (!m_group->hasQuorum(now) || created <= ranking.floor) {
        return decideUncertain(request, Reason::KeyOwnerUncertain);
    }
    if (m_options.rules.joinFloor && created <= m_group->joinFloor()) {
        return ranking.next.isValid() && created > ranking.nextFloor ? startQuery(now, request, created, ranking.next)
                                                                     : decideUncertain(request, Reason::KeyOwnerUncertain);
    }
    return decideOwned(now, wall, request, created);
}

/// Decides on a key that no other node can have executed.
KeyDecision KeyOwner::decideOwned(TimePoint now, WallTime wall, const KeyRequest &request, WallTime created)
{
    if (m_options.rules.futureCheck && checkKeyAge(created, wall, m_options.limits) == Reason::KeyFromFuture) {
        // Not a final refusal: the key was created after the floors of later owners, so they could still execute it.
        return decideUncertain(request, Reason::KeyFromFuture);
    }
    if (created <= m_table->refusedUntil()) {
        return {KeyVerdict::NotRun, Reason::KeyTableFull};
    }
    if (m_table->isFull()) {
        return refuse(request, created, Reason::KeyTableFull);
    }
    return startRun(now, request, created);
}

/// Decides on a key that another node may have executed or may yet execute. A first attempt isn't dispatched, so it is reported as not run.
/// That isn't recorded for the key: KeyRequest::firstAttempt is out of date if another attempt was sent while the request was in transit,
/// but then the caller doesn't use this answer.
KeyDecision KeyOwner::decideUncertain(const KeyRequest &request, Reason reason)
{
    return {request.firstAttempt ? KeyVerdict::NotRun : KeyVerdict::Unknown, reason};
}

/// Refuses a key permanently.
KeyDecision KeyOwner::refuse(const KeyRequest &request, WallTime created, Reason reason)
{
    if (m_options.rules.refusalsAreFinal) {
        KeyRecord record{request.key, request.fingerprint, created, KeyState::Refused, reason};
        if (!m_table->insert(std::move(record))) {
            m_table->refuseUntil(created);
        }
    }
    return {KeyVerdict::NotRun, reason};
}

KeyDecision KeyOwner::startRun(TimePoint now, const KeyRequest &request, WallTime created)
{
    m_table->insert({request.key, request.fingerprint, created, KeyState::Running});
    m_runTimeouts.emplace_back(now + m_options.runTimeout, request.key);
    ++m_running;
    return {KeyVerdict::Run};
}

KeyDispatch KeyOwner::beginDispatch(WallTime wall, const RequestId &key, NodeId executor, WallTime notAfter)
{
    auto *record = m_table->find(key);
    if (!record) {
        // The record expired between decision and dispatch. Executors refuse a dispatch with empty times.
        return {key, m_group->self(), 1, {}, {}};
    }
    record->executor = executor;
    ++record->dispatches;
    const auto expiry = record->created + m_options.limits.lifetime;
    return {key, m_group->self(), record->dispatches, wall, std::min(notAfter, expiry)};
}

void KeyOwner::onAnswer(const RequestId &key, KeyAnswer answer)
{
    auto *record = m_table->find(key);
    if (!record || !awaitsResult(*record)) {
        return;
    }
    const auto kept = std::make_shared<const KeyAnswer>(std::move(answer));
    endRun(*record, KeyState::Done, Reason::None, kept);
}

void KeyOwner::onNotRun(const RequestId &key, Reason reason)
{
    auto *record = m_table->find(key);
    if (record && awaitsResult(*record)) {
        endRun(*record, KeyState::Refused, reason, nullptr);
        if (!m_options.rules.refusalsAreFinal) {
            m_table->erase(key);
        }
    }
}

void KeyOwner::onLost(const RequestId &key, Reason reason)
{
    auto *record = m_table->find(key);
    if (record && record->state == KeyState::Running) {
        endRun(*record, KeyState::Lost, reason, nullptr);
        if (!m_options.rules.retryNeedsProof) {
            m_table->erase(key);
        }
    }
}

/// Records the result of a run, and sends it to the waiting requests, and to the next owner if the records were already handed over.
void KeyOwner::endRun(KeyRecord &record, KeyState state, Reason reason, const std::shared_ptr<const KeyAnswer> &answer)
{
    const bool wasRunning = record.state == KeyState::Running;
    if (wasRunning) {
        --m_running;
    }
    record.state = state;
    record.reason = reason;
    KeyRecord result = record;
    result.answer = answer;
    if (answer) {
        m_table->setDone(record, answer);
    }
    if (wasRunning) {
        emit(record.key, decideRecorded(result, {record.key, record.fingerprint}));
    }
    if (const auto it = m_resultTargets.find(record.key); it != m_resultTargets.end()) {
        KeyHandover lateResult{.from = m_group->self()};
        lateResult.records.push_back(std::move(result));
        m_messages.push_back({it->second, std::move(lateResult)});
    }
}

void KeyOwner::onTimer(TimePoint now, WallTime wall)
{
    m_group->onTimer(now, wall, m_messages);
    m_table->expire(wall);
    while (!m_runTimeouts.empty() && m_runTimeouts.front().first <= now) {
        const auto key = m_runTimeouts.front().second;
        m_runTimeouts.pop_front();
        onLost(key, Reason::BackendSilent);
    }
    std::vector<PendingQuery> timedOut;
    for (auto it = m_queries.begin(); it != m_queries.end();) {
        if (it->second.deadline <= now) {
            timedOut.push_back(it->second);
            it = m_queries.erase(it);
        } else {
            ++it;
        }
    }
    for (const auto &it : timedOut) {
        endQuery(now, wall, it, nullptr);
    }
    if (m_leaving && now >= m_nextHandover) {
        m_nextHandover = now + m_options.helloInterval / 4;
        sendHandovers();
    }
}

TimePoint KeyOwner::nextEvent() const
{
    auto next = m_group->nextEvent();
    if (m_leaving) {
        next = std::min(next, m_nextHandover);
    }
    if (!m_runTimeouts.empty()) {
        next = std::min(next, m_runTimeouts.front().first);
    }
    for (const auto &[key, it] : m_queries) {
        next = std::min(next, it.deadline);
    }
    return next;
}

void KeyOwner::setContacts(std::vector<NodeId> contacts)
{
    m_group->setContacts(std::move(contacts));
}

void KeyOwner::emit(const RequestId &key, KeyDecision decision)
{
    m_events.push_back({key, std::move(decision)});
}

std::vector<KeyEnvelope> KeyOwner::takeMessages()
{
    return std::exchange(m_messages, {});
}

std::vector<KeyEvent> KeyOwner::takeEvents()
{
    return std::exchange(m_events, {});
}

KeyOwnerStatus KeyOwner::status(TimePoint now) const
{
    KeyOwnerStatus status;
    status.isFullMember = m_group->isFullMember();
    status.hasQuorum = m_group->hasQuorum(now);
    status.leaving = m_leaving;
    status.members = m_group->size();
    status.alive = m_group->alive().size() + 1;
    status.entries = m_table->size();
    status.answerBytes = m_table->answerBytes();
    status.evicted = m_table->evicted();
    status.joinFloor = m_group->joinFloor();
    return status;
}

} // namespace chicoryspar
