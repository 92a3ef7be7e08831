/// @file
/// Time and memory that the record owner and the executor need for each order.

#include <chicoryspar/outcome.h>

#include <malloc.h>

#include <benchmark/benchmark.h>

using namespace chicoryspar;

namespace {

constexpr std::size_t kPeers = 21;
constexpr std::size_t kAnswerBytes = 512;
constexpr std::size_t kOrders = 20000;

/// A record owner in a group of 22 nodes, supported by all other members.
struct OwnerFixture
{
    OwnerFixture()
        : random(1)
        , owner(now,
                {.self = makeNodeId("node0"), .foundingDelay = Duration{0}, .maxEntries = 4'000'000, .maxBytes = std::size_t{1} << 32U})
    {
        std::vector<NodeId> contacts;
        for (std::size_t n = 1; n <= kPeers; ++n) {
            contacts.push_back(makeNodeId("node" + std::to_string(n)));
        }
        owner.setContacts(contacts);
        nodes = contacts;
        nodes.push_back(makeNodeId("node0"));
        for (int round = 0; round < 3; ++round) {
            now += std::chrono::seconds(1);
            wall += std::chrono::seconds(1);
            owner.onTimer(now, wall);
            acknowledgeHellos();
        }
        wall += std::chrono::seconds(5);
    }

    void acknowledgeHellos()
    {
        for (const auto &it : owner.takeMessages()) {
            if (const auto *hello = std::get_if<KeyHello>(&it.message)) {
                owner.onMessage(now, wall, KeyHelloAck{{it.to, 1}, hello->from, hello->sentAt, true, true});
            }
        }
    }

    TimePoint now{std::chrono::seconds(1)};
    WallTime wall{std::chrono::hours(500'000)};
    Random random;
    std::vector<NodeId> nodes;
    KeyOwner owner;
};

void runOrder(OwnerFixture &fixture, const RequestId &key, benchmark::State &state)
{
    const auto decision = fixture.owner.onRequest(fixture.now, fixture.wall, {key, 1});
    if (decision.verdict != KeyVerdict::Run) {
        state.SkipWithError("expected verdict run for a new key at its record owner");
        return;
    }
    benchmark::DoNotOptimize(fixture.owner.beginDispatch(fixture.wall, key, makeNodeId("node1"), fixture.wall));
    fixture.owner.onAnswer(key, {200, {}, std::string(kAnswerBytes, 'a')});
    benchmark::DoNotOptimize(fixture.owner.takeEvents());
}

/// Returns a new key for which the owner under test ranks first.
RequestId makeOwnedKey(OwnerFixture &fixture)
{
    for (;;) {
        const auto key = makeRequestId(fixture.wall, fixture.random);
        if (chooseOwner(fixture.nodes, key) == makeNodeId("node0")) {
            return key;
        }
    }
}

/// Execution of one new order, including the storage of its answer.
void order(benchmark::State &state)
{
    OwnerFixture fixture;
    std::vector<RequestId> keys(kOrders);
    for (auto &it : keys) {
        it = makeOwnedKey(fixture);
    }
    const auto before = mallinfo2().uordblks;
    std::size_t n = 0;
    for (auto _ : state) {
        runOrder(fixture, keys.at(n++), state);
    }
    state.counters["bytesPerOrder"] = static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(n);
}
BENCHMARK(order)->Iterations(kOrders);

/// Decision on one request, whether or not this node owns its key.
void decision(benchmark::State &state)
{
    OwnerFixture fixture;
    for (auto _ : state) {
        benchmark::DoNotOptimize(fixture.owner.onRequest(fixture.now, fixture.wall, {makeRequestId(fixture.wall, fixture.random), 1}));
    }
}
BENCHMARK(decision)->Iterations(100000);

/// Admission of one dispatch at the executor.
void admit(benchmark::State &state)
{
    OwnerFixture fixture;
    DispatchGate gate(fixture.wall - std::chrono::seconds(10), {.maxEntries = 4'000'000});
    for (auto _ : state) {
        const auto key = makeRequestId(fixture.wall, fixture.random);
        benchmark::DoNotOptimize(gate.admit(fixture.wall, {key, {}, 1, fixture.wall, fixture.wall + std::chrono::seconds(1)}));
    }
}
BENCHMARK(admit)->Iterations(100000);

} // namespace

BENCHMARK_MAIN();
