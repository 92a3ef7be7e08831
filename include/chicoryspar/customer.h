#pragma once

/// @file
/// Rate limits of customers over all nodes. The owner of a customer holds its token bucket; every node asks the owner, or admits requests
/// and reports them. The state machines read no clock and do no I/O: a driver passes in the time and carries the messages.

#include <chicoryspar/core.h>

#include <memory>
#include <optional>
#include <unordered_map>

namespace chicoryspar {

/// Hash of a customer's name.
using CustomerKey = std::uint64_t;

/// Returns the key of the customer named @a name, equal on every node.
CustomerKey customerKeyOf(std::string_view name);

/// Limit of one customer over all nodes. A rate of 0 means no limit.
struct CustomerLimit
{
    CustomerKey customer = 0;
    double requestsPerSecond = 0;
    double burst = 0;
};

// Members

/// A node as a candidate for the ownership of customers.
struct CustomerMember
{
    NodeId node;
    /// Alive or suspect.
    bool isPresent = false;
    /// Present, but doesn't answer: it may be behind a partition, where it spends its share of the limits.
    bool isSuspect = false;
    /// Left as planned, so that it can't be running behind a partition.
    bool hasLeft = false;
    /// When it became absent or suspect.
    TimePoint since{};
};

/// What the list of contacts of the deployment states about other nodes.
struct CustomerContacts
{
    /// False until the list has been read: a node that has met no other one doesn't know yet whether it is alone.
    bool isKnown = true;
    std::size_t listed = 0;
    /// Listed ones that this process hasn't met. They may be running behind a partition and spend their part of the limits.
    std::size_t unmet = 0;

    bool operator==(const CustomerContacts &) const = default;
};

/// Determines owners from the members that this node sees.
class CustomerMembers
{
public:
    CustomerMembers(NodeId self, TimePoint startedAt);

    void setMembers(TimePoint now, std::vector<CustomerMember> members);

    /// Excludes members that have been suspect for long enough. Call it when nextChange() has passed.
    /// @returns whether owners may have changed
    bool update(TimePoint now);
    TimePoint nextChange() const
    {
        return m_nextChange;
    }

    void setContacts(const CustomerContacts &contacts)
    {
        m_contacts = contacts;
    }

    /// Starts again after a pause of the process, in which others may have owned its customers.
    void restart(TimePoint now);

    /// Returns the present member with the highest rendezvous weight for @a customer. Suspicions are refuted within a second if they are
    /// wrong, and each change of owner costs the bucket: a member that is suspect for longer isn't an owner, unless so many are suspect
    /// that this node may be behind a partition.
    NodeId ownerOf(CustomerKey customer) const;

    /// Returns since when this node has been the owner of @a customer, provided that it is the owner now: no later than the last absence
    /// of a member that would precede it.
    TimePoint ownedSince(CustomerKey customer) const;

    /// Returns whether this node has owned @a customer since its process started, provided that it is the owner now.
    bool isOwnedFromStart(CustomerKey customer) const;

    /// Returns whether this node can be expected to know the other members. Before that it grants nothing.
    bool isSettled(TimePoint now) const;

    /// Returns the fraction of the limits that owners may grant. Suspect members, those that died recently and unmet contacts may be
    /// running behind a partition and spend the rest.
    double presentFraction(TimePoint now) const;

    /// Returns the number of nodes that are present or may be running behind a partition.
    std::size_t count(TimePoint now) const;

    /// Returns the number of nodes over which the limits are divided where the owner doesn't decide: count(), and while this node isn't
    /// settled at least the number of contacts. Returns 0 if neither is known.
    std::size_t shareCount(TimePoint now) const;

