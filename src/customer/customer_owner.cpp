/// @file
/// Token buckets of the customers that a node owns.

#include "customer/customer_bucket.h"

#include <chicoryspar/customer.h>

#include <algorithm>
#include <cmath>

namespace chicoryspar {
namespace {

/// The bucket becomes low below the first fraction of its capacity and stops being low above the second one.
constexpr double kLowFraction = 0.6;
constexpr double kNotLowFraction = 0.7;
/// Time constant of the averages of arrivals, in seconds.
constexpr double kArrivalSeconds = 2;
/// Shortest time over which arrivals are averaged, in seconds; a shorter one would overstate the rate of a new bucket.
constexpr double kMinArrivalSeconds = 0.5;
/// Bounds of CustomerGrant::denyFor while the customer exceeds its limit. The lower one bounds the token requests per node.
constexpr Duration kMinDenyTime = std::chrono::milliseconds(100);
constexpr Duration kMaxDenyTime = std::chrono::seconds(1);
/// Nodes and buckets are dropped after this time without a report. Shorter than a node keeps its record, whose counters then restart.
constexpr Duration kIdleTime = std::chrono::minutes(1);
/// Messages of an earlier process of a node are ignored if the later one was heard this recently. Afterwards, a lower boot means that the
/// node's clock was set back.
constexpr Duration kStaleBootTime = std::chrono::seconds(5);
constexpr double kPercent = 100;

double secondsOf(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Exponentially decayed count of arrivals.
struct DecayedCount
{
    double count = 0;
    TimePoint countedAt{};

    double at(TimePoint now) const
    {
        return count * std::exp(-secondsOf(now - countedAt) / kArrivalSeconds);
    }
    void add(TimePoint now, double arrivals)
    {
        count = at(now) + arrivals;
        countedAt = now;
    }
};

/// Returns whether @a a follows @a b on a counter that wraps around.
bool isAfter(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

} // namespace

/// What the owner knows about one node that reports a customer.
struct CustomerOwner::Account
{
    NodeId node;
    std::uint64_t boot = 0;
    /// Counters of the last report.
    std::uint32_t admitted = 0;
    std::uint32_t arrived = 0;
    /// The last token request and its grant, which is repeated for a repeated request.
    std::uint32_t request = 0;
    std::uint32_t granted = 0;
    TimePoint heardAt{};
    /// The node was told that the bucket isn't low, so it must be told when it is.
    bool isOpen = false;
};

struct CustomerOwner::Bucket
{
    CustomerKey customer = 0;
    double requestsPerSecond = 0;
    double burst = 0;
    double tokens = 0;
    TimePoint refilledAt{};
    TimePoint createdAt{};
    TimePoint heardAt{};
    DecayedCount arrivals;
    bool isLow = false;
    std::vector<Account> accounts;

    Account &accountOf(NodeId node)
    {
        const auto it = std::find_if(accounts.begin(), accounts.end(), [node](const auto &account) { return account.node == node; });
        return it != accounts.end() ? *it : accounts.emplace_back(Account{.node = node});
    }

    /// Returns the arrivals per second in multiples of the limit.
    double use(TimePoint now) const
    {
        const auto age = std::max(kMinArrivalSeconds, secondsOf(now - createdAt));
        return arrivals.at(now) / (kArrivalSeconds * (1 - std::exp(-age / kArrivalSeconds))) / requestsPerSecond;
    }
};

CustomerOwner::CustomerOwner(const CustomerMembers &members, std::uint64_t boot)
    : m_members(members)
    , m_boot(boot)
{
}

CustomerOwner::~CustomerOwner() = default;

void CustomerOwner::setLimits(TimePoint now, std::vector<CustomerLimit> limits)
{
    std::sort(limits.begin(), limits.end(), [](const auto &a, const auto &b) { return a.customer < b.customer; });
    m_limits = std::move(limits);
    std::erase_if(m_buckets, [this](const auto &it) { return limitOf(it.first) == nullptr; });
    for (auto &[customer, bucket] : m_buckets) {
        refill(now, *bucket);
        const auto *limit = limitOf(customer);
        bucket->requestsPerSecond = limit->requestsPerSecond;
        bucket->burst = limit->burst;
        refill(now, *bucket);
    }
}

const CustomerLimit *CustomerOwner::limitOf(CustomerKey customer) const
{
    const auto it = std::lower_bound(m_limits.begin(), m_limits.end(), customer,
                                     [](const CustomerLimit &limit, CustomerKey key) { return limit.customer < key; });
    return it != m_limits.end() && it->customer == customer && it->requestsPerSecond > 0 ? &*it : nullptr;
}

void CustomerOwner::onMembersChanged()
{
    std::erase_if(m_buckets, [this](const auto &it) { return m_members.ownerOf(it.first) != m_members.self(); });
}

void CustomerOwner::clear()
{
    m_buckets.clear();
}

void CustomerOwner::refill(TimePoint now, Bucket &bucket) const
{
    const auto fraction = m_members.presentFraction(now);
    const auto capacity = bucketCapacity(bucket.burst) * fraction;
    bucket.tokens = std::min(capacity, bucket.tokens + secondsOf(now - bucket.refilledAt) * bucket.requestsPerSecond * fraction);
    bucket.refilledAt = now;
}

/// Returns the bucket of @a customer, or null if this node isn't its owner or doesn't know its limit. A new bucket has been filling since
/// this node became the owner, so that a change of owner never grants a second burst. Nodes that start together begin with few tokens.
CustomerOwner::Bucket *CustomerOwner::bucketOf(TimePoint now, CustomerKey customer)
{
    const auto it = m_buckets.find(customer);
    if (it != m_buckets.end()) {
        refill(now, *it->second);
        return it->second.get();
    }
    const auto *limit = limitOf(customer);
    if (!limit || !m_members.isSettled(now) || m_members.ownerOf(customer) != m_members.self()) {
        return nullptr;
    }
    const bool isFromStart = m_members.isOwnedFromStart(customer);
    const auto atStart = startTokens(limit->requestsPerSecond, limit->burst) * m_members.presentFraction(now);
    auto &bucket = m_buckets[customer];
    bucket = std::make_unique<Bucket>(Bucket{.customer = customer,
                                             .requestsPerSecond = limit->requestsPerSecond,
                                             .burst = limit->burst,
                                             .tokens = isFromStart ? atStart : 0,
                                             .refilledAt = m_members.ownedSince(customer),
                                             .createdAt = now});
    refill(now, *bucket);
    return bucket.get();
}

/// Debits what @a report adds to earlier ones. Counters are cumulative, so a duplicate adds nothing and a lost report is made up by the
/// next one.
void CustomerOwner::debit(TimePoint now, Bucket &bucket, Account &account, bool isKnown, const CustomerReport &report) const
{
    auto base = report.admitted - report.unacknowledged;
    auto arrivals = std::max(report.unacknowledged, report.wanted);
    if (isKnown) {
        base = isAfter(account.admitted, base) ? account.admitted : base;
        arrivals = isAfter(report.arrived, account.arrived) ? report.arrived - account.arrived : 0;
    }
    if (isAfter(report.admitted, base)) {
        // A longer debt would outlast the window of the bound and refuse requests below the limit.
        const auto maxDebt = std::max(bucketCapacity(bucket.burst), bucket.requestsPerSecond);
        bucket.tokens = std::max(std::min(bucket.tokens, -maxDebt), bucket.tokens - (report.admitted - base));
    }
    if (!isKnown || isAfter(report.admitted, account.admitted)) {
        account.admitted = report.admitted;
    }
    if (!isKnown || arrivals > 0) {
        account.arrived = report.arrived;
    }
    bucket.arrivals.add(now, arrivals);
}

CustomerGrant CustomerOwner::makeGrant(TimePoint now, const Bucket &bucket, const Account &account, const CustomerReport &report) const
{
    const auto use = bucket.use(now);
    CustomerGrant grant{.customer = bucket.customer,
                        .acknowledged = account.admitted,
                        .request = report.request,
                        .granted = report.request != 0 ? account.granted : 0,
                        .isLow = bucket.isLow,
                        .usePercent = static_cast<std::uint32_t>(std::lround(use * kPercent))};
    if (report.request != 0 && account.granted < report.wanted) {
        const auto rate = bucket.requestsPerSecond * m_members.presentFraction(now);
        const auto untilToken = fromSeconds(std::max(0.0, 1 - bucket.tokens) / rate);
        grant.denyFor = use > 1 ? std::clamp(untilToken, kMinDenyTime, kMaxDenyTime) : std::max(untilToken, Duration{1});
    }
    return grant;
}

void CustomerOwner::send(NodeId to, const CustomerGrant &grant, std::vector<OutgoingCustomerMessage> &out)
{
    const auto it = std::find_if(out.begin(), out.end(), [to](const auto &outgoing) {
        return outgoing.to == to && outgoing.message.reports.empty() && outgoing.message.grants.size() < kMaxCustomerItems;
    });
    if (it != out.end()) {
        it->message.grants.push_back(grant);
        return;
    }
    out.push_back({to, {.from = m_members.self(), .boot = m_boot, .sequence = ++m_sequence, .grants = {grant}}});
}

/// Tells the nodes that admit requests without asking when the bucket becomes low. Until they know, they spend the rest of the bucket.
void CustomerOwner::updateLow(TimePoint now, Bucket &bucket, NodeId reporter, std::vector<OutgoingCustomerMessage> &out)
{
    const auto capacity = bucketCapacity(bucket.burst) * m_members.presentFraction(now);
    bucket.isLow = bucket.tokens < capacity * (bucket.isLow ? kNotLowFraction : kLowFraction);
    if (!bucket.isLow) {
        return;
    }
    for (auto &it : bucket.accounts) {
        if (it.isOpen) {
            it.isOpen = false;
            if (it.node != reporter) {
                send(it.node, makeGrant(now, bucket, it, {}), out);
            }
        }
    }
}

void CustomerOwner::onMessage(TimePoint now, const CustomerMessage &message, std::vector<OutgoingCustomerMessage> &out)
{
    for (const auto &report : message.reports) {
        auto *bucket = bucketOf(now, report.customer);
        if (!bucket) {
            continue;
        }
        auto &account = bucket->accountOf(message.from);
        if (message.boot < account.boot && now - account.heardAt < kStaleBootTime) {
            continue;
        }
        const bool isKnown = account.boot == message.boot;
        if (!isKnown) {
            account = Account{.node = message.from, .boot = message.boot};
        }
        account.heardAt = now;
        bucket->heardAt = now;
        debit(now, *bucket, account, isKnown, report);
        if (report.request != 0 && isAfter(report.request, account.request)) {
            const auto available = static_cast<std::uint32_t>(std::max(0.0, bucket->tokens));
            account.request = report.request;
            account.granted = std::min(available, report.wanted);
            bucket->tokens -= account.granted;
        } else if (report.request != account.request && report.request != 0) {
            // Overtaken by a later request, which has been answered.
            continue;
        }
        updateLow(now, *bucket, message.from, out);
        account.isOpen = !bucket->isLow;
        send(message.from, makeGrant(now, *bucket, account, report), out);
    }
}

void CustomerOwner::evictIdle(TimePoint now)
{
    std::erase_if(m_buckets, [this, now](auto &it) {
        auto &bucket = *it.second;
        refill(now, bucket);
        std::erase_if(bucket.accounts, [now](const auto &account) { return now - account.heardAt >= kIdleTime; });
        const bool isFull = bucket.tokens >= bucketCapacity(bucket.burst) * m_members.presentFraction(now);
        return isFull && bucket.accounts.empty() && now - bucket.heardAt >= kIdleTime;
    });
}

std::size_t CustomerOwner::bucketCount() const
{
    return m_buckets.size();
}

std::optional<double> CustomerOwner::tokens(TimePoint now, CustomerKey customer) const
{
    const auto it = m_buckets.find(customer);
    if (it == m_buckets.end()) {
        return std::nullopt;
    }
    auto bucket = *it->second;
    refill(now, bucket);
    return bucket.tokens;
}

} // namespace chicoryspar
