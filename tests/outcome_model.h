#pragma once

/// @file
/// Simulation of record owners in virtual time: nodes with skewed clocks, a network that delays, duplicates and loses messages and can be
/// partitioned, entry nodes with outdated membership views, executors, and callers that retry. One seed determines all random numbers.

#include "tests/outcome_checker.h"

#include <functional>
#include <queue>

namespace chicoryspar::model {

using namespace std::chrono_literals;

/// Parameters of one simulated history.
struct ModelOptions
{
    std::uint64_t seed = 1;
    std::size_t nodes = 5;
    /// Number of nodes that start later than the others.
    std::size_t joiners = 1;
    std::size_t founders = 3;
    Duration duration = 40s;
    Duration keyInterval = 40ms;
    /// Mean time between two faults; 0 for no faults.
    Duration faultInterval = 1500ms;
    /// Relative frequencies of the faults, in the order of Simulation::Fault.
    std::array<unsigned, 6> faultWeights{3, 1, 3, 3, 3, 1};
    /// Share of messages that are lost.
    double lossShare = 0.01;
    /// Share of messages that are delivered twice.
    double duplicateShare = 0.02;
    /// Share of messages that are delayed by up to 5 s.
    double lateShare = 0.02;
    /// Share of admitted dispatches that an executor refuses before it starts them.
    double refusedShare = 0.05;
    Duration callerClockAhead = 0ms;
    std::size_t maxEntries = 65536;
    bool keepsLog = false;
    KeyOwnerRules rules;
    DispatchGateOptions gate;
};

/// One attempt of a caller, as tracked by its entry node.
struct Attempt
{
    RequestId key;
    /// The caller states that this is its only attempt.
    bool isOnlyAttempt = false;
    /// The request was sent to a node that didn't reply in time.
    bool isUnresolved = false;
    /// Number of attempts that the caller may still make after this one.
    int attemptsLeft = 0;
    /// Random bits that place the entry node on one side of a network partition.
    std::uint64_t partitionBits = 0;
    /// Number of the latest send. Incremented also by a reply, so that the time-out of that send has no effect.
    std::uint64_t sendCount = 0;
    TimePoint deadline;
    /// The caller has received an outcome.
    bool isClosed = false;
};

/// One simulation run and the history that it records.
class Simulation
{
public:
    enum Fault { Crash, LongCrash, Pause, Partition, Leave, ClockStep };

    explicit Simulation(const ModelOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_nodes(options.nodes)
    {
        m_options.gate.maxSkew = kSkew;
    }

    History run()
    {
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            m_nodes[n].id = makeNodeId("node" + std::to_string(n));
            m_nodes[n].skew = Duration(static_cast<std::int64_t>(drawBelow(m_random, kSkew.count()))) - kSkew / 2;
            const bool late = n + m_options.joiners >= m_nodes.size();
            schedule(late ? drawDuration(3s, 20s) : drawDuration(0ms, 100ms), [this, n] { start(n); });
        }
        schedule(2s, [this] { startKey(); });
        if (m_options.faultInterval > 0ms) {
            schedule(3s, [this] { injectFault(); });
        }
        while (!m_events.empty() && m_events.top().at < TimePoint(m_options.duration + 15s)) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        return m_history;
    }

    /// Returns the log lines about @a key and about the nodes and the network. Empty unless ModelOptions::keepsLog is set.
    std::string logOf(const RequestId &key) const
    {
        std::string text;
        for (const auto &[about, line] : m_log) {
            text += !about.isValid() || about == key ? line + "\n" : "";
        }
        return text;
    }

private:
    static constexpr Duration kSkew = 200ms;
    static constexpr Duration kKeyLifetime = 6s;
    static constexpr Duration kFutureTolerance = 300ms;
    static constexpr Duration kAttemptTimeout = 2s;

    struct Node
    {
        NodeId id;
        std::unique_ptr<KeyOwner> owner;
        std::unique_ptr<DispatchGate> gate;
        /// Increases with each start and each end of the process.
        std::uint64_t boot = 0;
        Duration skew{0};
        TimePoint pausedUntil;
        /// Random bits that place the node on one side of a network partition.
        std::uint64_t partitionBits = 0;
        /// The dispatch in progress of each key.
        std::map<RequestId, KeyDispatch> dispatches;
        /// Attempts that wait for a decision on a key.
        std::multimap<RequestId, std::shared_ptr<Attempt>> waiters;
    };

