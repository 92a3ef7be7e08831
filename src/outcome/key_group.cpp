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

/// Returns the entry for @a identity, added if needed, or null for this node itself or when a newer incarnation is recorded.
KeyGroup::Member *KeyGroup::findOrAddMember(TimePoint now, WallTime wall, const KeyMember &identity)
{
    if (identity.id == m_self.id) {
        return nullptr;
    }
    const auto [it, added] = m_members.try_emplace(identity.id);
    auto &member = it->second;
    if (added) {
        member.identity = identity;
        member.lastHello = now;
        member.stateSince = now;
        return &member;
    }
    if (identity.incarnation < member.identity.incarnation) {
        return nullptr;
    }
    if (identity.incarnation > member.identity.incarnation) {
        m_exclusionVotes.erase(member.identity);
        const auto floor = member.state == KeyMemberState::Left ? member.endFloor : floorAt(wall);
        member = Member{.identity = identity, .lastHello = now, .stateSince = now, .endFloor = std::max(member.endFloor, floor)};
    }
    return &member;
}

void KeyGroup::recordVotes(Member &member, const std::vector<KeyMember> &votes)
{
    for (const auto &it : votes) {
        if (std::find(member.exclusionVotes.begin(), member.exclusionVotes.end(), it) == member.exclusionVotes.end()) {
            member.exclusionVotes.push_back(it);
        }
        if (it == m_self) {
            m_hasVoteAgainstSelf = true;
        }
        const auto known = m_members.find(it.id);
        if (!m_isFullMember && known != m_members.end() && known->second.identity == it) {
            m_exclusionVotes.insert(it);
        }
    }
}

