/// @file
/// Tests of the hybrid logical clock, the event buffer, merging, filtering and the formats.

#include <chicoryspar/timeline.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace chicoryspar;
using std::chrono::seconds;

namespace {

const WallTime kStart(std::chrono::seconds(1'796'000'000));

/// Node whose wall clock is off by a constant skew.
struct SkewedNode
{
    HybridClock clock;
    Duration skew{0};
    EventBuffer events;
};

/// Numbers of a send event and of the receive event that it caused.
struct CausedEvent
{
    std::size_t cause;
    std::size_t effect;
};

EventBuffer makeBuffer(std::string node, std::size_t maxEntries = 4096)
{
    return EventBuffer({.node = std::move(node), .boot = 1, .maxEntries = maxEntries});
}

Event makeNumberedEvent(std::size_t n)
{
    return Event{.kind = EventKind::Decision, .value = static_cast<std::int64_t>(n)};
}

std::vector<SkewedNode> makeNodes(Random &random, std::size_t count)
{
    std::vector<SkewedNode> nodes;
    nodes.reserve(count);
    for (std::size_t n = 0; n < count; ++n) {
        const auto skew = seconds(static_cast<std::int64_t>(drawBelow(random, 600)) - 300);
        nodes.push_back({{}, skew, makeBuffer("node-" + std::to_string(n))});
    }
    return nodes;
}

Timeline mergeAllPages(const std::vector<SkewedNode> &nodes)
{
    std::vector<EventPage> pages;
    pages.reserve(nodes.size());
    for (const auto &it : nodes) {
        pages.push_back(it.events.read(0, 100'000));
    }
    return mergePages(pages);
}

Event makeExampleEvent()
{
    return Event{.at = makeHybridTime(kStart),
                 .kind = EventKind::UpstreamEjected,
                 .node = "node-1",
                 .sequence = 7,
                 .service = "orders",
                 .root = RequestId{1, 2},
                 .reason = Reason::QueueFull,
                 .subject = "<script>alert(\"x\")</script>",
                 .value = -5,
                 .text = "a & 'b'\n"};
}

} // namespace

RC_GTEST_PROP(HybridClock, ReadingsIncreaseAlsoWhenTheWallClockGoesBack, (const std::vector<std::int32_t> &steps))
{
    HybridClock clock;
    HybridTime last;
    auto wall = kStart;
    for (const auto it : steps) {
        wall += Duration(it);
        const auto reading = clock.tick(wall);
        RC_ASSERT(reading > last);
        last = reading;
    }
}

RC_GTEST_PROP(HybridClock, SkewNeverReversesCauseAndEffect, (std::uint64_t seed))
{
    Random random(seed);
    auto nodes = makeNodes(random, 4);
    auto now = kStart;
    std::vector<CausedEvent> caused;
    std::size_t count = 0;
    for (int n = 0; n < 200; ++n) {
        now += Duration(drawBelow(random, 50'000));
        auto &sender = nodes[drawBelow(random, nodes.size())];
        auto &receiver = nodes[drawBelow(random, nodes.size())];
        sender.events.record(sender.clock.tick(now + sender.skew), makeNumberedEvent(count));
        const auto sent = sender.clock.tick(now + sender.skew);
        RC_ASSERT(receiver.clock.observe(sent, now + receiver.skew));
        receiver.events.record(receiver.clock.tick(now + receiver.skew), makeNumberedEvent(count + 1));
        caused.push_back({count, count + 1});
        count += 2;
    }
    const auto timeline = mergeAllPages(nodes);
    RC_ASSERT(timeline.events.size() == count);
    std::vector<std::size_t> position(count);
    for (std::size_t n = 0; n < count; ++n) {
        position[static_cast<std::size_t>(timeline.events[n].value)] = n;
    }
    for (const auto &it : caused) {
        RC_ASSERT(position[it.cause] < position[it.effect]);
    }
}

TEST(HybridClock, IgnoresReadingsFarInTheFuture)
{
    HybridClock clock;
    const auto before = clock.tick(kStart);
    EXPECT_FALSE(clock.observe(makeHybridTime(kStart + HybridClock::kMaxDrift + seconds(1)), kStart));
    EXPECT_EQ(clock.last(), before);
    EXPECT_EQ(clock.ignoredCount(), 1U);
    EXPECT_TRUE(clock.observe(makeHybridTime(kStart + HybridClock::kMaxDrift), kStart));
}

RC_GTEST_PROP(EventBuffer, StaysWithinItsLimitsAndCountsDroppedEvents, (std::uint64_t seed))
{
    Random random(seed);
    const std::size_t maxEntries = 1 + drawBelow(random, 20);
    EventBuffer buffer({.node = "n", .maxEntries = maxEntries, .maxBytes = 4000});
    const auto count = drawBelow(random, 100);
    for (std::uint64_t n = 0; n < count; ++n) {
        auto event = makeNumberedEvent(n);
        event.text.assign(drawBelow(random, 300), 'x');
        buffer.record(HybridTime{n + 1}, std::move(event));
        RC_ASSERT(buffer.entryCount() <= maxEntries);
        RC_ASSERT(buffer.byteCount() <= 4000U);
    }
    std::uint64_t after = drawBelow(random, count + 1);
    const auto start = after;
    std::uint64_t readOrDropped = 0;
    for (auto page = buffer.read(after, 3); !page.events.empty() || page.dropped > 0; page = buffer.read(after, 3)) {
        readOrDropped += page.dropped + page.events.size();
        after = page.next;
    }
    RC_ASSERT(readOrDropped == count - start);
}

TEST(EventBuffer, RefusalsOfAnIntervalBecomeOneEvent)
{
    EventBuffer buffer({.node = "n", .maxRefusalGroups = 2});
    const TimePoint now(seconds(100));
    for (int n = 0; n < 500; ++n) {
        buffer.countRefusal("orders", RequestClass::Lookup, Reason::QueueFull, RequestId{1, static_cast<std::uint64_t>(n)});
        buffer.countRefusal("orders", RequestClass::Order, Reason::QueueFull, {});
        buffer.countRefusal("service-" + std::to_string(n), RequestClass::Lookup, Reason::QueueFull, {});
    }
    buffer.flushRefusals(now, HybridTime{1});
    buffer.flushRefusals(now + seconds(2), HybridTime{2});
    const auto page = buffer.read(0, 100);
    ASSERT_EQ(page.events.size(), 3U);
    EXPECT_EQ(page.events[0].value, 500);
    EXPECT_EQ(page.events[0].root, (RequestId{1, 0}));
    EXPECT_EQ(page.events[2].subject, "several");
    EXPECT_EQ(page.events[2].value, 500);
}

TEST(Timeline, DuplicateEventsAreRemovedAndGapsNameTheNode)
{
    auto buffer = makeBuffer("node-1", 2);
    for (std::size_t n = 0; n < 3; ++n) {
        buffer.record(HybridTime{n + 1}, makeNumberedEvent(n));
    }
    const auto timeline = mergePages({buffer.read(0, 10), buffer.read(0, 10)});
    EXPECT_EQ(timeline.events.size(), 2U);
    ASSERT_FALSE(timeline.gaps.empty());
    EXPECT_EQ(timeline.gaps[0].place, "node-1");
}

TEST(Timeline, FilterKeepsEventsThatMeetEveryCondition)
{
    const auto event = makeExampleEvent();
    EXPECT_TRUE(matches({}, event));
    EXPECT_TRUE(matches({.service = "orders", .node = "node-1", .root = {1, 2}, .kinds = {event.kind}, .since = kStart}, event));
    EXPECT_FALSE(matches({.service = "rounds"}, event));
    EXPECT_FALSE(matches({.node = "node-2"}, event));
    EXPECT_FALSE(matches({.root = RequestId{1, 3}}, event));
    EXPECT_FALSE(matches({.kinds = {EventKind::Refusals}}, event));
    EXPECT_FALSE(matches({.since = kStart + seconds(1)}, event));
}

TEST(Formats, PageRoundTrip)
{
    EventPage page{.node = "node-1", .boot = 5, .next = 8, .dropped = 2, .events = {makeExampleEvent()}};
    std::vector<Finding> findings;
    const auto parsed = parsePage(formatPage(page), findings);
    ASSERT_TRUE(parsed.has_value());
    EXPECT_EQ(parsed->boot, 5U);
    EXPECT_EQ(parsed->next, 8U);
    EXPECT_EQ(parsed->dropped, 2U);
    EXPECT_EQ(renderJson(mergePages({*parsed})), renderJson(mergePages({page})));
    EXPECT_TRUE(findings.empty());
}

RC_GTEST_PROP(Formats, ParsePageReturnsAPageOrFindingsForAnyText, (const std::string &text, std::uint8_t cut))
{
    std::vector<Finding> findings;
    const bool isParsed = parsePage(text, findings).has_value();
    RC_ASSERT(isParsed == findings.empty());
    const auto page = formatPage({.node = text, .events = {makeExampleEvent()}});
    findings.clear();
    const auto part = std::string_view(page).substr(0, page.size() * cut / 255);
    const bool isPartParsed = parsePage(part, findings).has_value();
    RC_ASSERT(isPartParsed == findings.empty());
}

TEST(Formats, EventOfANewerNodeKeepsItsKindAsText)
{
    std::vector<Finding> findings;
    const auto page =
        parsePage(R"({"node": "n", "next": 1, "events": [{"at": 4096, "node": "n", "kind": "new-kind", "text": "t"}]})", findings);
    ASSERT_TRUE(page.has_value());
    EXPECT_EQ(page->events[0].text, "new-kind t");
}

TEST(Formats, HtmlIsEscapedAndSelfContained)
{
    const auto page = renderHtml({.events = {makeExampleEvent()}, .gaps = {{"<b>", "&"}}});
    EXPECT_EQ(page.find("<script"), std::string::npos);
    EXPECT_NE(page.find("&lt;script&gt;"), std::string::npos);
    EXPECT_EQ(page.find("http"), std::string::npos);
    EXPECT_EQ(page.find("<b>:"), std::string::npos);
    EXPECT_NE(page.find("<th>node-1</th>"), std::string::npos);
}

TEST(Formats, TextHasOneLineForEachEvent)
{
    const auto text = renderText({.events = {makeExampleEvent()}});
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
    EXPECT_NE(text.find("upstream-ejected"), std::string::npos);
    EXPECT_NE(text.find("reason=queue-full"), std::string::npos);
}

RC_GTEST_PROP(Formats, WallTimeRoundTrip, (std::uint32_t second, std::uint32_t micros))
{
    const WallTime wall(seconds(second) + Duration(micros % 1'000'000));
    RC_ASSERT(parseWallTime(toString(wall)) == std::optional(wall));
}

TEST(Formats, WallTimeRejectsOtherText)
{
    for (const auto *it :
         {"", "2026-12-04", "2026-13-04T00:00:00Z", "2026-12-04T24:00:00Z", "2026-12-04T00:00:00", "2026-12-04T00:00:00.Z"}) {
        EXPECT_FALSE(parseWallTime(it)) << it;
    }
    EXPECT_EQ(toString(*parseWallTime("2026-12-04T05:06:07.5Z")), "2026-12-04T05:06:07.500000Z");
}

TEST(EventTables, EveryNameIsFound)
{
    for (std::size_t n = 0; n < static_cast<std::size_t>(EventKind::Count); ++n) {
        const auto kind = static_cast<EventKind>(n);
        EXPECT_EQ(findEventKind(rowOf(kind).name), std::optional(kind));
        EXPECT_FALSE(rowOf(kind).text.empty());
    }
    EXPECT_FALSE(findTimelineFormat("xml"));
}
