/// @file
/// Guards against one odd entry of another writer that ends the process that reads it or hides the other entries: nested very deeply, with
/// a number that can't be represented, with bytes that can't be read, or with a port out of range.

#include "platform/platform.h"

#include <chicoryspar/store.h>

#include <gtest/gtest.h>

using namespace chicoryspar;

namespace {

constexpr std::size_t kDepth = 200'000;

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string nestedObjects(std::size_t depth)
{
    std::string text;
    for (std::size_t n = 0; n < depth; ++n) {
        text += R"({"a":)";
    }
    return text + "1" + std::string(depth, '}');
}

std::string makeContact(const std::string &name, const std::string &spec)
{
    return R"({"metadata":{"name":")" + name + R"(","modRevision":5},"spec":)" + spec + "}";
}

/// Odd values of a spec.
std::vector<std::string> oddSpecs()
{
    return {nested(kDepth),
            nestedObjects(kDepth),
            R"({"address":)" + nestedObjects(kDepth) + "}",
            R"({"address":1e999})",
            R"({"address":-1e999,"other":123456789012345678901234567890})",
            "{\"address\":\"\xff\xfe\"}",
            R"({"address":"a\ud800"})",
            "nul",
            R"({"address":"[}\"]"})"};
}

std::vector<std::string> namesIn(const std::vector<std::string> &objects)
{
    std::vector<std::string> names;
    for (const auto &it : objects) {
        const auto parsed = parseObject(it);
        if (parsed.object) {
            names.push_back(parsed.name);
        }
    }
    return names;
}

std::string makeAnnouncement(const std::string &address, const std::string &info)
{
    return R"({"address":)" + address + R"(,"info":)" + info + R"(,"status":{"phase":"ready","sequence":4,"coldRemaining":"0ms"}})";
}

} // namespace

TEST(OddEntries, ListShowsTheOtherEntries)
{
    const std::vector<std::string> others{"first", "last"};
    for (const auto &it : oddSpecs()) {
        const auto good = R"({"address":"10.1.0.8:7620"})";
        const auto body = R"({"items":[)" + makeContact("first", good) + "," + makeContact("odd", it) + "," + makeContact("last", good)
            + R"(],"hasMore":false,"at":9})";
        const auto page = sidecarStoreDialect()->readPage(ObjectKind::Contact, body);
        ASSERT_TRUE(page) << it.substr(0, 60);
        EXPECT_EQ(page->list.version, 9U);
        EXPECT_EQ(namesIn(page->list.objects), others) << it.substr(0, 60);
    }
}

TEST(OddEntries, ListGoesOnAfterAnOddEntryAtTheEndOfAPage)
{
    for (const auto &it : oddSpecs()) {
        const auto body = R"({"items":[)" + makeContact("odd", it) + R"(],"hasMore":true,"at":9})";
        const auto page = sidecarStoreDialect()->readPage(ObjectKind::Contact, body);
        ASSERT_TRUE(page) << it.substr(0, 60);
        EXPECT_EQ(page->next, "odd");
    }
}

TEST(OddEntries, WatchShowsTheOtherEvents)
{
    for (const auto &it : oddSpecs()) {
        const auto good = makeContact("good", R"({"address":"10.1.0.8:7620"})");
        const auto text = R"({"events":[{"object":)" + makeContact("odd", it) + R"(},{"object":)" + good + R"(}],"at":9})";
        const auto events = sidecarStoreDialect()->readEvents(ObjectKind::Contact, text);
        ASSERT_TRUE(events) << it.substr(0, 60);
        ASSERT_FALSE(events->empty());
        EXPECT_EQ(events->back().kind, StoreEventKind::Bookmark);
        EXPECT_EQ(events->back().version, 9U);
        ASSERT_GE(events->size(), 2U) << it.substr(0, 60);
        EXPECT_EQ(parseObject((*events)[events->size() - 2].object).name, "good");
    }
}

