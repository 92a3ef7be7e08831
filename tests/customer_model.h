#pragma once

/// @file
/// Deterministic model of a deployment whose nodes limit one customer: messages are delayed, lost, duplicated and reordered.

#include <chicoryspar/customer.h>
#include <chicoryspar/wire.h>

#include <algorithm>
#include <cmath>
#include <map>

namespace chicoryspar {

struct CustomerModelOptions
{
    std::uint64_t seed = 1;
    std::size_t nodes = 87;
    double requestsPerSecond = 100;
    double burst = 100;
    double lossProbability = 0;
    double duplicateProbability = 0;
    /// Number of contacts in the store; 0 while it is unknown.
    std::size_t expectedNodes = 0;
};

/// Nodes in three regions with one customer, whose requests arrive at random nodes.
class CustomerModel
{
public:
    explicit CustomerModel(CustomerModelOptions options)
        : m_options(options)
        , m_random(options.seed)
        , limit{.customer = customerKeyOf("customer-" + std::to_string(options.seed)),
                .requestsPerSecond = options.requestsPerSecond,
                .burst = options.burst}
        , m_nodes(options.nodes)
    {
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            m_nodes[n].id = makeNodeId("node-" + std::to_string(n));
        }
        startAll();
        run(std::chrono::seconds(10), 0);
    }

    /// Starts all nodes at once with empty states.
    void startAll()
    {
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            start(n);
        }
        spreadViews(std::chrono::milliseconds(500));
    }

    void killAll()
    {
        for (auto &it : m_nodes) {
            it.isRunning = false;
        }
    }

    void start(std::size_t n)
    {
        auto &node = m_nodes[n];
        node.isRunning = true;
        node.view.clear();
        node.waiting.clear();
        node.limiter = std::make_unique<CustomerLimiter>(node.id, ++m_boot, now);
        node.limiter->setLimits(now, {limit});
        node.met.assign(m_nodes.size(), false);
        node.met[n] = true;
        // A node lists its contacts before it sees the members.
        setContacts(node);
    }

    void kill(std::size_t n)
    {
        m_nodes[n].isRunning = false;
    }

    /// Ends a pause that began with kill(): the node goes on with its state.
    void resume(std::size_t n)
    {
        m_nodes[n].isRunning = true;
    }

    /// Cuts the first @a count nodes off from the others; 0 ends the cut.
    void partition(std::size_t count)
    {
        m_cut = count;
    }

    /// Tells all nodes after @a delay which members they can reach, and after a third of it which ones they suspect.
    void spreadViews(Duration delay)
    {
        m_suspicionsAt = now + delay / 3;
        m_viewsAt = now + delay;
    }

    void setLimit(double requestsPerSecond, double burst)
    {
        limit.requestsPerSecond = requestsPerSecond;
        limit.burst = burst;
        for (auto &it : m_nodes) {
            it.limiter->setLimits(now, {limit});
        }
    }

    std::size_t ownerIndex() const
    {
        const auto owner = m_nodes.front().limiter->members().ownerOf(limit.customer);
        return static_cast<std::size_t>(std::find_if(m_nodes.begin(), m_nodes.end(), [owner](const auto &it) { return it.id == owner; })
                                        - m_nodes.begin());
    }

    std::size_t nodeCount() const
    {
        return m_nodes.size();
    }

    CustomerLimiter &limiter(std::size_t n)
    {
        return *m_nodes[n].limiter;
    }

    /// Runs for @a time with Poisson arrivals at @a rate per second. Arrivals at nodes that don't run are lost.
    void run(Duration time, double rate)
    {
        const auto end = now + time;
        auto nextArrival = now + drawGap(rate);
        for (; now < end; now += kStep) {
            if (now >= std::min(m_viewsAt, m_suspicionsAt)) {
                const bool isFinal = now >= m_viewsAt;
                (isFinal ? m_viewsAt : m_suspicionsAt) = TimePoint::max();
                setViews(isFinal);
            }
            deliver();
            for (; nextArrival <= now; nextArrival += drawGap(rate)) {
                arrive();
            }
            for (std::size_t n = 0; n < m_nodes.size(); ++n) {
                const auto next = m_nodes[n].limiter->nextEvent();
                if (m_nodes[n].isRunning && next && *next <= now) {
                    CustomerOutput output;
                    m_nodes[n].limiter->onTimer(now, m_random, output);
                    handle(n, output);
                }
            }
        }
    }

    /// Returns the highest excess of admissions over the bound in any window of 5 s that ended after @a since.
    double worstExcess(TimePoint since = {}) const
    {
        const auto bound = (limit.requestsPerSecond * 5 + limit.burst) * 1.1 + 20;
        double worst = -bound;
        std::size_t begin = 0;
        for (std::size_t n = 0; n < admissions.size(); ++n) {
            while (admissions[n] - admissions[begin] > std::chrono::seconds(5)) {
                ++begin;
            }
            if (admissions[n] >= since) {
                worst = std::max(worst, static_cast<double>(n - begin + 1) - bound);
            }
        }
        return worst;
    }

    /// Resets the counters, but keeps the times of admissions.
    void resetCounts()
    {
        admitted = 0;
        refused = 0;
        arrived = 0;
        messages = 0;
    }

    TimePoint now{std::chrono::hours(1)};
    std::vector<TimePoint> admissions;
    std::uint64_t arrived = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t messages = 0;
    Duration longestWait{0};

