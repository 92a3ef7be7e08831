/// @file
/// Tests of the rate limits of customers on a model of 87 nodes: the bound in each sliding window, full use of the limit, and faults.

#include "customer_model.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

/// Usual demand and demand of a hot customer, in multiples of its limit.
constexpr double kUsual = 0.62;
constexpr double kHot = 3.9;

const std::array<std::pair<double, double>, 5> kLimits{{{5, 5}, {20, 20}, {60, 60}, {200, 100}, {550, 550}}};

} // namespace

// Guards against refusals below the limit on account of random arrivals or of the distribution over nodes.
TEST(CustomerLimits, RefuseNobodyBelowTheLimit)
{
    for (const auto &[rate, burst] : kLimits) {
        for (const auto use : {kUsual, 0.9}) {
            CustomerModel model({.seed = 1, .requestsPerSecond = rate, .burst = burst});
            model.run(45s, rate * use);
            EXPECT_EQ(model.refused, 0U) << rate << " at " << use;
            EXPECT_LT(model.longestWait, 60ms);
        }
    }
}

// Guards against admissions beyond the bound before the owner knows of them, and against unused tokens while the limit is exceeded.
TEST(CustomerLimits, HotCustomerGetsItsLimitAndNoMore)
{
    for (const auto &[rate, burst] : kLimits) {
        for (const auto loss : {0.0, 0.05}) {
            CustomerModel model(
                {.seed = 2, .requestsPerSecond = rate, .burst = burst, .lossProbability = loss, .duplicateProbability = loss});
            model.run(10s, rate * kUsual);
            model.run(3s, rate * kHot);
            model.resetCounts();
            model.run(20s, rate * kHot);
            EXPECT_GE(static_cast<double>(model.admitted), 0.97 * rate * 20) << rate << " loss " << loss;
            EXPECT_LE(model.worstExcess(), 0) << rate << " loss " << loss;
            EXPECT_LE(model.longestWait, kCustomerHold);
        }
    }
}

// Guards against a second burst of the next owner, and against unlimited admission while there is none.
TEST(CustomerLimits, DeathOfTheOwnerKeepsTheBound)
{
    for (const auto &[rate, burst] : kLimits) {
        CustomerModel model({.seed = 3, .requestsPerSecond = rate, .burst = burst});
        model.run(5s, rate * kUsual);
        model.kill(model.ownerIndex());
        model.run(300ms, rate * kHot);
        model.spreadViews(6s);
        model.run(15s, rate * kHot);
        EXPECT_LE(model.worstExcess(), 0) << rate;
        model.resetCounts();
        model.run(10s, rate * kHot);
        EXPECT_GE(static_cast<double>(model.admitted), 0.97 * rate * 10) << rate;
    }
}

// Guards against both sides of a partition spending the whole limit, also after it ends. The owner is on either side.
TEST(CustomerLimits, PartitionOfAThirdKeepsTheBound)
{
    std::array<int, 2> ownersCut{};
    for (const auto &[rate, burst] : kLimits) {
        for (const std::uint64_t seed : {500, 503}) {
            CustomerModel model({.seed = seed, .requestsPerSecond = rate, .burst = burst});
            ++ownersCut.at(model.ownerIndex() < 29 ? 1 : 0);
            model.run(5s, rate * kUsual);
            model.partition(29);
            model.spreadViews(6s);
            model.run(15s, rate * kHot);
            model.partition(0);
            model.spreadViews(1s);
            model.run(10s, rate * kHot);
            EXPECT_LE(model.worstExcess(), 0) << rate << " seed " << seed;
        }
    }
    EXPECT_GT(ownersCut[0], 0);
    EXPECT_GT(ownersCut[1], 0);
}

