/// @file
/// Rate limits of customers on one node.

#include "node/customer/customer_limits.h"

#include "node/clock.h"
#include "node/log.h"
#include "node/peers/membership_driver.h"

#include <algorithm>
#include <sstream>
#include <unordered_set>

namespace chicoryspar {
namespace {

/// Minimum interval between log lines about modes. Buckets of few tokens become low often.
constexpr Duration kLogInterval = std::chrono::seconds(1);

} // namespace

CustomerLimits::CustomerLimits(NodeContext &context, MembershipDriver &membership)
    : m_context(context)
    , m_membership(membership)
    , m_limiter(context.self, context.boot, steadyNow())
    , m_timer(context.io)
    , m_boot(context.boot)
{
    context.configChanged.connect([this](TimePoint now) { applyConfig(now); });
    context.membersChanged.connect([this](TimePoint now) { applyMembers(now); });
    membership.setPayloadHandler([this](TimePoint now, std::string_view payload) { onDatagram(now, payload); });
}

CustomerLimits::~CustomerLimits() = default;

// Inputs

void CustomerLimits::applyConfig(TimePoint now)
{
    std::vector<CustomerLimit> limits;
    for (const auto *it : m_context.config.customers()) {
        if (it->requestsPerSecond > 0) {
            limits.push_back({customerKeyOf(it->name), it->requestsPerSecond, it->burst});
        }
    }
    m_hasLimits = !limits.empty();
    m_limiter.setLimits(now, std::move(limits));
    applyMembers(now);
}

void CustomerLimits::applyMembers(TimePoint now)
{
    if (!m_hasLimits || !m_context.membership) {
        return;
    }
    if (m_boot != m_context.membership->self().boot) {
        m_boot = m_context.membership->self().boot;
        m_limiter.onPaused(now);
    }
    std::vector<CustomerMember> members;
    std::unordered_set<std::string_view> metAddresses;
    for (const auto *it : m_context.membership->members()) {
        metAddresses.insert(it->info.address);
        members.push_back({.node = it->info.id,
                           .isPresent = it->isPresent(),
                           .isSuspect = it->state == MemberState::Suspect,
                           .hasLeft = it->state == MemberState::Left,
                           .since = it->since});
    }
    const auto &contacts = m_membership.contacts();
    const auto isUnmet = [&metAddresses](const std::string &it) { return !metAddresses.contains(it); };
    m_limiter.setContacts({.isKnown = m_membership.areContactsKnown(),
                           .listed = contacts.size(),
                           .unmet = static_cast<std::size_t>(std::count_if(contacts.begin(), contacts.end(), isUnmet))});
    m_limiter.setMembers(now, std::move(members));
    armTimer(now);
}

void CustomerLimits::onDatagram(TimePoint now, std::string_view payload)
{
    const auto message = decodePayload<CustomerMessage>(payload);
    if (!message || message->reports.size() > kMaxCustomerItems || message->grants.size() > kMaxCustomerItems) {
        ++m_rejected;
        return;
    }
    ++m_received;
    CustomerOutput output;
    m_limiter.onMessage(now, *message, output);
    finishStep(now, output);
}

// Decisions

std::uint64_t CustomerLimits::admit(TimePoint now, const CustomerSpec &customer, Handler handler)
{
    if (customer.requestsPerSecond <= 0) {
        handler({});
        return 0;
    }
    const auto ticket = ++m_lastTicket;
    const CustomerLimit limit{customerKeyOf(customer.name), customer.requestsPerSecond, customer.burst};
    CustomerOutput output;
    const auto decision = m_limiter.admit(now, m_context.random, limit, ticket, output);
    if (decision.verdict != RateLimitVerdict::Waiting) {
        finishStep(now, output);
        handler(decision);
        return 0;
    }
    m_waiting.emplace(ticket, Waiting{limit.customer, std::move(handler)});
    finishStep(now, output);
    return m_waiting.contains(ticket) ? ticket : 0;
}

void CustomerLimits::abandon(std::uint64_t ticket)
{
    const auto it = m_waiting.find(ticket);
    if (it != m_waiting.end()) {
        m_limiter.abandon(it->second.customer, ticket);
        m_waiting.erase(it);
    }
}

double CustomerLimits::use(TimePoint now, std::string_view customer) const
{
    return m_hasLimits ? m_limiter.node().use(now, customerKeyOf(customer)) : 0;
}

/// Sends the messages of a step and tells waiting requests their decisions.
void CustomerLimits::finishStep(TimePoint now, CustomerOutput &output)
{
    for (const auto &it : output.messages) {
        const auto payload = encodePayload(it.message);
        ++m_sent;
        m_sentBytes += payload.size();
        m_membership.sendPayload(it.to, payload);
    }
    logModeChanges(now);
    armTimer(now);
    for (const auto &it : output.resolved) {
        const auto found = m_waiting.find(it.ticket);
        if (found != m_waiting.end()) {
            const auto handler = std::move(found->second.handler);
            m_waiting.erase(found);
            handler(it.decision);
        }
    }
}

void CustomerLimits::armTimer(TimePoint now)
{
    const auto next = m_limiter.nextEvent();
    if (!next || *next >= m_timerAt) {
        return;
    }
    m_timerAt = *next;
    m_timer.expires_after(std::max(Duration{0}, *next - now));
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (ec) {
            return;
        }
        m_timerAt = TimePoint::max();
        const auto time = steadyNow();
        CustomerOutput output;
        m_limiter.onTimer(time, m_context.random, output);
        finishStep(time, output);
    });
}

