#pragma once

/// @file
/// Rate limits of customers on one node: connects the limiter to the configuration, the members, the network and the timer.

#include "node/context.h"

#include <chicoryspar/customer.h>

#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

namespace chicoryspar {

class MembershipDriver;

/// Decides whether requests of customers are within their limits.
class CustomerLimits
{
public:
    using Handler = std::function<void(RateLimitDecision)>;

    CustomerLimits(NodeContext &context, MembershipDriver &membership);
    ~CustomerLimits();

    /// Decides on a request of @a customer. @a handler is called once, with Admitted or Refused: at once, or after kCustomerHold at the
    /// latest if tokens have to be requested from the customer's owner.
    /// @returns the ticket for abandon(), or 0 if the handler was called already
    std::uint64_t admit(TimePoint now, const CustomerSpec &customer, Handler handler);

    /// Drops a waiting request without calling its handler.
    void abandon(std::uint64_t ticket);

    /// Returns the current rate of the customer named @a customer divided by its limit; 0 if unknown.
    double use(TimePoint now, std::string_view customer) const;

    /// Returns the metrics in the Prometheus text format; empty without limited customers.
    std::string renderMetrics() const;

    std::size_t waitingCount() const
    {
        return m_waiting.size();
    }

private:
    struct Waiting
    {
        CustomerKey customer = 0;
        Handler handler;
    };

    void applyConfig(TimePoint now);
    void applyMembers(TimePoint now);
    void onDatagram(TimePoint now, std::string_view payload);
    void finishStep(TimePoint now, CustomerOutput &output);
    void armTimer(TimePoint now);
    void logModeChanges(TimePoint now);
    std::string nameOf(CustomerKey customer) const;

    NodeContext &m_context;
    MembershipDriver &m_membership;
    CustomerLimiter m_limiter;
    boost::asio::steady_timer m_timer;
    /// When the timer ends, or TimePoint::max().
    TimePoint m_timerAt = TimePoint::max();
    std::unordered_map<std::uint64_t, Waiting> m_waiting;
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_boot = 0;
    TimePoint m_nextLogAt{};
    std::uint64_t m_sent = 0;
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_received = 0;
    std::uint64_t m_rejected = 0;
    bool m_hasLimits = false;
};

} // namespace chicoryspar