// Guards against a second owner that grants the whole limit: a node that starts while it is cut off has met no other node, but the store
// lists them. With up to a third of the nodes on its side, which started there too.
TEST(CustomerLimits, StartBehindAPartitionKeepsTheBound)
{
    for (const auto &[rate, burst] : kLimits) {
        for (const std::size_t cut : {1, 2}) {
            CustomerModel model({.seed = 7, .nodes = 6, .requestsPerSecond = rate, .burst = burst, .expectedNodes = 6});
            model.run(5s, rate * kHot);
            model.partition(cut);
            model.spreadViews(6s);
            for (std::size_t n = 0; n < cut; ++n) {
                model.start(n);
            }
            model.run(15s, rate * kHot);
            EXPECT_LE(model.worstExcess(), 0) << rate << " cut " << cut;
            model.partition(0);
            model.spreadViews(1s);
            model.run(10s, rate * kHot);
            EXPECT_LE(model.worstExcess(), 0) << rate << " cut " << cut << ", after it";
        }
    }
}

// A node that doesn't know yet whether it is alone grants nothing, however long that takes.
TEST(CustomerLimits, UnknownContactsAndNoMemberGrantNothing)
{
    Random random(1);
    const TimePoint start{1h};
    const CustomerLimit limit{.customer = 1, .requestsPerSecond = 100, .burst = 100};
    CustomerLimiter limiter(makeNodeId("a"), 1, start);
    limiter.setLimits(start, {limit});
    limiter.setContacts({.isKnown = false});
    limiter.setMembers(start, {{.node = makeNodeId("a"), .isPresent = true}});
    CustomerOutput output;
    std::uint64_t admitted = 0;
    const auto send = [&](TimePoint now) {
        admitted += limiter.admit(now, random, limit, 1, output).verdict == RateLimitVerdict::Admitted ? 1 : 0;
        limiter.onTimer(now, random, output);
    };
    for (auto now = start; now < start + 1min; now += 100ms) {
        send(now);
    }
    for (const auto &it : output.resolved) {
        admitted += it.decision.verdict == RateLimitVerdict::Admitted ? 1 : 0;
    }
    EXPECT_EQ(admitted, 0U);
    EXPECT_FALSE(limiter.members().isSettled(start + 1min));
    limiter.setContacts({.isKnown = true});
    EXPECT_TRUE(limiter.members().isSettled(start + 1min));
    send(start + 1min + 1s);
    EXPECT_EQ(admitted, 1U);
}

// Guards against a bucket that keeps tokens of a higher limit.
TEST(CustomerLimits, LoweredLimitBindsWithinOneWindow)
{
    CustomerModel model({.seed = 5, .requestsPerSecond = 200, .burst = 200});
    model.run(5s, 150);
    model.setLimit(40, 10);
    model.run(10s, 150);
    EXPECT_LE(model.worstExcess(model.now - 5s), 0);
}

// Guards against a second burst when all processes are killed and started again.
TEST(CustomerLimits, RestartOfAllNodesGrantsNoSecondBurst)
{
    for (const auto &[rate, burst] : kLimits) {
        CustomerModel model({.seed = 6, .requestsPerSecond = rate, .burst = burst});
        model.run(5s, rate * kUsual);
        model.run(1s, rate * kHot);
        model.killAll();
        model.run(200ms, rate * kHot);
        model.startAll();
        model.run(10s, rate * kHot);
        EXPECT_LE(model.worstExcess(), 0) << rate;
        model.resetCounts();
        model.run(10s, rate * kUsual);
        model.resetCounts();
        model.run(10s, rate * kUsual);
        EXPECT_EQ(model.refused, 0U) << rate;
    }
}

// Guards against a second of refusals below the limit after all processes were killed and started again: nodes that know from their store
// how many they are serve meanwhile, and settle earlier. Without that, 27 % of the requests of the first 3 s were refused.
TEST(CustomerLimits, RestartOfAllNodesServesSoon)
{
    std::uint64_t refused = 0;
    std::uint64_t arrived = 0;
    for (const auto &[rate, burst] : kLimits) {
        for (const std::uint64_t seed : {11, 12, 13, 14}) {
            CustomerModel model({.seed = seed, .requestsPerSecond = rate, .burst = burst, .expectedNodes = 87});
            model.run(5s, rate * kUsual);
            model.killAll();
            model.run(300ms, 0);
            model.resetCounts();
            model.startAll();
            model.run(3s, rate * kUsual);
            refused += model.refused;
            arrived += model.arrived;
        }
    }
    EXPECT_LT(static_cast<double>(refused), 0.08 * static_cast<double>(arrived));
}

