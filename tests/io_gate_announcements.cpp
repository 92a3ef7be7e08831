/// @file
/// Guards against calls sent to a backend server that isn't running. Announcements may arrive late or out of order, after a departure, from
/// an earlier instance, or after a restart of the node, which then has no record of departed instances.

#include "node/clock.h"
#include "node/gate/gate_service.h"
#include "platform/platform.h"

#include <thread>

#include <gtest/gtest.h>

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

const std::string kTable =
    R"({"apiVersion":"chicoryspar.io/v1","kind":"RouteTable","metadata":{"name":"main","resourceVersion":"1"},"spec":{"routes":[{"name":"r",)"
    R"("host":"a","pathPrefix":"/","backends":[{"service":"orders","weight":1}],"idempotent":true,"timeoutMs":800,"latencyObjectiveMs":500,)"
    R"("priority":2,"maxAttempts":2}],"services":[{"name":"orders","healthPath":"/health","maxConnections":8}]}})";

Announcement makeAnnouncement(const std::string &instance, std::uint64_t processStartMs, std::uint64_t sequence,
                              BackendReadiness readiness = BackendReadiness::Ready)
{
    // Nothing listens on this port, so every health check fails.
    return {.service = "orders",
            .address = "127.0.0.1:9",
            .slots = 4,
            .readiness = readiness,
            .instance = instance,
            .processStartMs = processStartMs,
            .sequence = sequence};
}

class GateAnnouncements : public testing::Test
{
protected:
    GateAnnouncements()
        : context(io, settings, *sidecarEdgeDialect(), 1, 1)
    {
        context.config.applyParsed(steadyNow(), parseObject(kTable));
        gate = std::make_unique<GateService>(context);
    }

    BackendReadiness announce(const Announcement &announcement)
    {
        gate->applyAnnouncement(steadyNow(), announcement);
        io.run_for(50ms);
        return gate->readiness();
    }

    boost::asio::io_context io{1};
    NodeSettings settings{.name = "node", .region = "r", .zone = "z"};
    NodeContext context;
    std::unique_ptr<GateService> gate;
};

} // namespace

TEST_F(GateAnnouncements, FirstAnnouncementAloneDoesNotMakeReady)
{
    EXPECT_EQ(announce(makeAnnouncement("i", 100, 7)), BackendReadiness::Starting);
    EXPECT_EQ(announce(makeAnnouncement("i", 100, 7)), BackendReadiness::Starting);
    EXPECT_EQ(announce(makeAnnouncement("i", 100, 8)), BackendReadiness::Ready);
}

TEST_F(GateAnnouncements, OutdatedAnnouncementIsIgnored)
{
    announce(makeAnnouncement("i", 100, 7));
    announce(makeAnnouncement("i", 100, 8));
    EXPECT_EQ(announce(makeAnnouncement("i", 100, 9, BackendReadiness::Draining)), BackendReadiness::Draining);
    EXPECT_EQ(announce(makeAnnouncement("i", 100, 8)), BackendReadiness::Draining);
    EXPECT_EQ(announce(makeAnnouncement("older", 50, 99)), BackendReadiness::Draining);
}

TEST_F(GateAnnouncements, LateAnnouncementDoesNotReviveDepartedInstance)
{
    announce(makeAnnouncement("i", 100, 7));
    announce(makeAnnouncement("i", 100, 8));
    gate->applyDeparture(steadyNow(), "i");
    EXPECT_EQ(gate->readiness(), BackendReadiness::Draining);
    EXPECT_EQ(announce(makeAnnouncement("i", 100, 20)), BackendReadiness::Draining);
}

TEST_F(GateAnnouncements, DepartureOfAnotherInstanceIsIgnored)
{
    announce(makeAnnouncement("i", 100, 7));
    announce(makeAnnouncement("i", 100, 8));
    gate->applyDeparture(steadyNow(), "other");
    EXPECT_EQ(gate->readiness(), BackendReadiness::Ready);
}

TEST_F(GateAnnouncements, RestartedInstanceOfTheSameNameIsConfirmedAgain)
{
    announce(makeAnnouncement("i", 100, 7));
    announce(makeAnnouncement("i", 100, 8));
    gate->applyDeparture(steadyNow(), "i");
    EXPECT_EQ(announce(makeAnnouncement("i", 200, 1)), BackendReadiness::Starting);
    EXPECT_EQ(announce(makeAnnouncement("i", 200, 2)), BackendReadiness::Ready);
}

TEST_F(GateAnnouncements, CallsOfAnotherServiceAreRefusedAsNotRun)
{
    announce(makeAnnouncement("i", 100, 7));
    announce(makeAnnouncement("i", 100, 8));
    std::optional<CallAnswer> end;
    CallRequest request;
    request.service = "rounds";
    request.context.remaining = 1s;
    gate->beginCall(request, [&](CallAnswer answer) { end = std::move(answer); });
    ASSERT_TRUE(end);
    EXPECT_EQ(end->outcome, Outcome::NotRun);
    EXPECT_EQ(end->reason, Reason::NoUpstream);
}

// A process that was paused dispatched the calls that waited in its sockets before it read that its backend server leaves (soak seeds 322
// and 401).
TEST_F(GateAnnouncements, CallsAreRefusedAsNotRunAfterAPause)
{
    announce(makeAnnouncement("i", 100, 7));
    announce(makeAnnouncement("i", 100, 8));
    const auto call = [&] {
        const auto end = std::make_shared<std::optional<CallAnswer>>();
        CallRequest request;
        request.service = "orders";
        request.context.remaining = 1s;
        gate->beginCall(request, [end](CallAnswer answer) { *end = std::move(answer); });
        const auto giveUpAt = std::chrono::steady_clock::now() + 5s;
        while (!*end && std::chrono::steady_clock::now() < giveUpAt) {
            io.restart();
            io.run_for(10ms);
        }
        return end->value_or(CallAnswer());
    };
    gate->onTick(bootNow());
    // Nothing listens at the backend server's address.
    EXPECT_EQ(call().reason, Reason::ConnectFailed);
    std::this_thread::sleep_for(1200ms);
    // No tick has followed the pause yet.
    EXPECT_EQ(call().reason, Reason::NoUpstream);
    gate->onTick(bootNow());
    const auto waking = call();
    EXPECT_EQ(waking.reason, Reason::NoUpstream);
    EXPECT_EQ(waking.outcome, Outcome::NotRun);
    std::this_thread::sleep_for(150ms);
    gate->onTick(bootNow());
    EXPECT_EQ(call().reason, Reason::ConnectFailed);
}
