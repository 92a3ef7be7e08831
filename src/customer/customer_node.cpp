/// @file
/// Modes in which a node decides on the requests of a customer.

#include "customer/customer_bucket.h"

#include <chicoryspar/customer.h>

#include <algorithm>
#include <utility>

namespace chicoryspar {
namespace {

/// A report waits this long for further requests.
constexpr Duration kReportTime = std::chrono::milliseconds(100);
/// The same where the number of unreported requests is bounded by kUnreportedFraction of the bucket.
constexpr Duration kLongReportTime = std::chrono::milliseconds(400);
/// Fraction of the bucket that all nodes together may have admitted without a report.
constexpr double kUnreportedFraction = 0.25;
/// An unacknowledged report is repeated, and a detached node tries its owner again, after this time.
constexpr Duration kRepeatTime = std::chrono::milliseconds(200);
constexpr Duration kProbeTime = std::chrono::milliseconds(500);
/// Without an answer a token request is sent again after this time, which is longer than a round trip between regions. When the last of
/// kRequestTries isn't answered in time, the local bucket decides. With two tries and 5 % loss, 1 % of the requests got no answer.
constexpr Duration kRepeatRequestTime = std::chrono::milliseconds(75);
constexpr std::uint8_t kRequestTries = 3;
/// An owner that hasn't answered for this time counts as unreachable.
constexpr Duration kDetachTime = std::chrono::milliseconds(500);
/// While an answer is missing for this time, requests ask for tokens. Longer than a round trip between regions; a lost message costs a
/// wait.
constexpr Duration kDoubtTime = std::chrono::milliseconds(150);
/// For this time without an answer, a node spends only this fraction of its share: owners that this node can't reach still grant the whole
/// limit until the membership suspects it. With 0.35, a customer whose demand rose when a third of the nodes was cut off with its owner
/// exceeded the bound by 2 % in the model.
constexpr Duration kReducedTime = std::chrono::seconds(4);
constexpr double kReducedFraction = 0.25;
/// After an answer of the owner, a node that admits without asking may go on for this time. The owner notifies it for longer.
constexpr Duration kOpenTime = std::chrono::seconds(30);
/// A record is kept for this time after the last request; longer than the owner keeps what it knows about the node.
constexpr Duration kIdleTime = std::chrono::seconds(90);
constexpr Duration kEvictPeriod = std::chrono::seconds(5);
/// Figures of the owner are used for this time.
constexpr Duration kFigureTime = std::chrono::seconds(10);
/// Tokens granted for requests that are still to come are kept for this time.
constexpr Duration kSpareTime = std::chrono::milliseconds(300);
/// Maximum number of tokens requested ahead, for as many requests as were refused since the last token request.
constexpr std::uint32_t kMaxAhead = 16;
/// Longest Retry-After.
constexpr Duration kMaxRetryAfter = std::chrono::seconds(3);
constexpr std::size_t kMaxModeChanges = 64;
constexpr double kPercent = 100;

constexpr std::array<CustomerModeRow, static_cast<std::size_t>(CustomerMode::Count)> kModes{{{"open"}, {"metered"}, {"detached"}}};

double secondsOf(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

bool isAfter(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

void lower(std::optional<TimePoint> &value, std::optional<TimePoint> other)
{
    if (other && (!value || *other < *value)) {
        value = other;
    }
}

} // namespace

const CustomerModeRow &rowOf(CustomerMode value)
{
    return kModes.at(static_cast<std::size_t>(value));
}

struct CustomerNode::Record
{
    struct Waiting
    {
        std::uint64_t ticket = 0;
        TimePoint since;
    };

    CustomerKey customer = 0;
    float requestsPerSecond = 0;
    float burst = 0;
    NodeId owner;
    std::uint64_t ownerBoot = 0;
    /// Sequence of the newest message of the owner, which decides on the mode.
    std::uint64_t ownerSequence = 0;
    std::uint32_t generation = 0;
    CustomerMode mode = CustomerMode::Metered;
    /// A token request is in flight.
    bool isAsking = false;
    std::uint8_t tries = 0;
    /// The owner denied tokens for a moment although the customer keeps its limit: its requests wait.
    bool waitsForTokens = false;
    bool isActive = false;
    /// Counters of CustomerReport, and up to where reports were sent and acknowledged.
    std::uint32_t admitted = 0;
    std::uint32_t arrived = 0;
    std::uint32_t reported = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t request = 0;
    std::uint32_t wanted = 0;
    std::uint32_t refusedSinceRequest = 0;
    std::uint32_t spare = 0;
    std::uint32_t usePercent = 0;
    float localTokens = 0;
    TimePoint localAt{};
    TimePoint usedAt{};
    TimePoint answeredAt{};
    TimePoint requestedAt{};
    TimePoint spareUntil{};
    TimePoint denyUntil{};
    TimePoint nextSlot{};
    /// Time of the first message that the owner hasn't answered, of the next report and of the next token request, or TimePoint::max().
    TimePoint unansweredSince = TimePoint::max();
    TimePoint reportAt = TimePoint::max();
    TimePoint requestAt = TimePoint::max();
    std::vector<Waiting> waiting;
};

const std::size_t CustomerNode::kRecordBytes = sizeof(CustomerNode::Record) + sizeof(CustomerKey) + 3 * sizeof(void *);

CustomerNode::CustomerNode(const CustomerMembers &members, std::uint64_t boot)
    : m_members(members)
    , m_boot(boot)
{
}

CustomerNode::~CustomerNode() = default;

// Records

CustomerNode::Record &CustomerNode::recordOf(TimePoint now, const CustomerLimit &limit)
{
    auto &record = m_records[limit.customer];
    if (!record) {
        // Requires that a customer costs a node less than 256 bytes.
        static_assert(sizeof(Record) + sizeof(CustomerKey) + 3 * sizeof(void *) < 256);
        record = std::make_unique<Record>();
        record->customer = limit.customer;
        record->localAt = now;
        if (!m_members.isSettled(now) && m_members.shareCount(now) > 0) {
            // No owner has granted anything since the start, and the owner debits what this node spends.
            record->localAt = m_members.startedAt();
            record->localTokens = static_cast<float>(shareOf(now) * startTokens(limit.requestsPerSecond, limit.burst));
        }
    }
    record->requestsPerSecond = static_cast<float>(limit.requestsPerSecond);
    record->burst = static_cast<float>(limit.burst);
    record->usedAt = now;
    updateOwner(now, *record);
    return *record;
}

/// Starts again with another owner, which learns from the next report what no owner has acknowledged.
void CustomerNode::updateOwner(TimePoint now, Record &record)
{
    if (record.generation == m_members.generation()) {
        return;
    }
    record.generation = m_members.generation();
    const auto owner = m_members.ownerOf(record.customer);
    if (owner == record.owner) {
        return;
    }
    record.owner = owner;
    record.ownerBoot = 0;
    record.ownerSequence = 0;
    record.unansweredSince = TimePoint::max();
    record.isAsking = false;
    record.denyUntil = now;
    setMode(record, CustomerMode::Metered);
    record.requestAt = record.waiting.empty() ? TimePoint::max() : now;
    record.reportAt = record.admitted != record.acknowledged ? now : TimePoint::max();
    activate(record);
}

void CustomerNode::setMode(Record &record, CustomerMode mode)
{
    if (record.mode == mode) {
        return;
    }
    record.mode = mode;
    ++m_counters.modeChanges.at(static_cast<std::size_t>(mode));
    if (m_modeChanges.size() < kMaxModeChanges) {
        m_modeChanges.push_back({record.customer, mode, record.owner});
    }
}

void CustomerNode::activate(Record &record)
{
    if (!record.isActive) {
        record.isActive = true;
        m_active.push_back(&record);
    }
}

void CustomerNode::evictIdle(TimePoint now)
{
    std::erase_if(m_records, [now](const auto &it) { return !it.second->isActive && now - it.second->usedAt >= kIdleTime; });
    m_evictAt = now + kEvictPeriod;
}

// Decisions

RateLimitDecision CustomerNode::admit(TimePoint now, Random &random, const CustomerLimit &limit, std::uint64_t ticket,
                                      std::vector<OutgoingCustomerMessage> &out)
{
    if (limit.requestsPerSecond <= 0) {
        return {};
    }
    auto &record = recordOf(now, limit);
    ++record.arrived;
    if (record.mode == CustomerMode::Detached) {
        return admitDetached(now, random, record, out);
    }
    const bool isDoubtful = record.unansweredSince != TimePoint::max() && now - record.unansweredSince >= kDoubtTime;
    const bool mayAdmit =
        record.mode == CustomerMode::Open && !isDoubtful && now - record.answeredAt < kOpenTime && record.owner != m_members.self();
    return mayAdmit ? admitOpen(now, record, out) : admitMetered(now, record, ticket, out);
}

RateLimitDecision CustomerNode::countAdmitted()
{
    ++m_counters.admitted;
    return {};
}

/// Returns a refusal. Each states a later time, at the rate at which this node can expect tokens.
RateLimitDecision CustomerNode::refuse(TimePoint now, Record &record)
{
    ++m_counters.refused;
    ++record.refusedSinceRequest;
    const auto perSecond = record.requestsPerSecond * shareOf(now);
    record.nextSlot = std::max({record.nextSlot, record.denyUntil, now})
        + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond));
    record.nextSlot = std::min(record.nextSlot, now + kMaxRetryAfter);
    return {.verdict = RateLimitVerdict::Refused, .retryAfter = record.nextSlot - now};
}

RateLimitDecision CustomerNode::admitOpen(TimePoint now, Record &record, std::vector<OutgoingCustomerMessage> &out)
{
    countUnreported(now, record, out);
    return countAdmitted();
}

/// Counts a request that was admitted without a token, and reports it now or later.
void CustomerNode::countUnreported(TimePoint now, Record &record, std::vector<OutgoingCustomerMessage> &out)
{
    ++record.admitted;
    const auto perNode = kUnreportedFraction * bucketCapacity(record.burst) / static_cast<double>(m_members.count(now));
    const bool isCounted = perNode >= 2;
    if (isCounted && record.admitted - record.reported >= static_cast<std::uint32_t>(perNode)) {
        sendReport(now, record, 0, out);
        return;
    }
    record.reportAt = std::min(record.reportAt, now + (isCounted ? kLongReportTime : kReportTime));
    activate(record);
}

RateLimitDecision CustomerNode::admitDetached(TimePoint now, Random &random, Record &record, std::vector<OutgoingCustomerMessage> &out)
{
    if (now >= record.requestedAt + kProbeTime) {
        sendReport(now, record, 0, out);
    }
    if (!takeLocalToken(now, random, record)) {
        return refuse(now, record);
    }
    ++record.admitted;
    return countAdmitted();
}

RateLimitDecision CustomerNode::admitMetered(TimePoint now, Record &record, std::uint64_t ticket, std::vector<OutgoingCustomerMessage> &out)
{
    if (record.spare > 0 && now < record.spareUntil) {
        --record.spare;
        return countAdmitted();
    }
    const bool isDenied = now < record.denyUntil && !record.waitsForTokens;
    if (isDenied || m_waiting >= kMaxCustomerWaiting) {
        return refuse(now, record);
    }
    ++m_counters.waited;
    ++m_waiting;
    record.waiting.push_back({ticket, now});
    activate(record);
    if (now < record.denyUntil) {
        record.requestAt = record.denyUntil;
    } else if (!record.isAsking) {
        askForTokens(now, record, out);
    }
    return {.verdict = RateLimitVerdict::Waiting};
}

void CustomerNode::abandon(CustomerKey customer, std::uint64_t ticket)
{
    const auto it = m_records.find(customer);
    if (it != m_records.end()) {
        m_waiting -= std::erase_if(it->second->waiting, [ticket](const auto &waiting) { return waiting.ticket == ticket; });
    }
}

// Local bucket

/// Returns the share of a limit that belongs to one node. Demand at this node doesn't change it: for most customers a node sees too few
/// requests, so that the nodes' estimates of their shares would add up to more than the limit.
double CustomerNode::shareOf(TimePoint now) const
{
    return 1 / static_cast<double>(std::max(m_members.count(now), m_members.shareCount(now)));
}

void CustomerNode::refillLocal(TimePoint now, Record &record) const
{
    // Tokens that came up while the owner was reachable were spent there.
    const auto share = shareOf(now);
    const auto base = share * detachedTokens(record.requestsPerSecond, record.burst);
    const bool isDetached = record.mode == CustomerMode::Detached;
    // Until the nodes know each other, no owner grants anything that would add up with this.
    const bool isStarting = !m_members.isSettled(now);
    const auto capacity = isDetached || isStarting ? std::max(1.0, base + share * record.burst) : base;
    const auto fraction = isStarting || (isDetached && now - record.unansweredSince >= kReducedTime) ? 1 : kReducedFraction;
    const auto refilled = record.localTokens + secondsOf(now - record.localAt) * record.requestsPerSecond * share * fraction;
    record.localTokens = static_cast<float>(std::min(capacity, refilled));
    record.localAt = now;
}

/// Spends this node's share of the limit. A fraction of a token admits a request with that probability and is lost otherwise, since the
/// shares of most customers are far below one request.
bool CustomerNode::takeLocalToken(TimePoint now, Random &random, Record &record) const
{
    if (m_members.shareCount(now) == 0) {
        // The number of nodes isn't known yet.
        record.localAt = now;
        return false;
    }
    refillLocal(now, record);
    const auto tokens = record.localTokens;
    record.localTokens = std::max(0.0F, tokens - 1);
    return tokens >= 1 || drawUnit(random) < tokens;
}

void CustomerNode::detach(TimePoint now, Random &random, Record &record, std::vector<ResolvedRequest> &resolved)
{
    refillLocal(now, record);
    record.isAsking = false;
    setMode(record, CustomerMode::Detached);
    resolveLocally(now, random, record, resolved);
}

// Messages to the owner

void CustomerNode::sendReport(TimePoint now, Record &record, std::uint32_t wanted, std::vector<OutgoingCustomerMessage> &out)
{
    const CustomerReport report{.customer = record.customer,
                                .admitted = record.admitted,
                                .unacknowledged = record.admitted - record.acknowledged,
                                .arrived = record.arrived,
                                .request = wanted > 0 ? record.request : 0,
                                .wanted = wanted};
    record.reported = record.admitted;
    record.requestedAt = now;
    record.unansweredSince = std::min(record.unansweredSince, now);
    record.reportAt = record.admitted != record.acknowledged ? now + kRepeatTime : TimePoint::max();
    activate(record);
    const auto it = std::find_if(out.begin(), out.end(), [&record](const auto &outgoing) {
        return outgoing.to == record.owner && outgoing.message.grants.empty() && outgoing.message.reports.size() < kMaxCustomerItems;
    });
    if (it != out.end()) {
        it->message.reports.push_back(report);
        return;
    }
    out.push_back({record.owner, {.from = m_members.self(), .boot = m_boot, .sequence = ++m_sequence, .reports = {report}}});
}

/// Requests tokens for the waiting requests and, if requests were refused since the last time, for as many that will follow.
void CustomerNode::askForTokens(TimePoint now, Record &record, std::vector<OutgoingCustomerMessage> &out)
{
    const bool isFrequent = now - record.denyUntil < kSpareTime;
    const auto ahead = isFrequent ? std::min(record.refusedSinceRequest, kMaxAhead) : 0;
    record.refusedSinceRequest = 0;
    record.wanted = static_cast<std::uint32_t>(record.waiting.size()) + ahead;
    ++record.request;
    record.isAsking = true;
    record.tries = 1;
    record.requestAt = TimePoint::max();
    sendReport(now, record, record.wanted, out);
}

// Messages of the owner

void CustomerNode::onMessage(TimePoint now, const CustomerMessage &message, std::vector<OutgoingCustomerMessage> &out,
                             std::vector<ResolvedRequest> &resolved)
{
    for (const auto &it : message.grants) {
        applyGrant(now, message, it, out, resolved);
    }
}

void CustomerNode::applyGrant(TimePoint now, const CustomerMessage &message, const CustomerGrant &grant,
                              std::vector<OutgoingCustomerMessage> &out, std::vector<ResolvedRequest> &resolved)
{
    const auto found = m_records.find(grant.customer);
    if (found == m_records.end() || found->second->owner != message.from) {
        return;
    }
    auto &record = *found->second;
    const bool isNewest = message.boot > record.ownerBoot || (message.boot == record.ownerBoot && message.sequence > record.ownerSequence);
    if (isAfter(grant.acknowledged, record.acknowledged) && !isAfter(grant.acknowledged, record.admitted)) {
        record.acknowledged = grant.acknowledged;
    }
    if (record.acknowledged == record.admitted) {
        record.reportAt = TimePoint::max();
    }
    if (isNewest) {
        record.ownerBoot = message.boot;
        record.ownerSequence = message.sequence;
        record.answeredAt = now;
        record.usePercent = grant.usePercent;
        setMode(record, grant.isLow ? CustomerMode::Metered : CustomerMode::Open);
    }
    if (grant.request != 0 && grant.request == record.request) {
        spendGrant(now, record, grant, resolved);
    }
    const bool isUnanswered = record.isAsking || record.acknowledged != record.reported;
    record.unansweredSince = isUnanswered ? now : TimePoint::max();
    if (record.waiting.empty() || record.isAsking) {
        return;
    }
    if (record.mode == CustomerMode::Open && record.owner != m_members.self()) {
        for (std::size_t n = 0; n < record.waiting.size(); ++n) {
            countUnreported(now, record, out);
        }
        resolve(record, record.waiting.size(), {}, resolved);
    } else if (now >= record.denyUntil) {
        askForTokens(now, record, out);
    }
}

void CustomerNode::spendGrant(TimePoint now, Record &record, const CustomerGrant &grant, std::vector<ResolvedRequest> &resolved)
{
    if (!record.isAsking && record.wanted == 0) {
        // A repeated answer.
        return;
    }
    record.isAsking = false;
    const auto granted = std::min(grant.granted, record.wanted);
    const auto denyFor = std::clamp(grant.denyFor, Duration{0}, kMaxRetryAfter);
    const auto count = std::min<std::size_t>(granted, record.waiting.size());
    resolve(record, count, {}, resolved);
    record.spare = granted - static_cast<std::uint32_t>(count);
    record.spareUntil = now + kSpareTime;
    const bool isDenied = granted < record.wanted;
    record.wanted = 0;
    record.waitsForTokens = false;
    if (!isDenied) {
        return;
    }
    record.denyUntil = now + denyFor;
    record.waitsForTokens = grant.usePercent <= kPercent && denyFor < kCustomerHold;
    if (!record.waitsForTokens) {
        refuseWaiting(now, record, record.waiting.size(), resolved);
    } else if (!record.waiting.empty()) {
        record.requestAt = record.denyUntil;
    }
}

// Waiting requests

void CustomerNode::resolve(Record &record, std::size_t count, const RateLimitDecision &decision, std::vector<ResolvedRequest> &resolved)
{
    for (std::size_t n = 0; n < count; ++n) {
        resolved.push_back({record.waiting[n].ticket, decision});
    }
    m_counters.admitted += decision.verdict == RateLimitVerdict::Admitted ? count : 0;
    m_waiting -= count;
    record.waiting.erase(record.waiting.begin(), record.waiting.begin() + static_cast<std::ptrdiff_t>(count));
}

void CustomerNode::refuseWaiting(TimePoint now, Record &record, std::size_t count, std::vector<ResolvedRequest> &resolved)
{
    for (std::size_t n = 0; n < count; ++n) {
        resolve(record, 1, refuse(now, record), resolved);
    }
}

void CustomerNode::resolveLocally(TimePoint now, Random &random, Record &record, std::vector<ResolvedRequest> &resolved)
{
    m_counters.ownerTimeouts += record.waiting.size();
    while (!record.waiting.empty()) {
        if (takeLocalToken(now, random, record)) {
            ++record.admitted;
            record.reportAt = std::min(record.reportAt, now + kRepeatTime);
            activate(record);
            resolve(record, 1, {}, resolved);
        } else {
            refuseWaiting(now, record, 1, resolved);
        }
    }
}

// Timers

std::optional<TimePoint> CustomerNode::dueAt(const Record &record) const
{
    std::optional<TimePoint> due;
    const auto consider = [&due](TimePoint at) {
        if (at != TimePoint::max()) {
            lower(due, at);
        }
    };
    consider(record.reportAt);
    consider(record.requestAt);
    if (record.isAsking) {
        consider(record.requestedAt + kRepeatRequestTime);
    }
    if (!record.waiting.empty()) {
        consider(record.waiting.front().since + kCustomerHold);
    }
    if (record.mode != CustomerMode::Detached && record.unansweredSince != TimePoint::max()) {
        consider(record.unansweredSince + kDetachTime);
    }
    return due;
}

void CustomerNode::runTimers(TimePoint now, Random &random, Record &record, std::vector<OutgoingCustomerMessage> &out,
                             std::vector<ResolvedRequest> &resolved)
{
    updateOwner(now, record);
    if (record.mode != CustomerMode::Detached && record.unansweredSince != TimePoint::max()
        && now - record.unansweredSince >= kDetachTime) {
        detach(now, random, record, resolved);
    }
    if (record.isAsking && now >= record.requestedAt + kRepeatRequestTime) {
        if (record.tries < kRequestTries) {
            ++record.tries;
            sendReport(now, record, record.wanted, out);
        } else {
            record.isAsking = false;
            resolveLocally(now, random, record, resolved);
        }
    }
    if (now >= record.requestAt) {
        record.requestAt = TimePoint::max();
        if (!record.waiting.empty() && !record.isAsking) {
            askForTokens(now, record, out);
        }
    }
    while (!record.waiting.empty() && now - record.waiting.front().since >= kCustomerHold) {
        refuseWaiting(now, record, 1, resolved);
    }
    if (now >= record.reportAt) {
        const bool isUsed = now - record.usedAt < kFigureTime;
        record.reportAt = TimePoint::max();
        if (isUsed && record.admitted != record.acknowledged) {
            sendReport(now, record, 0, out);
            record.reportAt = now + (record.mode == CustomerMode::Detached ? kProbeTime : kRepeatTime);
        }
    }
}

void CustomerNode::onTimer(TimePoint now, Random &random, std::vector<OutgoingCustomerMessage> &out, std::vector<ResolvedRequest> &resolved)
{
    for (std::size_t n = 0; n < m_active.size();) {
        auto &record = *m_active[n];
        runTimers(now, random, record, out, resolved);
        if (dueAt(record)) {
            ++n;
            continue;
        }
        record.isActive = false;
        m_active[n] = m_active.back();
        m_active.pop_back();
    }
    if (now >= m_evictAt) {
        evictIdle(now);
    }
}

std::optional<TimePoint> CustomerNode::nextEvent() const
{
    std::optional<TimePoint> next;
    for (const auto *it : m_active) {
        lower(next, dueAt(*it));
    }
    if (!m_records.empty()) {
        lower(next, m_evictAt);
    }
    return next;
}

// Views

double CustomerNode::use(TimePoint now, CustomerKey customer) const
{
    const auto it = m_records.find(customer);
    return it != m_records.end() && now - it->second->answeredAt < kFigureTime ? it->second->usePercent / kPercent : 0;
}

std::optional<CustomerMode> CustomerNode::mode(CustomerKey customer) const
{
    const auto it = m_records.find(customer);
    return it != m_records.end() ? std::optional(it->second->mode) : std::nullopt;
}

std::size_t CustomerNode::recordCount() const
{
    return m_records.size();
}

std::size_t CustomerNode::detachedCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(), [](const auto &it) { return it.second->mode == CustomerMode::Detached; }));
}

std::size_t CustomerNode::waitingCount() const
{
    return m_waiting;
}

const CustomerCounters &CustomerNode::counters() const
{
    return m_counters;
}

std::vector<CustomerModeChange> CustomerNode::takeModeChanges()
{
    return std::exchange(m_modeChanges, {});
}

} // namespace chicoryspar