// Guards against a second burst of nodes that spend their shares before they know each other, also where the store lists a third of them.
TEST(CustomerLimits, RestartWithExpectedNodesGrantsNoSecondBurst)
{
    for (const auto &[rate, burst] : kLimits) {
        for (const std::size_t expected : {87, 29}) {
            for (std::uint64_t seed = 20; seed < 25; ++seed) {
                CustomerModel model({.seed = seed, .requestsPerSecond = rate, .burst = burst, .expectedNodes = expected});
                model.run(5s, rate * kUsual);
                model.run(1s, rate * kHot);
                model.killAll();
                model.run(200ms, rate * kHot);
                model.startAll();
                model.run(10s, rate * kHot);
                EXPECT_LE(model.worstExcess(), 0) << rate << " of " << expected;
            }
        }
    }
}

// Guards against a loss of counts when a node restarts, and against admissions on a copy of a record that the owner has forgotten.
TEST(CustomerLimits, RestartedNodeReportsAgain)
{
    CustomerModel model({.seed = 7, .nodes = 3, .requestsPerSecond = 100, .burst = 100});
    model.run(5s, 60);
    const auto n = (model.ownerIndex() + 1) % 3;
    model.kill(n);
    model.run(100ms, 60);
    model.start(n);
    model.spreadViews(200ms);
    model.run(5s, 390);
    EXPECT_LE(model.worstExcess(), 0);
    EXPECT_EQ(model.limiter(n).node().mode(model.limit.customer), CustomerMode::Metered);
}

