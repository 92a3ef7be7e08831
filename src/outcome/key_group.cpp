/// @file
/// Membership of the group of nodes that share the keys of a service.

#include "outcome/key_group.h"

#include <algorithm>

namespace chicoryspar {

KeyGroup::KeyGroup(TimePoint now, const KeyOwnerOptions &options)
    : m_options(options)
    , m_self{options.self, options.incarnation}
    , m_startedAt(now)
    , m_lastTimer(now)
    , m_nextHello(now)
{
}

void KeyGroup::setContacts(std::vector<NodeId> contacts)
{
    m_contacts = std::move(contacts);
    std::erase(m_contacts, m_self.id);
}

/// Returns the entry of @a who, added if needed, or null for this node itself or when a newer incarnation is recorded.
KeyGroup::Member *KeyGroup::takeMember(TimePoint now, WallTime wall, const KeyMember &who)
{
    if (who.id == m_self.id) {
        return nullptr;
    }
    const auto [it, added] = m_members.try_emplace(who.id);
    auto &member = it->second;
    if (added) {
        member.who = who;
        member.lastHello = now;
        member.stateSince = now;
        return &member;
    }
    if (who.incarnation < member.who.incarnation) {
        return nullptr;
    }
    if (who.incarnation > member.who.incarnation) {
        m_against.erase(member.who);
        const auto floor = member.state == GroupState::Left ? member.endFloor : floorAt(wall);
        member = Member{.who = who, .lastHello = now, .stateSince = now, .endFloor = std::max(member.endFloor, floor)};
    }
    return &member;
}

void KeyGroup::noteVotes(Member &member, const std::vector<KeyMember> &votes)
{
    for (const auto &it : votes) {
        if (std::find(member.votes.begin(), member.votes.end(), it) == member.votes.end()) {
            member.votes.push_back(it);
        }
        if (it == m_self) {
            m_votedAgainst = true;
        }
        const auto known = m_members.find(it.id);
        if (!m_complete && known != m_members.end() && known->second.who == it) {
            m_against.insert(it);
        }
    }
}

void KeyGroup::onHello(TimePoint now, WallTime wall, const KeyHello &hello, std::vector<KeyEnvelope> &out)
{
    // A leaving member keeps its view unchanged, so that its hand-over is always split the same way.
    if (m_leaving) {
        return;
    }
    auto *member = takeMember(now, wall, hello.from);
    if (!member || member->state == GroupState::Left) {
        return;
    }
    member->lastHello = now;
    noteVotes(*member, hello.exclusionVotes);
    if (hello.isFullMember && member->state == GroupState::Joining) {
        member->state = GroupState::Complete;
    }
    if (!m_options.rules.votesArePermanent) {
        m_against.erase(hello.from);
        if (member->state == GroupState::Ended) {
            member->state = GroupState::Complete;
        }
    }
    KeyHelloAck ack{.from = m_self, .to = hello.from, .sentAt = hello.sentAt, .isFullMember = m_complete};
    ack.supports = m_complete && !m_against.contains(hello.from);
    ack.exclusionVotes = against();
    if (hello.memberDigest != digest()) {
        for (const auto &[id, it] : m_members) {
            if (it.state == GroupState::Left) {
                ack.left.push_back(it.who);
            } else {
                ack.members.push_back(it.who);
            }
        }
    }
    out.push_back({hello.from.id, std::move(ack)});
}

void KeyGroup::onHelloAck(TimePoint now, WallTime wall, const KeyHelloAck &ack)
{
    if (m_leaving || ack.to != m_self) {
        return;
    }
    auto *member = takeMember(now, wall, ack.from);
    if (!member || member->state == GroupState::Left) {
        return;
    }
    member->acknowledgedJoin = true;
    for (const auto &it : ack.members) {
        takeMember(now, wall, it);
    }
    noteVotes(*member, ack.exclusionVotes);
    if (ack.isFullMember && member->state == GroupState::Joining) {
        member->state = GroupState::Complete;
    }
    if (ack.supports) {
        const TimePoint sentAt{Duration(ack.sentAt)};
        const auto from = m_options.rules.supportFromSendTime ? sentAt : now;
        member->supportsUntil = std::max(member->supportsUntil, from + m_options.supportTime);
    }
    for (const auto &it : ack.left) {
        if (auto *left = takeMember(now, wall, it); left && left->state == GroupState::Joining && !m_complete) {
            left->state = GroupState::Left;
            left->stateSince = now;
        }
    }
    joinWhenAcknowledged(now, wall);
}

void KeyGroup::onTimer(TimePoint now, WallTime wall, std::vector<KeyEnvelope> &out)
{
    if (now - m_lastTimer > 2 * m_options.helloInterval) {
        for (auto &[id, it] : m_members) {
            it.lastHello = now;
        }
    }
    m_lastTimer = now;
    if (m_leaving) {
        m_nextHello = now + m_options.helloInterval;
        return;
    }
    voteAgainstSilent(now);
    endVotedOut(now, wall);
    dropForgotten(now);
    rejoinWhenVotedOut(now);
    joinWhenAcknowledged(now, wall);
    if (now < m_nextHello) {
        return;
    }
    m_nextHello = now + (m_complete ? m_options.helloInterval : m_options.helloInterval / 10);
    std::set<NodeId> receivers(m_contacts.begin(), m_contacts.end());
    for (const auto &[id, it] : m_members) {
        receivers.insert(id);
    }
    const KeyHello hello{m_self, now.time_since_epoch().count(), m_complete, against(), digest()};
    for (const auto id : receivers) {
        out.push_back({id, hello});
    }
}

void KeyGroup::voteAgainstSilent(TimePoint now)
{
    for (const auto &[id, it] : m_members) {
        const bool alive = it.state == GroupState::Joining || it.state == GroupState::Complete;
        if (alive && now - it.lastHello > m_options.lossTime) {
            m_against.insert(it.who);
        }
    }
}

std::size_t KeyGroup::votesAgainst(const KeyMember &who) const
{
    std::size_t n = m_complete && m_against.contains(who) ? 1 : 0;
    for (const auto &[id, it] : m_members) {
        const bool voted = std::find(it.votes.begin(), it.votes.end(), who) != it.votes.end();
        if (it.state == GroupState::Complete && voted) {
            ++n;
        }
    }
    return n;
}

void KeyGroup::endVotedOut(TimePoint now, WallTime wall)
{
    for (auto &[id, it] : m_members) {
        if (it.state != GroupState::Joining && it.state != GroupState::Complete) {
            continue;
        }
        const bool ended = m_options.rules.endNeedsMajority ? votesAgainst(it.who) >= quorum(now) : m_against.contains(it.who);
        if (ended) {
            it.state = GroupState::Ended;
            it.stateSince = now;
            it.endFloor = std::max(it.endFloor, floorAt(wall));
            m_against.insert(it.who);
        }
    }
}

void KeyGroup::dropForgotten(TimePoint now)
{
    std::erase_if(m_members, [&](const auto &entry) {
        const auto &it = entry.second;
        const bool gone = it.state == GroupState::Ended || it.state == GroupState::Left;
        const bool forgotten = gone && now - it.stateSince > m_options.forgetTime;
        if (forgotten) {
            m_against.erase(it.who);
        }
        return forgotten;
    });
}

/// A member that was voted against and has no quorum joins again as a new incarnation. It keeps its records.
void KeyGroup::rejoinWhenVotedOut(TimePoint now)
{
    if (!m_votedAgainst || hasQuorum(now)) {
        return;
    }
    ++m_self.incarnation;
    m_votedAgainst = false;
    m_complete = false;
    for (auto &[id, it] : m_members) {
        it.acknowledgedJoin = false;
        it.supportsUntil = {};
    }
    m_nextHello = now;
}

void KeyGroup::joinWhenAcknowledged(TimePoint now, WallTime wall)
{
    if (m_complete || m_leaving) {
        return;
    }
    std::size_t acknowledged = 0;
    std::size_t acknowledgedComplete = 0;
    std::size_t full = 0;
    for (const auto &[id, it] : m_members) {
        const bool alive = it.state == GroupState::Joining || it.state == GroupState::Complete;
        if (alive && !it.acknowledgedJoin && m_options.rules.joinNeedsEveryMember) {
            return;
        }
        full += it.state == GroupState::Complete || it.state == GroupState::Ended ? 1 : 0;
        acknowledged += it.acknowledgedJoin ? 1 : 0;
        acknowledgedComplete += it.acknowledgedJoin && it.state == GroupState::Complete ? 1 : 0;
    }
    if (full > 0) {
        if (acknowledgedComplete * 2 <= full) {
            return;
        }
    } else if (now - m_startedAt < m_options.settleTime || (m_options.rules.needsFounders && acknowledged + 1 < m_options.founders)) {
        return;
    }
    m_complete = true;
    m_joinFloor = floorAt(wall);
    m_nextHello = now;
}

void KeyGroup::beginLeave()
{
    m_leaving = true;
    m_complete = false;
}

void KeyGroup::markLeft(TimePoint now, WallTime wall, const KeyMember &who, bool covered)
{
    auto *member = takeMember(now, wall, who);
    if (!member || member->state == GroupState::Left) {
        return;
    }
    if (!covered) {
        member->endFloor = std::max(member->endFloor, floorAt(wall));
    }
    member->state = GroupState::Left;
    member->stateSince = now;
}

KeyPlace KeyGroup::placeOf(const RequestId &key, NodeId except) const
{
    const auto hash = hashRequest(key);
    const auto rank = [hash](NodeId id) { return std::pair(rendezvousWeight(id, hash), ~id.value); };
    const auto own = rank(m_self.id);
    KeyPlace place;
    auto firstRank = own;
    std::pair<std::uint64_t, std::uint64_t> nextRank;
    for (const auto &[id, it] : m_members) {
        const auto other = rank(id);
        if (other < own) {
            if (it.state == GroupState::Complete && other > nextRank) {
                nextRank = other;
                place.next = id;
            }
            continue;
        }
        place.floor = std::max(place.floor, it.endFloor);
        const bool alive = it.state == GroupState::Joining || it.state == GroupState::Complete;
        if (alive && id != except && other > firstRank) {
            firstRank = other;
            place.first = id;
        }
    }
    for (const auto &[id, it] : m_members) {
        if (it.endFloor != WallTime{} && rank(id) < own && rank(id) >= nextRank) {
            place.nextFloor = std::max(place.nextFloor, it.endFloor);
        }
    }
    if (!m_options.rules.endFloor) {
        place.floor = {};
        place.nextFloor = {};
    }
    return place;
}

bool KeyGroup::counts(const Member &member, TimePoint now) const
{
    if (member.state == GroupState::Left) {
        return now - member.stateSince <= m_options.lossTime;
    }
    return true;
}

std::size_t KeyGroup::quorum(TimePoint now) const
{
    std::size_t n = 1;
    for (const auto &[id, it] : m_members) {
        n += counts(it, now) ? 1 : 0;
    }
    const auto majority = n / 2 + 1;
    return m_options.rules.needsFounders ? std::max(majority, m_options.founders) : majority;
}

bool KeyGroup::hasQuorum(TimePoint now) const
{
    std::size_t n = 1;
    for (const auto &[id, it] : m_members) {
        n += it.state == GroupState::Complete && it.supportsUntil > now ? 1 : 0;
    }
    return n >= quorum(now) || !m_options.rules.needsQuorum;
}

std::uint64_t KeyGroup::digest() const
{
    std::uint64_t sum = rendezvousWeight(m_self.id, m_self.incarnation);
    for (const auto &[id, it] : m_members) {
        const auto salt = it.state == GroupState::Left ? ~it.who.incarnation : it.who.incarnation;
        sum += rendezvousWeight(id, salt);
    }
    return sum;
}

WallTime KeyGroup::floorAt(WallTime wall) const
{
    return m_options.rules.floorMargin ? wall + m_options.limits.futureTolerance + m_options.limits.maxSkew : wall;
}

std::vector<KeyMember> KeyGroup::against() const
{
    return {m_against.begin(), m_against.end()};
}

std::vector<KeyMember> KeyGroup::alive(NodeId except) const
{
    std::vector<KeyMember> list;
    for (const auto &[id, it] : m_members) {
        if (id != except && (it.state == GroupState::Joining || it.state == GroupState::Complete)) {
            list.push_back(it.who);
        }
    }
    return list;
}

bool KeyGroup::isAlive(const KeyMember &who) const
{
    const auto it = m_members.find(who.id);
    return it != m_members.end() && it->second.who == who
        && (it->second.state == GroupState::Joining || it->second.state == GroupState::Complete);
}

} // namespace chicoryspar