void KeyGroup::onHello(TimePoint now, WallTime wall, const KeyHello &hello, std::vector<KeyEnvelope> &out)
{
    // A leaving member keeps its view unchanged, so that its hand-over is always split the same way.
    if (m_leaving) {
        return;
    }
    auto *member = findOrAddMember(now, wall, hello.from);
    if (!member || member->state == KeyMemberState::Left) {
        return;
    }
    member->lastHello = now;
    recordVotes(*member, hello.exclusionVotes);
    if (hello.isFullMember && member->state == KeyMemberState::Joining) {
        member->state = KeyMemberState::Full;
    }
    if (!m_options.rules.votesArePermanent) {
        m_exclusionVotes.erase(hello.from);
        if (member->state == KeyMemberState::VotedOut) {
            member->state = KeyMemberState::Full;
        }
    }
    KeyHelloAck ack{.from = m_self, .to = hello.from, .sentAt = hello.sentAt, .isFullMember = m_isFullMember};
    ack.supports = m_isFullMember && !m_exclusionVotes.contains(hello.from);
    ack.exclusionVotes = exclusionVotes();
    if (hello.memberDigest != digest()) {
        for (const auto &[id, it] : m_members) {
            if (it.state == KeyMemberState::Left) {
                ack.left.push_back(it.identity);
            } else {
                ack.members.push_back(it.identity);
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
    auto *member = findOrAddMember(now, wall, ack.from);
    if (!member || member->state == KeyMemberState::Left) {
        return;
    }
    member->acknowledgedJoin = true;
    for (const auto &it : ack.members) {
        findOrAddMember(now, wall, it);
    }
    recordVotes(*member, ack.exclusionVotes);
    if (ack.isFullMember && member->state == KeyMemberState::Joining) {
        member->state = KeyMemberState::Full;
    }
    if (ack.supports) {
        const TimePoint sentAt{Duration(ack.sentAt)};
        const auto from = m_options.rules.supportFromSendTime ? sentAt : now;
        member->supportsUntil = std::max(member->supportsUntil, from + m_options.supportDuration);
    }
    for (const auto &it : ack.left) {
        if (auto *left = findOrAddMember(now, wall, it); left && left->state == KeyMemberState::Joining && !m_isFullMember) {
            left->state = KeyMemberState::Left;
            left->stateSince = now;
        }
    }
    joinWhenAcknowledged(now, wall);
}

void KeyGroup::onTimer(TimePoint now, WallTime wall, std::vector<KeyEnvelope> &out)
{
    // This node was paused and read no messages: the silence of the members proves nothing.
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
    voteAgainstSilentMembers(now);
    markVotedOutMembers(now, wall);
    removeExpiredMembers(now);
    rejoinWhenVotedOut(now);
    joinWhenAcknowledged(now, wall);
    if (now < m_nextHello) {
        return;
    }
    m_nextHello = now + (m_isFullMember ? m_options.helloInterval : m_options.helloInterval / 10);
    std::set<NodeId> receivers(m_contacts.begin(), m_contacts.end());
    for (const auto &[id, it] : m_members) {
        receivers.insert(id);
    }
    const KeyHello hello{m_self, now.time_since_epoch().count(), m_isFullMember, exclusionVotes(), digest()};
    for (const auto id : receivers) {
        out.push_back({id, hello});
    }
}

void KeyGroup::voteAgainstSilentMembers(TimePoint now)
{
    for (const auto &[id, it] : m_members) {
        const bool alive = it.state == KeyMemberState::Joining || it.state == KeyMemberState::Full;
        if (alive && now - it.lastHello > m_options.silenceTimeout) {
            m_exclusionVotes.insert(it.identity);
        }
    }
}

std::size_t KeyGroup::countExclusionVotes(const KeyMember &identity) const
{
    std::size_t n = m_isFullMember && m_exclusionVotes.contains(identity) ? 1 : 0;
    for (const auto &[id, it] : m_members) {
        const bool voted = std::find(it.exclusionVotes.begin(), it.exclusionVotes.end(), identity) != it.exclusionVotes.end();
        if (it.state == KeyMemberState::Full && voted) {
            ++n;
        }
    }
    return n;
}

void KeyGroup::markVotedOutMembers(TimePoint now, WallTime wall)
{
    for (auto &[id, it] : m_members) {
        if (it.state != KeyMemberState::Joining && it.state != KeyMemberState::Full) {
            continue;
        }
        const bool isVotedOut = m_options.rules.voteOutNeedsMajority ? countExclusionVotes(it.identity) >= quorumSize(now)
                                                                     : m_exclusionVotes.contains(it.identity);
        if (isVotedOut) {
            it.state = KeyMemberState::VotedOut;
            it.stateSince = now;
            it.endFloor = std::max(it.endFloor, floorAt(wall));
            m_exclusionVotes.insert(it.identity);
        }
    }
}

void KeyGroup::removeExpiredMembers(TimePoint now)
{
    std::erase_if(m_members, [&](const auto &entry) {
        const auto &it = entry.second;
        const bool inactive = it.state == KeyMemberState::VotedOut || it.state == KeyMemberState::Left;
        const bool expired = inactive && now - it.stateSince > m_options.formerMemberRetention;
        if (expired) {
            m_exclusionVotes.erase(it.identity);
        }
        return expired;
    });
}

/// Starts to join again as a new incarnation if a member voted against this node and it has no quorum. Its records are kept.
void KeyGroup::rejoinWhenVotedOut(TimePoint now)
{
    if (!m_hasVoteAgainstSelf || hasQuorum(now)) {
        return;
    }
    ++m_self.incarnation;
    m_hasVoteAgainstSelf = false;
    m_isFullMember = false;
    for (auto &[id, it] : m_members) {
        it.acknowledgedJoin = false;
        it.supportsUntil = {};
    }
    m_nextHello = now;
}

void KeyGroup::joinWhenAcknowledged(TimePoint now, WallTime wall)
{
    if (m_isFullMember || m_leaving) {
        return;
    }
    std::size_t acknowledged = 0;
    std::size_t acknowledgedFull = 0;
    std::size_t fullOrVotedOut = 0;
    for (const auto &[id, it] : m_members) {
        const bool alive = it.state == KeyMemberState::Joining || it.state == KeyMemberState::Full;
        if (alive && !it.acknowledgedJoin && m_options.rules.joinNeedsEveryMember) {
            return;
        }
        fullOrVotedOut += it.state == KeyMemberState::Full || it.state == KeyMemberState::VotedOut ? 1 : 0;
        acknowledged += it.acknowledgedJoin ? 1 : 0;
        acknowledgedFull += it.acknowledgedJoin && it.state == KeyMemberState::Full ? 1 : 0;
    }
    if (fullOrVotedOut > 0) {
        if (acknowledgedFull * 2 <= fullOrVotedOut) {
            return;
        }
    } else if (now - m_startedAt < m_options.foundingDelay || (m_options.rules.needsFounders && acknowledged + 1 < m_options.founders)) {
        return;
    }
    m_isFullMember = true;
    m_joinFloor = floorAt(wall);
    m_nextHello = now;
}

void KeyGroup::beginLeave()
{
    m_leaving = true;
    m_isFullMember = false;
}

void KeyGroup::markLeft(TimePoint now, WallTime wall, const KeyMember &identity, bool viewsMatch)
{
    auto *member = findOrAddMember(now, wall, identity);
    if (!member || member->state == KeyMemberState::Left) {
        return;
    }
    if (!viewsMatch) {
        member->endFloor = std::max(member->endFloor, floorAt(wall));
    }
    member->state = KeyMemberState::Left;
    member->stateSince = now;
}

KeyRanking KeyGroup::rankingOf(const RequestId &key, NodeId excluded) const
{
    const auto hash = hashRequest(key);
    const auto rank = [hash](NodeId id) { return std::pair(rendezvousWeight(id, hash), ~id.value); };
    const auto own = rank(m_self.id);
    KeyRanking ranking;
    auto firstRank = own;
    std::pair<std::uint64_t, std::uint64_t> nextRank;
    for (const auto &[id, it] : m_members) {
        const auto other = rank(id);
        if (other < own) {
            if (it.state == KeyMemberState::Full && other > nextRank) {
                nextRank = other;
                ranking.next = id;
            }
            continue;
        }
        ranking.floor = std::max(ranking.floor, it.endFloor);
        const bool alive = it.state == KeyMemberState::Joining || it.state == KeyMemberState::Full;
        if (alive && id != excluded && other > firstRank) {
            firstRank = other;
            ranking.first = id;
        }
    }
    for (const auto &[id, it] : m_members) {
        if (it.endFloor != WallTime{} && rank(id) < own && rank(id) >= nextRank) {
            ranking.nextFloor = std::max(ranking.nextFloor, it.endFloor);
        }
    }
    if (!m_options.rules.endFloor) {
        ranking.floor = {};
        ranking.nextFloor = {};
    }
    return ranking;
}

bool KeyGroup::countsForQuorum(const Member &member, TimePoint now) const
{
    if (member.state == KeyMemberState::Left) {
        return now - member.stateSince <= m_options.silenceTimeout;
    }
    return true;
}

std::size_t KeyGroup::quorumSize(TimePoint now) const
{
    std::size_t n = 1;
    for (const auto &[id, it] : m_members) {
        n += countsForQuorum(it, now) ? 1 : 0;
    }
    const auto majority = n / 2 + 1;
    return m_options.rules.needsFounders ? std::max(majority, m_options.founders) : majority;
}

bool KeyGroup::hasQuorum(TimePoint now) const
{
    std::size_t n = 1;
    for (const auto &[id, it] : m_members) {
        n += it.state == KeyMemberState::Full && it.supportsUntil > now ? 1 : 0;
    }
    return n >= quorumSize(now) || !m_options.rules.needsQuorum;
}

std::uint64_t KeyGroup::digest() const
{
    std::uint64_t sum = rendezvousWeight(m_self.id, m_self.incarnation);
    for (const auto &[id, it] : m_members) {
        const auto salt = it.state == KeyMemberState::Left ? ~it.identity.incarnation : it.identity.incarnation;
        sum += rendezvousWeight(id, salt);
    }
    return sum;
}

WallTime KeyGroup::floorAt(WallTime wall) const
{
    return m_options.rules.floorMargin ? wall + m_options.limits.futureTolerance + m_options.limits.maxSkew : wall;
}

std::vector<KeyMember> KeyGroup::exclusionVotes() const
{
    return {m_exclusionVotes.begin(), m_exclusionVotes.end()};
}

std::vector<KeyMember> KeyGroup::alive(NodeId excluded) const
{
    std::vector<KeyMember> list;
    for (const auto &[id, it] : m_members) {
        if (id != excluded && (it.state == KeyMemberState::Joining || it.state == KeyMemberState::Full)) {
            list.push_back(it.identity);
        }
    }
    return list;
}

bool KeyGroup::isAlive(const KeyMember &identity) const
{
    const auto it = m_members.find(identity.id);
    return it != m_members.end() && it->second.identity == identity
        && (it->second.state == KeyMemberState::Joining || it->second.state == KeyMemberState::Full);
}

} // namespace chicoryspar