// Guards against memory that grows with the number of customers or with time.
TEST(CustomerLimits, IdleCustomersAreEvicted)
{
    const CustomerMembers members(makeNodeId("a"), TimePoint());
    EXPECT_LT(CustomerNode::kRecordBytes, 256U);
    CustomerLimiter limiter(makeNodeId("a"), 1, TimePoint());
    std::vector<CustomerLimit> limits;
    for (CustomerKey n = 0; n < 10'000; ++n) {
        limits.push_back({hashBytes(std::to_string(n)), 5, 5});
    }
    limiter.setLimits(TimePoint(), limits);
    Random random(1);
    auto now = TimePoint() + 10s;
    for (const auto &it : limits) {
        CustomerOutput output;
        EXPECT_EQ(limiter.admit(now, random, it, 1, output).verdict, RateLimitVerdict::Admitted);
    }
    EXPECT_EQ(limiter.node().recordCount(), 10'000U);
    for (const auto end = now + 3min; now < end; now += 1s) {
        CustomerOutput output;
        limiter.onTimer(now, random, output);
    }
    EXPECT_EQ(limiter.node().recordCount(), 0U);
    EXPECT_EQ(limiter.owner().bucketCount(), 0U);
}

// Guards against double debits: the same report, repeated and late, is debited once.
TEST(CustomerLimits, RepeatedReportsAreDebitedOnce)
{
    CustomerMembers members(makeNodeId("a"), TimePoint());
    CustomerOwner owner(members, 1);
    const CustomerLimit limit{1, 10, 100};
    auto now = TimePoint() + 1min;
    owner.setLimits(now, {limit});
    std::vector<OutgoingCustomerMessage> out;
    const auto report = [&](std::uint32_t admitted, std::uint32_t unacknowledged, std::uint32_t request, std::uint32_t wanted) {
        const CustomerReport value{limit.customer, admitted, unacknowledged, admitted, request, wanted};
        owner.onMessage(now, {.from = makeNodeId("b"), .boot = 5, .sequence = 1, .reports = {value}}, out);
    };
    report(20, 20, 0, 0);
    const auto full = *owner.tokens(now, limit.customer);
    report(20, 20, 0, 0);
    report(10, 10, 0, 0);
    EXPECT_EQ(*owner.tokens(now, limit.customer), full);
    report(25, 5, 1, 10);
    EXPECT_EQ(*owner.tokens(now, limit.customer), full - 15);
    report(25, 5, 1, 10);
    EXPECT_EQ(*owner.tokens(now, limit.customer), full - 15);
    EXPECT_EQ(out.back().message.grants.back().granted, 10U);
}

// Guards against a second burst of a new owner.
TEST(CustomerLimits, NewOwnerStartsWithAnEmptyBucket)
{
    CustomerMembers members(makeNodeId("a"), TimePoint());
    CustomerOwner owner(members, 1);
    CustomerLimit limit{0, 10, 100};
    const auto weightOf = [&limit](const char *name) { return rendezvousWeight(makeNodeId(name), limit.customer); };
    while (weightOf("b") < weightOf("a") || weightOf("a") < weightOf("c")) {
        ++limit.customer;
    }
    const auto died = TimePoint() + 1min;
    const auto now = died + 2s;
    members.setMembers(
        now, {{.node = makeNodeId("b"), .isPresent = false, .hasLeft = true, .since = died}, {.node = makeNodeId("c"), .isPresent = true}});
    owner.setLimits(now, {limit});
    std::vector<OutgoingCustomerMessage> out;
    owner.onMessage(now, {.from = makeNodeId("c"), .boot = 5, .sequence = 1, .reports = {{limit.customer, 50, 0, 50, 1, 1}}}, out);
    ASSERT_TRUE(owner.tokens(now, limit.customer));
    EXPECT_EQ(*owner.tokens(now, limit.customer), 10 * 2 - 1);
}

// Guards against nodes that go on admitting because nobody tells them that the bucket is low, or because an older message tells them that
// it isn't.
TEST(CustomerLimits, LowBucketIsToldToOpenNodesAtOnce)
{
    CustomerMembers ownerMembers(makeNodeId("a"), TimePoint());
    CustomerOwner owner(ownerMembers, 1);
    CustomerMembers members(makeNodeId("b"), TimePoint());
    CustomerNode node(members, 2);
    CustomerLimit limit{0, 10, 100};
    while (rendezvousWeight(makeNodeId("a"), limit.customer) < rendezvousWeight(makeNodeId("b"), limit.customer)) {
        ++limit.customer;
    }
    const auto now = TimePoint() + 1min;
    members.setMembers(now, {{.node = makeNodeId("a"), .isPresent = true}});
    owner.setLimits(now, {limit});
    Random random(1);
    std::vector<OutgoingCustomerMessage> asked;
    std::vector<OutgoingCustomerMessage> answers;
    std::vector<OutgoingCustomerMessage> notices;
    std::vector<ResolvedRequest> resolved;
    EXPECT_EQ(node.admit(now, random, limit, 1, asked).verdict, RateLimitVerdict::Waiting);
    owner.onMessage(now, asked.at(0).message, answers);
    owner.onMessage(now, {.from = makeNodeId("c"), .boot = 3, .sequence = 1, .reports = {{limit.customer, 90, 90, 90, 0, 0}}}, notices);
    ASSERT_EQ(notices.front().to, makeNodeId("b"));
    // The notice overtakes the answer.
    node.onMessage(now, notices.front().message, asked, resolved);
    node.onMessage(now, answers.at(0).message, asked, resolved);
    EXPECT_EQ(node.mode(limit.customer), CustomerMode::Metered);
    EXPECT_EQ(resolved.size(), 1U);
}

// Guards against a grant with figures out of range, which would admit any number of requests or refuse all until the owner changes.
TEST(CustomerLimits, GrantsOutOfRangeAreClamped)
{
    CustomerMembers members(makeNodeId("b"), TimePoint());
    CustomerNode node(members, 2);
    CustomerLimit limit{0, 10, 100};
    while (rendezvousWeight(makeNodeId("a"), limit.customer) < rendezvousWeight(makeNodeId("b"), limit.customer)) {
        ++limit.customer;
    }
    auto now = TimePoint() + 1min;
    members.setMembers(now, {{.node = makeNodeId("a"), .isPresent = true}});
    Random random(1);
    std::vector<OutgoingCustomerMessage> out;
    std::vector<ResolvedRequest> resolved;
    const auto answer = [&](std::uint32_t granted, Duration denyFor) {
        const CustomerGrant grant{.customer = limit.customer,
                                  .request = out.back().message.reports.back().request,
                                  .granted = granted,
                                  .isLow = true,
                                  .denyFor = denyFor,
                                  .usePercent = 400};
        node.onMessage(now, {.from = makeNodeId("a"), .boot = 1, .sequence = out.size(), .grants = {grant}}, out, resolved);
    };
    EXPECT_EQ(node.admit(now, random, limit, 1, out).verdict, RateLimitVerdict::Waiting);
    answer(1'000'000, Duration{0});
    ASSERT_EQ(resolved.size(), 1U);
    EXPECT_EQ(node.admit(now, random, limit, 2, out).verdict, RateLimitVerdict::Waiting);
    answer(0, Duration::max());
    ASSERT_EQ(resolved.size(), 2U);
    EXPECT_EQ(resolved.back().decision.verdict, RateLimitVerdict::Refused);
    now += 4s;
    EXPECT_EQ(node.admit(now, random, limit, 3, out).verdict, RateLimitVerdict::Waiting);
}

// Generated histories: the bound holds in every window, whatever is lost, killed or cut off.
void checkHistory(std::uint64_t seed, bool isCountExpected)
{
    Random random(seed);
    const auto rate = std::exp(std::log(5) + drawUnit(random) * std::log(110));
    const auto loss = drawUnit(random) * 0.1;
    const auto nodes = 6 + drawBelow(random, 15);
    CustomerModel model({.seed = seed,
                         .nodes = nodes,
                         .requestsPerSecond = rate,
                         .burst = rate * (0.5 + drawUnit(random)),
                         .lossProbability = loss,
                         .duplicateProbability = loss,
                         .expectedNodes = isCountExpected ? nodes : 0});
    std::string history = "rate " + std::to_string(rate) + " burst " + std::to_string(model.limit.burst);
    const auto count = model.nodeCount();
    for (int step = 0; step < 5; ++step) {
        const auto n = drawBelow(random, count);
        const auto action = drawBelow(random, 7);
        const auto detection = std::chrono::milliseconds(4000 + drawBelow(random, 3000));
        switch (action) {
        case 0:
            model.kill(model.ownerIndex());
            model.spreadViews(detection);
            break;
        case 1:
            model.partition(1 + drawBelow(random, count / 3));
            model.spreadViews(detection);
            break;
        case 2:
            model.partition(0);
            model.spreadViews(1s);
            break;
        // A process that starts behind a partition doesn't know of the nodes on the other side unless there is a list of contacts.
        case 3:
            model.partition(0);
            model.killAll();
            model.run(300ms, 0);
            model.startAll();
            break;
        case 4:
            if (!isCountExpected) {
                model.partition(0);
            }
            model.start(n);
            model.spreadViews(500ms);
            break;
        case 5: {
            // The owner is paused for long enough to be replaced, and goes on with its old state.
            const auto owner = model.ownerIndex();
            model.kill(owner);
            model.spreadViews(detection);
            model.run(std::chrono::milliseconds(500 + drawBelow(random, 4000)), rate * kHot);
            model.resume(owner);
            model.spreadViews(500ms);
            break;
        }
        default:
            break;
        }
        const auto use = drawBelow(random, 2) == 0 ? kHot : kUsual;
        const auto time = std::chrono::milliseconds(500 + drawBelow(random, 3000));
        model.run(time, rate * use);
        history += "; " + std::to_string(action) + " use " + std::to_string(use) + " for " + std::to_string(time.count()) + " excess "
            + std::to_string(model.worstExcess());
    }
    if (model.worstExcess() > 0) {
        RC_FAIL(history);
    }
}

RC_GTEST_PROP(CustomerLimitsHistory, KeepsTheBound, (std::uint64_t seed))
{
    checkHistory(seed, false);
}

RC_GTEST_PROP(CustomerLimitsHistory, KeepsTheBoundWithExpectedNodes, (std::uint64_t seed))
{
    checkHistory(seed, true);
}
