/// @file
/// Owner and node of one process.

#include <chicoryspar/customer.h>

#include <algorithm>

namespace chicoryspar {
namespace {

constexpr Duration kEvictPeriod = std::chrono::seconds(5);

} // namespace

CustomerLimiter::CustomerLimiter(NodeId self, std::uint64_t boot, TimePoint startedAt)
    : m_members(self, startedAt)
    , m_owner(m_members, boot)
    , m_node(m_members, boot)
    , m_evictAt(startedAt + kEvictPeriod)
{
}

void CustomerLimiter::setMembers(TimePoint now, std::vector<CustomerMember> members)
{
    m_members.setMembers(now, std::move(members));
    m_owner.onMembersChanged();
}

void CustomerLimiter::setLimits(TimePoint now, std::vector<CustomerLimit> limits)
{
    m_owner.setLimits(now, std::move(limits));
}

void CustomerLimiter::onPaused(TimePoint now)
{
    m_members.restart(now);
    m_owner.clear();
}

void CustomerLimiter::setContacts(const CustomerContacts &contacts)
{
    m_members.setContacts(contacts);
}

/// Hands messages to this node over until there are none left.
void CustomerLimiter::handleOwnMessages(TimePoint now, CustomerOutput &output)
{
    const auto isOwn = [this](const auto &it) { return it.to == m_members.self(); };
    while (true) {
        const auto it = std::find_if(output.messages.begin(), output.messages.end(), isOwn);
        if (it == output.messages.end()) {
            return;
        }
        const auto message = std::move(it->message);
        output.messages.erase(it);
        m_owner.onMessage(now, message, output.messages);
        m_node.onMessage(now, message, output.messages, output.resolved);
    }
}

RateLimitDecision CustomerLimiter::admit(TimePoint now, Random &random, const CustomerLimit &limit, std::uint64_t ticket,
                                         CustomerOutput &output)
{
    const auto decision = m_node.admit(now, random, limit, ticket, output.messages);
    handleOwnMessages(now, output);
    const auto it = std::find_if(output.resolved.begin(), output.resolved.end(), [ticket](const auto &it) { return it.ticket == ticket; });
    if (decision.verdict != RateLimitVerdict::Waiting || it == output.resolved.end()) {
        return decision;
    }
    const auto resolved = it->decision;
    output.resolved.erase(it);
    return resolved;
}

void CustomerLimiter::abandon(CustomerKey customer, std::uint64_t ticket)
{
    m_node.abandon(customer, ticket);
}

void CustomerLimiter::onMessage(TimePoint now, const CustomerMessage &message, CustomerOutput &output)
{
    m_owner.onMessage(now, message, output.messages);
    m_node.onMessage(now, message, output.messages, output.resolved);
    handleOwnMessages(now, output);
}

void CustomerLimiter::onTimer(TimePoint now, Random &random, CustomerOutput &output)
{
    if (m_members.update(now)) {
        m_owner.onMembersChanged();
    }
    m_node.onTimer(now, random, output.messages, output.resolved);
    handleOwnMessages(now, output);
    if (now >= m_evictAt) {
        m_owner.evictIdle(now);
        m_evictAt = now + kEvictPeriod;
    }
}

std::optional<TimePoint> CustomerLimiter::nextEvent() const
{
    auto next = std::min(m_node.nextEvent().value_or(TimePoint::max()), m_members.nextChange());
    if (m_owner.bucketCount() > 0) {
        next = std::min(next, m_evictAt);
    }
    return next != TimePoint::max() ? std::optional(next) : std::nullopt;
}

std::vector<CustomerModeChange> CustomerLimiter::takeModeChanges()
{
    return m_node.takeModeChanges();
}

} // namespace chicoryspar