// An incomplete list that counted as complete would show the objects after the cut as deleted.
TEST(OddEntries, CutAnswerOfTheStoreIsMalformed)
{
    const auto items = "[" + makeContact("first", R"({"address":"10.1.0.8:7620"})") + "," + makeContact("last", R"({"a":"]}"})") + "]";
    for (const auto &body : {R"({"items":)" + items + R"(,"hasMore":false,"at":9})", R"({"at":9,"hasMore":false,"items":)" + items + "}"}) {
        EXPECT_TRUE(sidecarStoreDialect()->readPage(ObjectKind::Contact, body));
        for (std::size_t n = 0; n < body.size(); ++n) {
            EXPECT_FALSE(sidecarStoreDialect()->readPage(ObjectKind::Contact, body.substr(0, n))) << n;
        }
    }
    const auto native = R"({"metadata":{"resourceVersion":"9"},"items":)" + items + "}";
    EXPECT_TRUE(nativeStoreDialect()->readPage(ObjectKind::Contact, native));
    for (std::size_t n = 0; n < native.size(); ++n) {
        EXPECT_FALSE(nativeStoreDialect()->readPage(ObjectKind::Contact, native.substr(0, n))) << n;
    }
}

TEST(OddEntries, SingleObjectIsNoCrash)
{
    for (const auto &it : oddSpecs()) {
        for (const auto kind : {ObjectKind::Contact, ObjectKind::RouteTable}) {
            const auto object = sidecarStoreDialect()->readObject(kind, makeContact("main", it));
            EXPECT_FALSE(object && parseObject(*object).object) << it.substr(0, 60);
        }
    }
}

TEST(OddEntries, NativeListShowsTheOtherEntries)
{
    const std::vector<std::string> others{"first", "last"};
    const auto makeObject = [](const std::string &name, const std::string &spec) {
        return R"({"apiVersion":"chicoryspar.io/v1","kind":"Contact","metadata":{"name":")" + name + R"(","resourceVersion":"5"},"spec":)"
            + spec + "}";
    };
    for (const auto &it : oddSpecs()) {
        const auto good = R"({"address":"10.1.0.8:7620"})";
        const auto body = R"({"metadata":{"resourceVersion":"9"},"items":[)" + makeObject("first", good) + "," + makeObject("odd", it) + ","
            + makeObject("last", good) + "]}";
        const auto page = nativeStoreDialect()->readPage(ObjectKind::Contact, body);
        ASSERT_TRUE(page) << it.substr(0, 60);
        EXPECT_EQ(namesIn(page->list.objects), others) << it.substr(0, 60);
    }
}

TEST(OddEntries, AnnouncementIsRejected)
{
    const std::string info = R"({"service":"orders","version":"v1","zone":"a","slots":4})";
    std::vector<std::string> bodies{makeAnnouncement(R"("10.1.0.8:1")", nestedObjects(kDepth)), makeAnnouncement(nested(kDepth), info),
                                    makeAnnouncement("1e999", info), nested(kDepth),
                                    makeAnnouncement(R"("10.1.0.8:1")", R"({"service":"orders","slots":1e999})")};
    for (const auto &it : bodies) {
        const auto notice =
            sidecarEdgeDialect()->readNotice({.verb = "PUT", .target = "/chicoryspar/instances/i", .headers = {}, .body = it});
        ASSERT_TRUE(notice);
        EXPECT_FALSE(notice->findings.empty()) << it.substr(0, 60);
    }
}

TEST(OddEntries, ContactWithAPortOutOfRangeIsRefused)
{
    for (const std::string it : {"10.1.0.8:65536", "10.1.0.8:99999999999999999999", "10.1.0.8:0", "10.1.0.8:x", "10.1.0.8:", "10.1.0.8"}) {
        const auto text =
            R"({"apiVersion":"chicoryspar.io/v1","kind":"Contact","metadata":{"name":"c"},"spec":{"address":")" + it + R"("}})";
        EXPECT_FALSE(parseObject(text).object) << it;
    }
}