private:
    static constexpr Duration kStep = std::chrono::milliseconds(1);

    struct Node
    {
        NodeId id;
        bool isRunning = false;
        std::unique_ptr<CustomerLimiter> limiter;
        std::vector<CustomerMember> view;
        /// Nodes that this process has seen present.
        std::vector<bool> met;
        std::map<std::uint64_t, TimePoint> waiting;
    };

    bool reach(std::size_t a, std::size_t b) const
    {
        return m_nodes[a].isRunning && m_nodes[b].isRunning && (a < m_cut) == (b < m_cut);
    }

    void setContacts(Node &node)
    {
        if (m_options.expectedNodes > 0) {
            const auto unmet = std::count(node.met.begin(), node.met.end(), false);
            node.limiter->setContacts({.listed = m_options.expectedNodes - 1, .unmet = static_cast<std::size_t>(unmet)});
        }
    }

    void setViews(bool isFinal)
    {
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            auto &view = m_nodes[n].view;
            view.resize(m_nodes.size());
            for (std::size_t k = 0; k < m_nodes.size(); ++k) {
                const bool isReached = reach(n, k);
                view[k].node = m_nodes[k].id;
                const bool isSuspect = !isFinal && view[k].isPresent && !isReached;
                const bool isPresent = isFinal ? isReached : view[k].isPresent;
                if (isSuspect != view[k].isSuspect || isPresent != view[k].isPresent) {
                    view[k].since = now;
                }
                view[k].isSuspect = isSuspect;
                view[k].isPresent = isPresent;
                m_nodes[n].met[k] = m_nodes[n].met[k] || isPresent;
            }
            setContacts(m_nodes[n]);
            m_nodes[n].limiter->setMembers(now, view);
        }
    }

    Duration drawGap(double rate)
    {
        return rate > 0 ? Duration(static_cast<std::int64_t>(-std::log(1 - drawUnit(m_random)) * 1e6 / rate))
                        : Duration(std::chrono::hours(1));
    }

    void arrive()
    {
        const auto n = drawBelow(m_random, m_nodes.size());
        auto &node = m_nodes[n];
        if (!node.isRunning) {
            return;
        }
        ++arrived;
        CustomerOutput output;
        const auto ticket = ++m_lastTicket;
        node.waiting[ticket] = now;
        const auto decision = node.limiter->admit(now, m_random, limit, ticket, output);
        if (decision.verdict != RateLimitVerdict::Waiting) {
            output.resolved.push_back({ticket, decision});
        }
        handle(n, output);
    }

    void handle(std::size_t n, CustomerOutput &output)
    {
        for (const auto &it : output.resolved) {
            longestWait = std::max<Duration>(longestWait, now - m_nodes[n].waiting.at(it.ticket));
            m_nodes[n].waiting.erase(it.ticket);
            if (it.decision.verdict == RateLimitVerdict::Admitted) {
                ++admitted;
                admissions.push_back(now);
            } else {
                ++refused;
            }
        }
        for (const auto &it : output.messages) {
            send(n, it);
        }
    }

    void send(std::size_t from, const OutgoingCustomerMessage &outgoing)
    {
        const auto it = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto &node) { return node.id == outgoing.to; });
        const auto to = static_cast<std::size_t>(it - m_nodes.begin());
        ++messages;
        const int copies = drawUnit(m_random) < m_options.duplicateProbability ? 2 : 1;
        for (int n = 0; n < copies; ++n) {
            if (reach(from, to) && drawUnit(m_random) >= m_options.lossProbability) {
                // Nodes of one region differ by a multiple of three. The jitter lets messages overtake each other.
                const auto delay = std::chrono::milliseconds(from % 3 == to % 3 ? 1 : 20) + Duration(drawBelow(m_random, 3000));
                m_inFlight.emplace(now + delay, std::pair{to, encodePayload(outgoing.message)});
            }
        }
    }

    void deliver()
    {
        while (!m_inFlight.empty() && m_inFlight.begin()->first <= now) {
            const auto [to, payload] = m_inFlight.begin()->second;
            m_inFlight.erase(m_inFlight.begin());
            if (m_nodes[to].isRunning) {
                CustomerOutput output;
                m_nodes[to].limiter->onMessage(now, *decodePayload<CustomerMessage>(payload), output);
                handle(to, output);
            }
        }
    }

    CustomerModelOptions m_options;
    Random m_random;

public:
    CustomerLimit limit;

private:
    std::vector<Node> m_nodes;
    std::multimap<TimePoint, std::pair<std::size_t, std::string>> m_inFlight;
    TimePoint m_suspicionsAt = TimePoint::max();
    TimePoint m_viewsAt = TimePoint::max();
    std::size_t m_cut = 0;
    std::uint64_t m_boot = 1000;
    std::uint64_t m_lastTicket = 0;
};

} // namespace chicoryspar