    struct Event
    {
        TimePoint at;
        /// Number of the event; events at the same time run in this order.
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    Duration drawDuration(Duration from, Duration to)
    {
        return from + Duration(static_cast<std::int64_t>(drawBelow(m_random, (to - from).count() + 1)));
    }
    bool drawBool(double share)
    {
        return drawUnit(m_random) < share;
    }
    void schedule(Duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, ++m_order, std::move(action)});
    }
    WallTime wall(const Node &node) const
    {
        return WallTime(m_now.time_since_epoch() + 1000s + node.skew);
    }
    /// Logs @a text with the time in milliseconds, about @a key, or about the nodes and the network when @a key is invalid.
    void log(const RequestId &key, const std::string &text)
    {
        if (m_options.keepsLog) {
            m_log.push_back({key, std::to_string(toMilliseconds(m_now.time_since_epoch())) + " " + text});
        }
    }
    /// Runs @a action in process @a boot of node @a n (0 for whichever runs), after the end of a pause. Does nothing when that process
    /// isn't running.
    void runInProcess(std::size_t n, std::uint64_t boot, const std::function<void()> &action)
    {
        auto &node = m_nodes[n];
        if (!node.owner || (boot != 0 && node.boot != boot)) {
            return;
        }
        if (node.pausedUntil > m_now) {
            schedule(node.pausedUntil - m_now, [this, n, boot, action] { runInProcess(n, boot, action); });
            return;
        }
        action();
        flush(n);
    }
    /// Delivers one message to node @a to. @a ordered messages are never duplicated, and reach only the process that runs now.
    void deliver(std::uint64_t fromBits, std::size_t to, bool ordered, const std::function<void()> &action)
    {
        if (drawBool(m_options.lossShare)) {
            return;
        }
        const auto boot = ordered ? m_nodes[to].boot : 0;
        const int copies = !ordered && drawBool(m_options.duplicateShare) ? 2 : 1;
        for (int n = 0; n < copies; ++n) {
            const auto delay = drawBool(m_options.lateShare) ? drawDuration(20ms, 5s) : drawDuration(1ms, 20ms);
            schedule(delay, [this, fromBits, to, boot, action] {
                if (isConnected(fromBits, m_nodes[to].partitionBits)) {
                    runInProcess(to, boot, action);
                }
            });
        }
    }
    bool isConnected(std::uint64_t a, std::uint64_t b) const
    {
        const bool crosses = (a & m_partitionBit) != (b & m_partitionBit);
        return !crosses || (m_isOneWay && (a & m_partitionBit) != 0);
    }
    std::size_t indexOf(NodeId id) const
    {
        std::size_t n = 0;
        while (m_nodes[n].id != id) {
            ++n;
        }
        return n;
    }

    void start(std::size_t n);
    void stop(std::size_t n);
    void beginLeave(std::size_t n);
    void awaitLeave(std::size_t n, std::uint64_t boot, TimePoint until);
    void tick(std::size_t n, std::uint64_t boot);
    void flush(std::size_t n);
    void injectFault();
    void startPartition();
    std::size_t drawRunningNode();

    void startKey();
    void attempt(const RequestId &key, bool isOnlyAttempt, int attemptsLeft);
    void sendRequest(const std::shared_ptr<Attempt> &attempt, NodeId to);
    void sendToOwner(const std::shared_ptr<Attempt> &attempt);
    void applyDecision(std::size_t n, const std::shared_ptr<Attempt> &attempt, const KeyDecision &decision);
    void sendReply(std::size_t n, const std::shared_ptr<Attempt> &attempt, const KeyDecision &decision);
    void receiveDecision(const std::shared_ptr<Attempt> &attempt, const KeyDecision &decision);
    void retry(const std::shared_ptr<Attempt> &attempt, Reason reason);
    void dispatch(std::size_t n, const RequestId &key);
    void sendDispatch(std::size_t n, std::size_t to, const KeyDispatch &dispatch);
    void resolveDispatch(std::size_t n, std::size_t to, const KeyDispatch &dispatch);
    void reportResult(std::size_t from, std::size_t n, std::uint64_t boot, const KeyDispatch &dispatch, DispatchVerdict verdict,
                      const std::string &text);

    ModelOptions m_options;
    Random m_random;
    std::vector<Node> m_nodes;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    TimePoint m_now{1s};
    /// Nodes whose partitionBits differ in this bit are separated by the network partition; 0 when there is none.
    std::uint64_t m_partitionBit = 0;
    /// The partition blocks only messages from nodes whose partitionBits lack m_partitionBit.
    bool m_isOneWay = false;
    std::uint64_t m_executions = 0;
    History m_history;
    std::vector<std::pair<RequestId, std::string>> m_log;
};

} // namespace chicoryspar::model
