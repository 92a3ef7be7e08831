/// @file
/// Guards the marks of retries between nodes, and which budgets a sender asks: those of the gates where they report tokens, else its own.

#include "node/clock.h"
#include "node/entry/dispatcher.h"
#include "node/entry/entry_request.h"
#include "node/gate/gate_service.h"
#include "node/peers/peer_set.h"
#include "platform/platform.h"

#include <gtest/gtest.h>

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

CallAnswer makeEnd(Outcome outcome, Reason reason, std::optional<std::uint32_t> tokens)
{
    CallAnswer answer;
    answer.outcome = outcome;
    answer.reason = reason;
    answer.hasLevels = true;
    if (tokens) {
        answer.load = GateLoad{.repeatTokens = tokens};
    }
    return answer;
}

/// Node whose gate answers as the test says.
struct Upstream
{
    Upstream(boost::asio::io_context &io, const std::string &name, std::function<CallAnswer(const CallRequest &)> answer)
        : settings{.name = name, .region = "r", .zone = "z"}
        , context(io, settings, *sidecarEdgeDialect(), 1, 1)
        , peers(context)
    {
        EXPECT_FALSE(peers.start());
        peers.setCallHandler(
            [answer = std::move(answer)](const CallRequest &request, const AnswerHandler &handler) {
                handler(answer(request));
                return std::uint64_t{0};
            },
            [](std::uint64_t) {});
    }

    MemberUpdate record() const
    {
        const MemberInfo info{.name = settings.name,
                              .region = "r",
                              .zone = "z",
                              .address = "127.0.0.1:" + std::to_string(peers.port()),
                              .service = "orders",
                              .slots = 8,
                              .readiness = BackendReadiness::Ready,
                              .boot = 1};
        return {.id = context.self, .incarnation = 1, .version = 1, .info = info};
    }

    NodeSettings settings;
    NodeContext context;
    PeerSet peers;
};

class Repeats : public testing::Test
{
protected:
    /// A sender and two upstreams. The @a first attempt of each call ends with that, later ones with @a later.
    void start(const CallAnswer &first, const CallAnswer &later)
    {
        start({"b", "c"}, [this, first, later](const std::string &, const CallRequest &) { return marks.size() % 2 == 1 ? first : later; });
    }

    /// A sender and upstreams with these @a names, which answer with what @a answerOf returns for their name and the request.
    void start(const std::vector<std::string> &names, const std::function<CallAnswer(const std::string &, const CallRequest &)> &answerOf)
    {
        settings = {.name = "sender", .region = "r", .zone = "z", .fleetRetryFraction = 0.2, .repeatsHeldBy = holder};
        context = std::make_unique<NodeContext>(io, settings, *sidecarEdgeDialect(), 1, 1);
        for (const auto &name : names) {
            upstreams.push_back(std::make_unique<Upstream>(io, name, [this, name, answerOf](const CallRequest &request) {
                marks.push_back(request.context.isRepeat);
                return answerOf(name, request);
            }));
        }
        const auto now = steadyNow();
        membership = std::make_unique<Membership>(MembershipOptions{.self = {.name = "sender", .address = "127.0.0.1:1", .boot = 1}}, now,
                                                  context->random);
        MembershipMessage message{.from = upstreams[0]->context.self, .incarnation = 1};
        for (const auto &it : upstreams) {
            message.updates.push_back(it->record());
        }
        std::vector<OutgoingMessage> out;
        membership->onMessage(now, context->random, "127.0.0.1:2", message, out);
        context->membership = membership.get();
        peers = std::make_unique<PeerSet>(*context);
        gate = std::make_unique<GateService>(*context);
        dispatcher = std::make_unique<Dispatcher>(*context);
        context->peers = peers.get();
        context->gate = gate.get();
        context->dispatcher = dispatcher.get();
    }

    CallAnswer call(bool isRepeat = false)
    {
        RoutedRequest routed{.deadline = steadyNow() + 2s, .isIdempotent = true, .maxBackendAttempts = 2};
        routed.request.service = "orders";
        routed.request.context.retryTokens = 3;
        routed.request.context.isRepeat = isRepeat;
        std::optional<CallAnswer> end;
        dispatcher->beginCall(std::move(routed), [&](CallAnswer answer) { end = std::move(answer); });
        for (const auto giveUpAt = steadyNow() + 3s; !end && steadyNow() < giveUpAt;) {
            io.restart();
            io.run_for(1ms);
        }
        return end.value_or(CallAnswer{.reason = Reason::DeadlineExpired});
    }

    boost::asio::io_context io{1};
    RepeatHolder holder = RepeatHolder::Auto;
    NodeSettings settings;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    std::unique_ptr<NodeContext> context;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<PeerSet> peers;
    std::unique_ptr<GateService> gate;
    std::unique_ptr<Dispatcher> dispatcher;
    /// CallContext::isRepeat of each attempt, in the order of their arrival.
    std::vector<bool> marks;
};