    TimePoint startedAt() const
    {
        return m_startedAt;
    }
    NodeId self() const
    {
        return m_self;
    }
    /// Changes whenever owners may have changed.
    std::uint32_t generation() const
    {
        return m_generation;
    }

private:
    NodeId m_self;
    TimePoint m_startedAt;
    /// When the last new member was seen.
    TimePoint m_grownAt;
    CustomerContacts m_contacts;
    bool m_wasPaused = false;
    std::vector<CustomerMember> m_members;
    /// Candidates for the ownership, and the number of suspect ones among them.
    std::vector<NodeId> m_present;
    std::size_t m_suspects = 0;
    std::vector<CustomerMember> m_absent;
    TimePoint m_nextChange = TimePoint::max();
    std::uint32_t m_generation = 1;
};

// Messages

/// Report of a node to the owner of a customer, with or without a request for tokens.
struct CustomerReport
{
    CustomerKey customer = 0;
    /// Requests that the node admitted without a token of the owner. Cumulative, wraps around.
    std::uint32_t admitted = 0;
    /// Those of them that no owner has acknowledged yet. An owner that doesn't know the node debits only these.
    std::uint32_t unacknowledged = 0;
    /// Requests that arrived, refused ones included. Cumulative, wraps around.
    std::uint32_t arrived = 0;
    /// Number of the token request, above those before; 0 for a report without one. A repeated request has the same number.
    std::uint32_t request = 0;
    /// Tokens requested.
    std::uint32_t wanted = 0;
};

/// Answer of the owner to a report, or its notice that the bucket has become low.
struct CustomerGrant
{
    CustomerKey customer = 0;
    /// CustomerReport::admitted up to which the bucket was debited.
    std::uint32_t acknowledged = 0;
    /// Number of the answered token request; 0 for none.
    std::uint32_t request = 0;
    std::uint32_t granted = 0;
    /// The bucket is low: requests need tokens.
    bool isLow = false;
    /// Time until further tokens, if fewer were granted than wanted.
    Duration denyFor{0};
    /// Arrivals per second over all nodes in percent of the limit.
    std::uint32_t usePercent = 0;
};

/// Content of one datagram.
struct CustomerMessage
{
    NodeId from;
    /// Start of the sending process in milliseconds since the Unix epoch.
    std::uint64_t boot = 0;
    /// Increases with each message of a process.
    std::uint64_t sequence = 0;
    std::vector<CustomerReport> reports;
    std::vector<CustomerGrant> grants;
};

/// Maximum number of reports and of grants in one message, so that it fits into a datagram.
constexpr std::size_t kMaxCustomerItems = 16;

/// A message to send.
struct OutgoingCustomerMessage
{
    NodeId to;
    CustomerMessage message;
};

// Owner

/// Token buckets of the customers that this node owns.
class CustomerOwner
{
public:
    CustomerOwner(const CustomerMembers &members, std::uint64_t boot);
    ~CustomerOwner();

    /// Replaces the limits of all customers. Buckets are clamped to lowered limits.
    void setLimits(TimePoint now, std::vector<CustomerLimit> limits);

    /// Drops the buckets of customers that this node no longer owns. Call it after CustomerMembers::setMembers().
    void onMembersChanged();
    /// Drops all buckets.
    void clear();

    /// Handles the reports of @a message and appends the answers to @a out.
    void onMessage(TimePoint now, const CustomerMessage &message, std::vector<OutgoingCustomerMessage> &out);

    /// Drops buckets and nodes that haven't been heard of for a while; call it every few seconds.
    void evictIdle(TimePoint now);

    std::size_t bucketCount() const;

    /// Returns the tokens in the bucket of @a customer, or nothing without a bucket.
    std::optional<double> tokens(TimePoint now, CustomerKey customer) const;

private:
    struct Account;
    struct Bucket;

    Bucket *bucketOf(TimePoint now, CustomerKey customer);
    const CustomerLimit *limitOf(CustomerKey customer) const;
    void refill(TimePoint now, Bucket &bucket) const;
    void debit(TimePoint now, Bucket &bucket, Account &account, bool isKnown, const CustomerReport &report) const;
    CustomerGrant makeGrant(TimePoint now, const Bucket &bucket, const Account &account, const CustomerReport &report) const;
    void updateLow(TimePoint now, Bucket &bucket, NodeId reporter, std::vector<OutgoingCustomerMessage> &out);
    void send(NodeId to, const CustomerGrant &grant, std::vector<OutgoingCustomerMessage> &out);

