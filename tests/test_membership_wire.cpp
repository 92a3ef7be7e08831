/// @file
/// Tests of encoded membership messages (round trip, size bound, corrupted bytes) and of members as JSON.

#include <chicoryspar/membership.h>
#include <chicoryspar/wire.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace chicoryspar;

namespace {

std::string drawText(Random &random)
{
    return std::string(drawBelow(random, 50), 'x');
}

NodeId drawId(Random &random)
{
    return NodeId{random()};
}

MemberInfo drawInfo(Random &random)
{
    MemberInfo info;
    for (auto *it : {&info.name, &info.region, &info.zone, &info.address, &info.operators, &info.service}) {
        *it = drawText(random);
    }
    info.slots = static_cast<std::uint32_t>(random());
    info.readiness = static_cast<BackendReadiness>(drawBelow(random, static_cast<std::uint64_t>(BackendReadiness::Count)));
    info.boot = random();
    return info;
}

MemberState drawState(Random &random)
{
    return static_cast<MemberState>(drawBelow(random, static_cast<std::uint64_t>(MemberState::Count)));
}

decltype(MembershipMessage::body) drawBody(Random &random)
{
    const auto sequence = static_cast<std::uint32_t>(random());
    const auto count = drawBelow(random, 20);
    switch (drawBelow(random, 8)) {
    case 0:
        return Probe{sequence, drawId(random)};
    case 1:
        return ProbeAck{sequence, drawId(random)};
    case 2:
        return ProbeRequest{sequence, drawId(random), drawText(random)};
    case 3:
        return SyncDigest{std::vector<std::uint64_t>(count, random())};
    case 4:
        return SyncSummary{std::vector<std::uint16_t>(count, static_cast<std::uint16_t>(random())),
                           std::vector<MemberSummary>(count, {drawId(random), random(), random(), drawState(random)}), random() % 2 == 0};
    case 5:
        return SyncRecordRequest{std::vector<NodeId>(count, drawId(random))};
    case 6:
        return SyncRecords{};
    default:
        return Gossip{};
    }
}

MembershipMessage drawMessage(Random &random)
{
    MembershipMessage message{drawId(random), random(), random(), random(), drawText(random), {}, drawBody(random)};
    const auto count = drawBelow(random, 10);
    for (std::uint64_t n = 0; n < count; ++n) {
        MemberUpdate update{drawId(random), random(), random(), drawState(random), {}};
        if (random() % 2 == 0) {
            update.info = drawInfo(random);
        }
        message.updates.push_back(std::move(update));
    }
    return message;
}

} // namespace

RC_GTEST_PROP(MembershipWire, RoundTripPreservesMessageWithinSizeBound, (std::uint64_t seed))
{
    Random random(seed);
    const auto message = drawMessage(random);
    const auto payload = encodePayload(message);
    RC_ASSERT(payload.size() <= packedSizeBound(message));
    const auto decoded = decodePayload<MembershipMessage>(payload);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(encodePayload(*decoded) == payload);
    for (std::size_t n = 0; n < message.updates.size(); ++n) {
        RC_ASSERT(decoded->updates[n].info == message.updates[n].info);
    }
}

// Guards against crashes and oversized answers when a corrupted payload still decodes.
RC_GTEST_PROP(MembershipWire, CorruptedBytesAreRejectedOrHandled, (std::uint64_t seed))
{
    Random random(seed);
    auto payload = encodePayload(drawMessage(random));
    payload[drawBelow(random, payload.size())] = static_cast<char>(random());
    payload.resize(drawBelow(random, payload.size() + 1));
    const auto decoded = decodePayload<MembershipMessage>(payload);
    Membership node({.self = {.id = makeNodeId("n"), .name = "n", .address = "10.0.0.1:1"}}, TimePoint(), random);
    std::vector<OutgoingMessage> out;
    if (decoded) {
        node.onMessage(TimePoint(), random, "10.0.0.2:1", *decoded, out);
    }
    node.onTick(TimePoint() + std::chrono::seconds(1), random, out);
    for (const auto &it : out) {
        RC_ASSERT(packedSizeBound(it.message) <= kMaxMessageBytes);
    }
}

RC_GTEST_PROP(MembershipJson, RoundTrip, (std::uint64_t seed))
{
    Random random(seed);
    const TimePoint now(std::chrono::hours(5));
    Member member{
        .info = drawInfo(random), .state = drawState(random), .since = now - std::chrono::milliseconds(77), .configDigest = random()};
    member.info.name += "n";
    member.info.id = makeNodeId(member.info.name);
    std::vector<Finding> findings;
    const auto parsed = parseMembers(formatMembers({&member}, now), now, findings);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed->size() == 1U);
    RC_ASSERT(parsed->front().info == member.info);
    RC_ASSERT(parsed->front().state == member.state);
    RC_ASSERT(parsed->front().since == member.since);
    RC_ASSERT(parsed->front().configDigest == member.configDigest);
}

TEST(MembershipJson, InvalidJsonGivesFindings)
{
    for (const auto *it : {"", "[]", "{}", R"({"members": [1]})", R"({"members": [{"name": "a", "state": "gone"}]})"}) {
        std::vector<Finding> findings;
        EXPECT_FALSE(parseMembers(it, TimePoint(), findings)) << it;
        EXPECT_FALSE(findings.empty()) << it;
    }
}
