#pragma once

/// @file
/// Simulated network of membership state machines in virtual time, with message loss, delay and reordering, a partition between the
/// regions, and pauses, kills and restarts of processes.

#include <chicoryspar/membership.h>

#include <algorithm>
#include <queue>
#include <unordered_map>

namespace chicoryspar {

/// Layout, delays and message loss of the simulated network.
struct NetworkOptions
{
    std::uint64_t seed = 1;
    /// Probability that a message is lost.
    double loss = 0.0;
    /// Minimum delay within a region and between regions; a message takes up to twice as long, evenly distributed.
    Duration intraRegionDelay = std::chrono::microseconds(500);
    Duration interRegionDelay = std::chrono::milliseconds(20);
    /// Size of UDP header, IP header and authentication code.
    std::size_t overheadBytesPerMessage = 64;
    /// Options of every node, except its record and contacts.
    MembershipOptions membership;
    int regions = 2;
    int zonesInRegion = 4;
    /// The first hosts, as many as this, are the contacts of every node.
    int contactCount = 3;
};

/// A host and the process running on it.
struct FakeHost
{
    MemberInfo info;
    int region = 0;
    /// Null while no process runs.
    std::unique_ptr<Membership> node;
    /// The process handles no messages and ticks before this time.
    TimePoint pausedUntil{};
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t sentMessages = 0;
    std::uint64_t receivedMessages = 0;
    std::size_t largestMessage = 0;
    std::vector<MemberChange> changes;
    /// Indexed by the alternative of MembershipMessage::body.
    std::array<std::uint64_t, std::variant_size_v<decltype(MembershipMessage::body)>> sentBytesByKind{};
};

class FakeNetwork
{
public:
    explicit FakeNetwork(NetworkOptions options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
    {
    }

    /// Adds a host without a process.
    /// @returns its index
    std::size_t addHost()
    {
        const auto n = m_hosts.size();
        const int region = static_cast<int>(n) % m_options.regions;
        FakeHost host{.region = region};
        host.info.name = "orders-node-" + std::to_string(n);
        host.info.id = makeNodeId(host.info.name);
        host.info.region = "region-" + std::to_string(region);
        host.info.zone = "zone-" + std::to_string(static_cast<int>(n) / m_options.regions % m_options.zonesInRegion);
        host.info.address = "10.1." + std::to_string(n / 250) + "." + std::to_string(n % 250) + ":7400";
        host.info.service = "service-" + std::to_string(n % 37);
        host.info.slots = 36;
        host.info.readiness = BackendReadiness::Ready;
        m_byAddress[host.info.address] = n;
        m_hosts.push_back(std::move(host));
        return n;
    }

    /// Starts a process on host @a n, in place of a running one. Its wall clock is ahead by @a clockError, or behind if negative.
    void start(std::size_t n, Duration clockError = {})
    {
        auto options = m_options.membership;
        options.self = m_hosts[n].info;
        options.self.boot = static_cast<std::uint64_t>(toMilliseconds((m_now + clockError).time_since_epoch()));
        for (int it = 0; it < m_options.contactCount; ++it) {
            options.contacts.push_back(m_hosts[static_cast<std::size_t>(it)].info.address);
        }
        m_hosts[n].node = std::make_unique<Membership>(std::move(options), m_now, m_random);
        m_hosts[n].pausedUntil = m_now;
        m_hosts[n].changes.clear();
        const auto phase = Duration(static_cast<Duration::rep>(drawBelow(m_random, static_cast<std::uint64_t>(kTickPeriod.count()))));
        m_events.push({m_now + phase, ++m_order, n, m_hosts[n].node.get(), nullptr, {}});
    }

    /// Gives each process the records of all others and discards the resulting changes. A process must run on each host.
    void introduceAll()
    {
        MembershipMessage message;
        message.body = SyncRecords{};
        for (const auto &it : m_hosts) {
            const auto &info = it.node->self();
            message.updates.push_back({info.id, info.incarnation, info.version, MemberState::Alive, info});
        }
        message.from = m_hosts.front().info.id;
        OutgoingMessages ignored;
        for (auto &it : m_hosts) {
            it.node->onMessage(m_now, m_random, m_hosts.front().info.address, message, ignored);
            it.node->takeChanges();
        }
    }

    /// Ends the process on host @a n without an announcement.
    void kill(std::size_t n)
    {
        m_hosts[n].node.reset();
    }

    void leave(std::size_t n)
    {
        OutgoingMessages out;
        m_hosts[n].node->leave(m_now, m_random, out);
        send(n, out);
    }

    void announce(std::size_t n, BackendReadiness readiness)
    {
        OutgoingMessages out;
        m_hosts[n].info.readiness = readiness;
        m_hosts[n].node->announceSelf(m_now, m_random, m_hosts[n].info.service, m_hosts[n].info.slots, readiness, out);
        send(n, out);
    }

    void setConfigDigest(std::size_t n, std::uint64_t digest)
    {
        OutgoingMessages out;
        m_hosts[n].node->setConfigDigest(m_now, m_random, digest, {}, out);
        send(n, out);
    }

    /// Pauses the process on host @a n for @a length; its messages are delivered afterwards.
    void pause(std::size_t n, Duration length)
    {
        m_hosts[n].pausedUntil = m_now + length;
    }

    /// Starts or ends a partition, which drops all messages between regions.
    void setPartitioned(bool isPartitioned)
    {
        m_isPartitioned = isPartitioned;
    }

    void setLoss(double loss)
    {
        m_options.loss = loss;
    }

    /// Advances virtual time by @a length and handles the events of that time.
    void run(Duration length)
    {
        const auto end = m_now + length;
        while (!m_events.empty() && m_events.top().at <= end) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            handle(event);
        }
        m_now = end;
    }

