#pragma once

/// @file
/// Membership of the group of nodes that share the keys of a service: the rank order for a key, the members that were voted out, and
/// whether a majority supports this node.

#include <chicoryspar/outcome.h>

#include <set>

namespace chicoryspar {

/// State of another member, as recorded by this node.
enum class KeyMemberState : std::uint8_t {
    /// Discovered, but not yet reported to be a full member.
    Joining,
    Full,
    /// Excluded by a majority of votes: this incarnation never owns keys again.
    VotedOut,
    /// Left as planned.
    Left,
    Count,
};

/// The members next to this node in the rank order of one key.
struct KeyRanking
{
    /// Highest-ranked member that is alive, if it ranks before this node; else invalid.
    NodeId first;
    /// Highest-ranked full member that ranks after this node.
    NodeId next;
    /// Keys created at or before this time may have been executed by a former member or incarnation that ranked before this node.
    WallTime floor;
    /// Keys created at or before this time may have been executed by a former member or incarnation that ranked between this node and
    /// @a next.
    WallTime nextFloor;

    /// Returns the highest-ranked member that is alive, other than this node.
    NodeId firstOther() const
    {
        return first.isValid() ? first : next;
    }
};

/// Group membership by mutual support: members request support from each other periodically, and a silent one is voted out by a
/// majority.
class KeyGroup
{
public:
    KeyGroup(TimePoint now, const KeyOwnerOptions &options);

    void setContacts(std::vector<NodeId> contacts);
    void setFounders(std::size_t founders)
    {
        m_options.founders = founders;
    }
    void onHello(TimePoint now, WallTime wall, const KeyHello &hello, std::vector<KeyEnvelope> &out);
    void onHelloAck(TimePoint now, WallTime wall, const KeyHelloAck &ack);
    void onTimer(TimePoint now, WallTime wall, std::vector<KeyEnvelope> &out);
    TimePoint nextEvent() const
    {
        return m_nextHello;
    }

    /// Stops granting support, requesting support and owning keys.
    void beginLeave();
    /// Records the planned leave of @a identity. Unless @a viewsMatch, keys that it may have executed aren't executed by this node.
    void markLeft(TimePoint now, WallTime wall, const KeyMember &identity, bool viewsMatch);

    /// Returns the rank order for @a key. @a excluded is never KeyRanking::first.
    KeyRanking rankingOf(const RequestId &key, NodeId excluded = {}) const;
    bool isFullMember() const
    {
        return m_isFullMember;
    }
    /// Returns whether this node and its supporters reach the quorum at @a now.
    bool hasQuorum(TimePoint now) const;
    KeyMember self() const
    {
        return m_self;
    }
    /// Keys created at or before this time may have been executed before this node joined.
    WallTime joinFloor() const
    {
        return m_joinFloor;
    }
    /// Members that weren't voted out and haven't left, without this node and @a excluded, sorted.
    std::vector<KeyMember> alive(NodeId excluded = {}) const;
    bool isAlive(const KeyMember &identity) const;
    std::size_t size() const
    {
        return m_members.size() + 1;
    }

private:
    struct Member
    {
        KeyMember identity;
        KeyMemberState state = KeyMemberState::Joining;
        TimePoint lastHello;
        /// End of its support for this node.
        TimePoint supportsUntil;
        TimePoint stateSince;
        bool acknowledgedJoin = false;
        /// Incarnations that it voted to exclude.
        std::vector<KeyMember> exclusionVotes;
        /// Keys created at or before this time may have been executed by this member before it was voted out, left or restarted.
        WallTime endFloor;
    };

    Member *findOrAddMember(TimePoint now, WallTime wall, const KeyMember &identity);
    void recordVotes(Member &member, const std::vector<KeyMember> &votes);
    void voteAgainstSilentMembers(TimePoint now);
    void markVotedOutMembers(TimePoint now, WallTime wall);
    void removeExpiredMembers(TimePoint now);
    void joinWhenAcknowledged(TimePoint now, WallTime wall);
    void rejoinWhenVotedOut(TimePoint now);
    bool countsForQuorum(const Member &member, TimePoint now) const;
    std::size_t quorumSize(TimePoint now) const;
    std::size_t countExclusionVotes(const KeyMember &identity) const;
    std::uint64_t digest() const;
    WallTime floorAt(WallTime wall) const;
    std::vector<KeyMember> exclusionVotes() const;

    KeyOwnerOptions m_options;
    KeyMember m_self;
    std::vector<NodeId> m_contacts;
    std::map<NodeId, Member> m_members;
    /// Incarnations that this node voted to exclude.
    std::set<KeyMember> m_exclusionVotes;
    TimePoint m_startedAt;
    TimePoint m_lastTimer;
    TimePoint m_nextHello;
    WallTime m_joinFloor;
    bool m_isFullMember = false;
    bool m_leaving = false;
    bool m_hasVoteAgainstSelf = false;
};

} // namespace chicoryspar