// Views

std::string CustomerLimits::nameOf(CustomerKey customer) const
{
    const auto &customers = m_context.config.customers();
    const auto it = std::find_if(customers.begin(), customers.end(),
                                 [customer](const auto *candidate) { return customerKeyOf(candidate->name) == customer; });
    return it != customers.end() ? (*it)->name : std::string();
}

void CustomerLimits::logModeChanges(TimePoint now)
{
    const auto changes = m_limiter.takeModeChanges();
    if (changes.empty() || now < m_nextLogAt) {
        return;
    }
    m_nextLogAt = now + kLogInterval;
    const auto &last = changes.back();
    const auto *owner = m_context.membership ? m_context.membership->find(last.owner) : nullptr;
    writeLog(LogLevel::Info, "rate limit of a customer changed its mode",
             {{"customer", nameOf(last.customer)},
              {"mode", std::string(rowOf(last.mode).name)},
              {"owner", owner ? owner->info.name : std::string()},
              {"use", std::to_string(m_limiter.node().use(now, last.customer))},
              {"detached", std::to_string(m_limiter.node().detachedCount())}});
}

std::string CustomerLimits::renderMetrics() const
{
    if (!m_hasLimits) {
        return {};
    }
    const auto &node = m_limiter.node();
    const auto &counters = node.counters();
    std::ostringstream text;
    const auto write = [&](std::string_view name, std::string_view label, auto value) {
        text << "chicoryspar_customer_" << name << "{node=\"" << m_context.settings.name << "\"" << label << "} " << value << "\n";
    };
    write("requests_total", ",decision=\"admitted\"", counters.admitted);
    write("requests_total", ",decision=\"refused\"", counters.refused);
    write("waits_total", "", counters.waited);
    write("owner_timeouts_total", "", counters.ownerTimeouts);
    for (std::size_t n = 0; n < counters.modeChanges.size(); ++n) {
        const auto mode = ",mode=\"" + std::string(rowOf(static_cast<CustomerMode>(n)).name) + "\"";
        write("mode_changes_total", mode, counters.modeChanges.at(n));
    }
    write("detached", "", node.detachedCount());
    write("known", "", node.recordCount());
    write("owned", "", m_limiter.owner().bucketCount());
    write("messages_total", ",direction=\"sent\"", m_sent);
    write("messages_total", ",direction=\"received\"", m_received);
    write("messages_total", ",direction=\"rejected\"", m_rejected);
    write("sent_bytes_total", "", m_sentBytes);
    return text.str();
}

} // namespace chicoryspar