    /// Advances virtual time until @a condition holds; checks it once per @a step.
    /// @returns the virtual time it took, or nothing if @a condition didn't hold within @a limit
    template<typename Condition>
    std::optional<Duration> runUntil(Duration limit, Condition condition, Duration step = std::chrono::milliseconds(20))
    {
        const auto begin = m_now;
        while (!condition()) {
            if (m_now - begin >= limit) {
                return std::nullopt;
            }
            run(step);
        }
        return m_now - begin;
    }

    /// Returns whether every running process satisfies @a condition(const Membership &).
    template<typename Condition>
    bool allNodesSatisfy(Condition condition) const
    {
        return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const FakeHost &it) { return !it.node || condition(*it.node); });
    }

    /// Returns whether the views of all running processes are equal and have as many present members as processes run.
    bool hasConverged() const
    {
        const auto running =
            static_cast<std::size_t>(std::count_if(m_hosts.begin(), m_hosts.end(), [](const FakeHost &it) { return it.node != nullptr; }));
        if (!allNodesSatisfy([running](const Membership &node) { return node.presentCount() == running; })) {
            return false;
        }
        std::optional<std::uint64_t> digest;
        return allNodesSatisfy([&digest](const Membership &node) {
            digest = digest ? digest : node.viewDigest();
            return node.viewDigest() == *digest;
        });
    }

    void resetTraffic()
    {
        for (auto &it : m_hosts) {
            it.sentBytes = it.receivedBytes = it.sentMessages = it.receivedMessages = 0;
            it.sentBytesByKind.fill(0);
        }
    }

    std::vector<FakeHost> &hosts()
    {
        return m_hosts;
    }
    TimePoint now() const
    {
        return m_now;
    }
    Random &random()
    {
        return m_random;
    }

private:
    using OutgoingMessages = std::vector<OutgoingMessage>;

    /// A tick of one process, or the delivery of a message to a host.
    struct NetworkEvent
    {
        TimePoint at{};
        std::uint64_t order = 0;
        std::size_t host = 0;
        /// Process of a tick event, which is dropped once this process no longer runs; null for a message.
        const Membership *ticked = nullptr;
        std::shared_ptr<const MembershipMessage> message;
        std::size_t sender = 0;

        bool operator<(const NetworkEvent &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void handle(const NetworkEvent &event)
    {
        auto &host = m_hosts[event.host];
        if (!host.node || (event.ticked != nullptr && event.ticked != host.node.get())) {
            return;
        }
        if (host.pausedUntil > m_now) {
            auto later = event;
            later.at = host.pausedUntil;
            m_events.push(std::move(later));
            return;
        }
        OutgoingMessages out;
        if (event.message) {
            const auto bytes = packedSizeBound(*event.message) + m_options.overheadBytesPerMessage;
            host.receivedBytes += bytes;
            ++host.receivedMessages;
            host.node->onMessage(m_now, m_random, m_hosts[event.sender].info.address, *event.message, out);
        } else {
            host.node->onTick(m_now, m_random, out);
            m_events.push({m_now + kTickPeriod, ++m_order, event.host, event.ticked, nullptr, {}});
        }
        send(event.host, out);
        auto changes = host.node->takeChanges();
        host.changes.insert(host.changes.end(), changes.begin(), changes.end());
    }

    void send(std::size_t from, OutgoingMessages &out)
    {
        auto &host = m_hosts[from];
        for (auto &it : out) {
            const auto size = packedSizeBound(it.message);
            host.largestMessage = std::max(host.largestMessage, size);
            host.sentBytes += size + m_options.overheadBytesPerMessage;
            host.sentBytesByKind[it.message.body.index()] += size + m_options.overheadBytesPerMessage;
            ++host.sentMessages;
            const auto to = m_byAddress.find(it.to);
            if (to == m_byAddress.end() || drawUnit(m_random) < m_options.loss) {
                continue;
            }
            const bool isCrossRegion = m_hosts[to->second].region != host.region;
            if (isCrossRegion && m_isPartitioned) {
                continue;
            }
            const auto delay = isCrossRegion ? m_options.interRegionDelay : m_options.intraRegionDelay;
            const auto jitter = Duration(static_cast<Duration::rep>(drawUnit(m_random) * static_cast<double>(delay.count())));
            m_events.push({m_now + delay + jitter, ++m_order, to->second, nullptr,
                           std::make_shared<const MembershipMessage>(std::move(it.message)), from});
        }
    }

    NetworkOptions m_options;
    Random m_random;
    TimePoint m_now{std::chrono::milliseconds(1'796'000'000'000)};
    std::vector<FakeHost> m_hosts;
    std::unordered_map<std::string, std::size_t> m_byAddress;
    std::priority_queue<NetworkEvent> m_events;
    std::uint64_t m_order = 0;
    bool m_isPartitioned = false;
};

} // namespace chicoryspar