    const CustomerMembers &m_members;
    std::uint64_t m_boot;
    std::uint64_t m_sequence = 0;
    /// Sorted by customer.
    std::vector<CustomerLimit> m_limits;
    std::unordered_map<CustomerKey, std::unique_ptr<Bucket>> m_buckets;
};

// Node

enum class RateLimitVerdict : std::uint8_t {
    Admitted,
    Refused,
    Waiting,
    Count,
};

struct RateLimitDecision
{
    RateLimitVerdict verdict = RateLimitVerdict::Admitted;
    /// For Refused: when a request has a chance again.
    Duration retryAfter{0};
};

/// Decision on a request that was waiting.
struct ResolvedRequest
{
    std::uint64_t ticket = 0;
    RateLimitDecision decision;
};

/// How a node decides on the requests of a customer.
enum class CustomerMode : std::uint8_t {
    /// Admits at once and reports to the owner.
    Open,
    /// Asks the owner for tokens.
    Metered,
    /// The owner doesn't answer: spends this node's share of the limit.
    Detached,
    Count,
};

struct CustomerModeRow
{
    std::string_view name;
};

const CustomerModeRow &rowOf(CustomerMode value);

/// Counters since the start of the process.
struct CustomerCounters
{
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t waited = 0;
    /// Waiting requests that the local bucket decided because the owner didn't answer.
    std::uint64_t ownerTimeouts = 0;
    /// Changes to each mode.
    std::array<std::uint64_t, static_cast<std::size_t>(CustomerMode::Count)> modeChanges{};
};

/// A change of mode, for the log.
struct CustomerModeChange
{
    CustomerKey customer = 0;
    CustomerMode mode = CustomerMode::Open;
    NodeId owner;
};

/// Decides on the requests of customers that reach this node.
class CustomerNode
{
public:
    CustomerNode(const CustomerMembers &members, std::uint64_t boot);
    ~CustomerNode();

    /// Decides on a request.
    /// @param ticket identifies a request that has to wait; its decision is appended to @a resolved by a later call of any function
    RateLimitDecision admit(TimePoint now, Random &random, const CustomerLimit &limit, std::uint64_t ticket,
                            std::vector<OutgoingCustomerMessage> &out);

    /// Drops a waiting request.
    void abandon(CustomerKey customer, std::uint64_t ticket);

    /// Handles the grants of @a message.
    void onMessage(TimePoint now, const CustomerMessage &message, std::vector<OutgoingCustomerMessage> &out,
                   std::vector<ResolvedRequest> &resolved);

    /// Sends due reports, repeats unanswered requests and decides on requests that have waited long enough.
    void onTimer(TimePoint now, Random &random, std::vector<OutgoingCustomerMessage> &out, std::vector<ResolvedRequest> &resolved);

    /// Returns when onTimer() has to be called, or nothing while there is no need.
    std::optional<TimePoint> nextEvent() const;

    /// Returns the customer's arrivals per second over all nodes divided by its limit, as its owner stated lately; 0 if unknown.
    double use(TimePoint now, CustomerKey customer) const;

    /// Returns the mode for @a customer, or nothing if it hasn't been seen recently.
    std::optional<CustomerMode> mode(CustomerKey customer) const;

    std::size_t recordCount() const;
    std::size_t detachedCount() const;
    std::size_t waitingCount() const;
    const CustomerCounters &counters() const;
    /// Returns the changes of mode since the last call; only the first ones if there were many.
    std::vector<CustomerModeChange> takeModeChanges();

    /// Bytes of state for one customer, without those of waiting requests.
    static const std::size_t kRecordBytes;

private:
    struct Record;

