/// @file
/// Ownership of customers among the members.

#include <chicoryspar/customer.h>

#include <algorithm>

namespace chicoryspar {
namespace {

/// Time after the start within which a node joins the others. Nodes that start together would each grant the full limit before that.
constexpr Duration kSettleTime = std::chrono::seconds(2);
/// A node that knows others and has seen no further one for this time has joined. Longer than the period in which views are completed.
constexpr Duration kStableTime = std::chrono::milliseconds(400);
/// The same for a node that sees as many members as the deployment had lately.
constexpr Duration kCompleteStableTime = std::chrono::milliseconds(150);
/// Fewer nodes than this say nothing: the first ones of a new deployment find few contacts.
constexpr std::size_t kMinExpected = 3;
/// A member that died this recently may be running behind a partition. Longer partitions are repaired or their hosts replaced.
constexpr Duration kMissingTime = std::chrono::minutes(10);
/// A member that has been suspect for this time is replaced as an owner. It is declared dead seconds later.
constexpr Duration kSuspectTime = std::chrono::seconds(1);
/// Absence of a smaller fraction of the members doesn't lower the limits: the bound allows more than this.
constexpr double kIgnoredAbsence = 0.05;

bool isMissing(TimePoint now, const CustomerMember &member)
{
    return !member.hasLeft && now - member.since < kMissingTime;
}

} // namespace

CustomerKey customerKeyOf(std::string_view name)
{
    return hashBytes(name);
}

CustomerMembers::CustomerMembers(NodeId self, TimePoint startedAt)
    : m_self(self)
    , m_startedAt(startedAt)
    , m_grownAt(startedAt)
    , m_present{self}
{
}

void CustomerMembers::setMembers(TimePoint now, std::vector<CustomerMember> members)
{
    const auto count = m_present.size();
    m_members = std::move(members);
    m_nextChange = now;
    update(now);
    if (m_present.size() > count) {
        m_grownAt = now;
    }
}

bool CustomerMembers::update(TimePoint now)
{
    if (now < m_nextChange) {
        return false;
    }
    m_present.assign(1, m_self);
    m_absent.clear();
    m_suspects = 0;
    m_nextChange = TimePoint::max();
    const auto suspects = std::count_if(m_members.begin(), m_members.end(), [](const auto &it) { return it.isPresent && it.isSuspect; });
    const bool isPartition = static_cast<double>(suspects) > std::max(1.0, kIgnoredAbsence * static_cast<double>(m_members.size()));
    for (auto it : m_members) {
        if (it.node == m_self) {
            continue;
        }
        const bool isReplaced = it.isSuspect && !isPartition && now - it.since >= kSuspectTime;
        if (it.isPresent && !isReplaced) {
            m_present.push_back(it.node);
            m_suspects += it.isSuspect ? 1 : 0;
            if (it.isSuspect && !isPartition) {
                m_nextChange = std::min(m_nextChange, it.since + kSuspectTime);
            }
            continue;
        }
        it.since += it.isPresent ? kSuspectTime : Duration{0};
        m_absent.push_back(it);
    }
    ++m_generation;
    return true;
}

void CustomerMembers::restart(TimePoint now)
{
    m_startedAt = now;
    m_grownAt = now;
    m_wasPaused = true;
}

NodeId CustomerMembers::ownerOf(CustomerKey customer) const
{
    NodeId owner = m_self;
    auto highest = rendezvousWeight(m_self, customer);
    for (const auto it : m_present) {
        const auto weight = rendezvousWeight(it, customer);
        if (weight > highest || (weight == highest && it < owner)) {
            highest = weight;
            owner = it;
        }
    }
    return owner;
}

TimePoint CustomerMembers::ownedSince(CustomerKey customer) const
{
    auto since = m_startedAt;
    const auto weight = rendezvousWeight(m_self, customer);
    for (const auto &it : m_absent) {
        if (rendezvousWeight(it.node, customer) >= weight) {
            since = std::max(since, it.since);
        }
    }
    return since;
}

bool CustomerMembers::isOwnedFromStart(CustomerKey customer) const
{
    return !m_wasPaused && ownedSince(customer) == m_startedAt;
}

bool CustomerMembers::isSettled(TimePoint now) const
{
    const bool isAlone = m_present.size() <= 1;
    if (isAlone && !m_contacts.isKnown) {
        return false;
    }
    const bool isComplete = m_contacts.listed + 1 >= kMinExpected && m_present.size() > m_contacts.listed;
    const auto stableTime = isComplete ? kCompleteStableTime : kStableTime;
    return now - m_startedAt >= kSettleTime || (!isAlone && now - m_grownAt >= stableTime);
}

std::size_t CustomerMembers::shareCount(TimePoint now) const
{
    if (isSettled(now)) {
        return count(now);
    }
    const auto expected = m_contacts.isKnown ? m_contacts.listed + 1 : 0;
    return expected >= kMinExpected ? std::max(count(now), expected) : 0;
}

std::size_t CustomerMembers::count(TimePoint now) const
{
    const auto missing = std::count_if(m_absent.begin(), m_absent.end(), [now](const auto &it) { return isMissing(now, it); });
    return m_present.size() + static_cast<std::size_t>(missing) + m_contacts.unmet;
}

double CustomerMembers::presentFraction(TimePoint now) const
{
    const auto fraction = static_cast<double>(m_present.size() - m_suspects) / static_cast<double>(count(now));
    return fraction >= 1 - kIgnoredAbsence ? 1 : fraction;
}

} // namespace chicoryspar