const auto kLost = [](std::optional<std::uint32_t> tokens) { return makeEnd(Outcome::Unknown, Reason::BackendFailed, tokens); };
const auto kServed = [](std::optional<std::uint32_t> tokens) { return makeEnd(Outcome::Answer, Reason::None, tokens); };
const CallAnswer kSpent = makeEnd(Outcome::NotRun, Reason::RetryBudgetSpent, 0);

} // namespace

TEST_F(Repeats, AttemptAfterALostAnswerIsMarked)
{
    start(kLost(5), kServed(5));
    EXPECT_EQ(call().outcome, Outcome::Answer);
    EXPECT_EQ(marks, (std::vector<bool>{false, true}));
}

TEST_F(Repeats, AttemptThatReachedNoBackendServerKeepsTheMark)
{
    start(makeEnd(Outcome::NotRun, Reason::QueueFull, 5), kServed(5));
    EXPECT_EQ(call().outcome, Outcome::Answer);
    EXPECT_EQ(call(true).outcome, Outcome::Answer);
    EXPECT_EQ(marks, (std::vector<bool>{false, false, true, true}));
}

// A call that may have run must not end as not run because its retry was refused.
TEST_F(Repeats, RefusedRetryEndsAsTheAttemptBeforeIt)
{
    start(kLost(5), kSpent);
    const auto lost = call();
    EXPECT_EQ(lost.outcome, Outcome::Unknown);
    EXPECT_EQ(lost.reason, Reason::BackendFailed);
    EXPECT_EQ(marks.size(), 2U);
}

TEST_F(Repeats, RefusedRetryOfAShedCallEndsAsNotRun)
{
    start(makeEnd(Outcome::NotRun, Reason::ShedByBackend, 5), kSpent);
    const auto shed = call();
    EXPECT_EQ(shed.outcome, Outcome::NotRun);
    EXPECT_EQ(shed.reason, Reason::ShedByBackend);
    EXPECT_EQ(marks.size(), 2U);
}

TEST_F(Repeats, SenderAsksNoBudgetOfItsOwnWhereGatesReportTokens)
{
    start(kLost(5), kServed(5));
    for (int n = 0; n < 20; ++n) {
        EXPECT_EQ(call().outcome, Outcome::Answer);
    }
}

// Every attempt fails, so that each call uses as many as it may. The sender's own budget has one token at the start and gains 0.04 with
// each call.
TEST_F(Repeats, SenderAsksItsOwnBudgetWhereGatesReportNone)
{
    start(kLost(std::nullopt), kLost(std::nullopt));
    for (int n = 0; n < 20; ++n) {
        EXPECT_EQ(call().outcome, Outcome::Unknown);
    }
    EXPECT_EQ(marks.size(), 21U);
}

// One upstream of four has no tokens left, and a quarter of 400 calls are repeated. Without a preference 35 of these ended there.
TEST_F(Repeats, RepeatsAvoidGatesThatRefusedThem)
{
    int refused = 0;
    int count = 0;
    start({"b", "c", "d", "e"}, [&](const std::string &name, const CallRequest &request) {
        if (!request.context.isRepeat) {
            return ++count % 4 == 0 ? kLost(5) : kServed(5);
        }
        refused += name == "b" ? 1 : 0;
        return name == "b" ? kSpent : kServed(5);
    });
    for (int n = 0; n < 400; ++n) {
        call();
    }
    EXPECT_LT(refused, 15);
}

// Backend servers of one service that state a pace and others that don't, as during an upgrade: no gate bounds the retries at the latter.
TEST_F(Repeats, SenderAsksItsOwnBudgetForGatesThatReportNone)
{
    std::uint32_t repeatsWithoutTokens = 0;
    start({"b", "c"}, [&](const std::string &name, const CallRequest &request) {
        repeatsWithoutTokens += request.context.isRepeat && name == "c" ? 1 : 0;
        return name == "b" ? kLost(5) : kLost(std::nullopt);
    });
    for (int n = 0; n < 40; ++n) {
        EXPECT_EQ(call().outcome, Outcome::Unknown);
    }
    EXPECT_LE(repeatsWithoutTokens, 3U);
}

TEST_F(Repeats, SenderAsksItsOwnBudgetWhereTheSettingSaysSo)
{
    holder = RepeatHolder::Senders;
    start(kLost(5), kLost(5));
    for (int n = 0; n < 20; ++n) {
        EXPECT_EQ(call().outcome, Outcome::Unknown);
    }
    EXPECT_EQ(marks.size(), 21U);
}

TEST_F(Repeats, ChildCallsInheritTheMark)
{
    const EntryFields fields;
    const MethodSpec method;
    const ConfigSet config;
    GateService::Parent parent{.context = {.isRepeat = true}, .deadline = steadyNow() + 1s};
    const auto child = makeContext(steadyNow(), {.fields = fields, .method = method, .config = config, .parent = parent});
    EXPECT_TRUE(child.isRepeat);
    EXPECT_TRUE(child.descendsFromRepeat);
    parent.context.isRepeat = false;
    EXPECT_FALSE(makeContext(steadyNow(), {.fields = fields, .method = method, .config = config, .parent = parent}).isRepeat);
}
