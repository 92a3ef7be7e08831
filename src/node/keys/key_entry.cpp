/// @file
/// Entry node side of a keyed call: finds the record owner of its key and returns the owner's answer to the caller.

#include "node/keys/key_entry.h"

#include "node/clock.h"
#include "node/peers/peer_set.h"

namespace chicoryspar {
namespace {

constexpr Duration kQueryRetryDelay = std::chrono::milliseconds(50);
/// Maximum number of queries for one call: bounds a redirect loop between nodes that name each other as the record owner.
constexpr std::uint32_t kMaxQueries = 200;

std::chrono::steady_clock::time_point toSteady(TimePoint at)
{
    return std::chrono::steady_clock::time_point(at.time_since_epoch());
}

} // namespace

void KeyService::beginCall(KeyedCall call, AnswerHandler handler)
{
    const auto id = ++m_lastCall;
    auto entry = std::make_unique<EntryCall>(m_context.io);
    entry->call = std::move(call);
    entry->handler = std::move(handler);
    entry->deadlineTimer.expires_at(toSteady(entry->call.deadline));
    entry->deadlineTimer.async_wait([this, id](boost::system::error_code ec) {
        if (!ec) {
            onDeadline(id);
        }
    });
    m_calls[id] = std::move(entry);
    queryOwner(id);
}

void KeyService::queryOwner(std::uint64_t id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end()) {
        return;
    }
    std::vector<NodeId> nodes;
    if (m_context.membership) {
        for (const auto member : m_context.membership->members()) {
            if (member->state == MemberState::Alive && member->info.service == it->second->call.request.service) {
                nodes.push_back(member->info.id);
            }
        }
    }
    if (nodes.empty()) {
        it->second->lastReason = Reason::NoUpstream;
        scheduleQuery(id);
        return;
    }
    queryNode(id, chooseOwner(nodes, it->second->call.request.key));
}

void KeyService::queryNode(std::uint64_t id, NodeId node)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end()) {
        return;
    }
    auto &entry = *it->second;
    const auto now = steadyNow();
    if (now >= entry.call.deadline) {
        onDeadline(id);
        return;
    }
    const auto queryNumber = ++entry.queryNumber;
    entry.isQueryPending = true;
    auto request = entry.call.request;
    request.forOwner = true;
    request.firstAttempt = entry.call.firstAttempt && !entry.mayHaveRun;
    request.context.remaining = entry.call.deadline - now;
    auto handler = [this, id, queryNumber](CallAnswer answer) {
        const auto call = m_calls.find(id);
        if (call != m_calls.end() && call->second->queryNumber == queryNumber) {
            onOwnerAnswer(id, std::move(answer));
        }
    };
    if (node == m_context.self) {
        decideAsOwner(std::move(request), std::move(handler));
        return;
    }
    m_context.peers->beginCall(node, std::move(request), std::move(handler));
}

void KeyService::scheduleQuery(std::uint64_t id)
{
    auto &entry = *m_calls.at(id);
    if (entry.queryNumber >= kMaxQueries) {
        return;
    }
    entry.retryTimer.expires_after(kQueryRetryDelay);
    entry.retryTimer.async_wait([this, id](boost::system::error_code ec) {
        if (!ec) {
            queryOwner(id);
        }
    });
}

void KeyService::onOwnerAnswer(std::uint64_t id, CallAnswer answer)
{
    auto &entry = *m_calls.at(id);
    entry.isQueryPending = false;
    entry.lastReason = answer.reason;
    if (!answer.fromOwner) {
        entry.mayHaveRun = entry.mayHaveRun || answer.outcome == Outcome::Unknown;
        scheduleQuery(id);
        return;
    }
    if (answer.redirects) {
        if (answer.forwardTo.isValid() && entry.queryNumber < kMaxQueries) {
            queryNode(id, answer.forwardTo);
        } else {
            scheduleQuery(id);
        }
        return;
    }
    if (answer.outcome == Outcome::NotRun && entry.mayHaveRun) {
        answer.outcome = Outcome::Unknown;
    }
    finish(id, std::move(answer));
}

void KeyService::onDeadline(std::uint64_t id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end()) {
        return;
    }
    const auto &entry = *it->second;
    const bool isOnlyAttempt = entry.call.firstAttempt && !entry.isQueryPending && !entry.mayHaveRun;
    CallAnswer answer;
    answer.reason = entry.isQueryPending ? Reason::DeadlineExpired : entry.lastReason;
    answer.outcome = outcomeOfRefusal(answer.reason, true, isOnlyAttempt);
    answer.node = m_context.settings.name;
    finish(id, std::move(answer));
}

void KeyService::finish(std::uint64_t id, CallAnswer answer)
{
    const auto it = m_calls.find(id);
    const auto entry = std::move(it->second);
    m_calls.erase(it);
    entry->handler(std::move(answer));
}

std::size_t KeyService::callCount() const
{
    return m_calls.size();
}

} // namespace chicoryspar