    Record &recordOf(TimePoint now, const CustomerLimit &limit);
    void updateOwner(TimePoint now, Record &record);
    void setMode(Record &record, CustomerMode mode);
    void activate(Record &record);
    RateLimitDecision admitOpen(TimePoint now, Record &record, std::vector<OutgoingCustomerMessage> &out);
    RateLimitDecision admitDetached(TimePoint now, Random &random, Record &record, std::vector<OutgoingCustomerMessage> &out);
    RateLimitDecision admitMetered(TimePoint now, Record &record, std::uint64_t ticket, std::vector<OutgoingCustomerMessage> &out);
    RateLimitDecision countAdmitted();
    RateLimitDecision refuse(TimePoint now, Record &record);
    void countUnreported(TimePoint now, Record &record, std::vector<OutgoingCustomerMessage> &out);
    void sendReport(TimePoint now, Record &record, std::uint32_t wanted, std::vector<OutgoingCustomerMessage> &out);
    void askForTokens(TimePoint now, Record &record, std::vector<OutgoingCustomerMessage> &out);
    double shareOf(TimePoint now) const;
    void refillLocal(TimePoint now, Record &record) const;
    bool takeLocalToken(TimePoint now, Random &random, Record &record) const;
    void resolve(Record &record, std::size_t count, const RateLimitDecision &decision, std::vector<ResolvedRequest> &resolved);
    void resolveLocally(TimePoint now, Random &random, Record &record, std::vector<ResolvedRequest> &resolved);
    void refuseWaiting(TimePoint now, Record &record, std::size_t count, std::vector<ResolvedRequest> &resolved);
    void applyGrant(TimePoint now, const CustomerMessage &message, const CustomerGrant &grant, std::vector<OutgoingCustomerMessage> &out,
                    std::vector<ResolvedRequest> &resolved);
    void spendGrant(TimePoint now, Record &record, const CustomerGrant &grant, std::vector<ResolvedRequest> &resolved);
    std::optional<TimePoint> dueAt(const Record &record) const;
    void runTimers(TimePoint now, Random &random, Record &record, std::vector<OutgoingCustomerMessage> &out,
                   std::vector<ResolvedRequest> &resolved);
    void detach(TimePoint now, Random &random, Record &record, std::vector<ResolvedRequest> &resolved);
    void evictIdle(TimePoint now);

    const CustomerMembers &m_members;
    std::uint64_t m_boot;
    std::uint64_t m_sequence = 0;
    std::unordered_map<CustomerKey, std::unique_ptr<Record>> m_records;
    /// Records with a report or token request to send, or waiting requests.
    std::vector<Record *> m_active;
    TimePoint m_evictAt{};
    std::size_t m_waiting = 0;
    CustomerCounters m_counters;
    std::vector<CustomerModeChange> m_modeChanges;
};

// Both

/// What a step of a CustomerLimiter leaves to its driver.
struct CustomerOutput
{
    /// Messages to other nodes.
    std::vector<OutgoingCustomerMessage> messages;
    std::vector<ResolvedRequest> resolved;
};

/// Owner and node of one process. Messages to itself are handled at once, so that the owner decides on its own requests without waiting.
class CustomerLimiter
{
public:
    CustomerLimiter(NodeId self, std::uint64_t boot, TimePoint startedAt);

    void setMembers(TimePoint now, std::vector<CustomerMember> members);
    void setLimits(TimePoint now, std::vector<CustomerLimit> limits);
    void setContacts(const CustomerContacts &contacts);
    /// Gives all buckets up after a pause of the process that was long enough for others to have owned its customers.
    void onPaused(TimePoint now);

    /// Decides on a request; see CustomerNode::admit().
    RateLimitDecision admit(TimePoint now, Random &random, const CustomerLimit &limit, std::uint64_t ticket, CustomerOutput &output);
    void abandon(CustomerKey customer, std::uint64_t ticket);
    void onMessage(TimePoint now, const CustomerMessage &message, CustomerOutput &output);
    void onTimer(TimePoint now, Random &random, CustomerOutput &output);
    std::optional<TimePoint> nextEvent() const;

    const CustomerMembers &members() const
    {
        return m_members;
    }
    const CustomerOwner &owner() const
    {
        return m_owner;
    }
    const CustomerNode &node() const
    {
        return m_node;
    }
    std::vector<CustomerModeChange> takeModeChanges();

private:
    void handleOwnMessages(TimePoint now, CustomerOutput &output);

    CustomerMembers m_members;
    CustomerOwner m_owner;
    CustomerNode m_node;
    TimePoint m_evictAt;
};

/// Longest time that a request waits for tokens.
constexpr Duration kCustomerHold = std::chrono::milliseconds(250);
/// Maximum number of requests that wait on one node; further ones are refused.
constexpr std::size_t kMaxCustomerWaiting = 512;

} // namespace chicoryspar
