/// @file
/// Reading of the operator's configuration at the size of hundreds of hosts: thousands of routes, and objects of other writers.

#include "platform/platform.h"
#include "tests/heap_size.h"

#include <algorithm>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace chicoryspar;

namespace {

/// Size limit of an object in the platform's store.
constexpr std::size_t kStoredObjectBytes = 1024 * 1024;

std::string makeRoute(std::size_t n)
{
    const auto id = std::to_string(n);
    return R"({"name":"route-)" + id + R"(","hostname":"h)" + id + R"(.example","pathPrefix":"/p)" + id
        + R"(/","routeType":"safe","timeout":"1200ms","targetLatency":"1500ms","priority":2,"service":"s1","maxAttempts":2})";
}

std::string makeConfig(std::size_t routes)
{
    std::string text = R"({"metadata":{"name":"main","modRevision":12},"spec":{"version":"r7","routes":[)";
    for (std::size_t n = 0; n < routes; ++n) {
        text += (n > 0 ? "," : "") + makeRoute(n);
    }
    return text + R"(],"services":[{"name":"s1","healthPath":"/healthz","maxConnections":316}]}})";
}

/// Returns the translation of a configuration with @a routes and @a more members.
ParsedObject translate(const std::string &routes, const std::string &more)
{
    const auto object =
        R"({"metadata":{"name":"main","modRevision":12},"spec":{"version":"r7","routes":[)" + routes + R"(],"services":[])" + more + "}}";
    const auto text = sidecarStoreDialect()->readObject(ObjectKind::RouteTable, object);
    return text ? parseObject(*text) : ParsedObject();
}

std::string makeList(const std::string &item, const std::string &hasMore = "false")
{
    return R"({"items":[)" + item + R"(],"hasMore":)" + hasMore + R"(,"at":12})";
}

std::string makeWatch(const std::string &object)
{
    return R"({"events":[{"deleted":false,"object":)" + object + R"(}],"at":15})";
}

} // namespace

TEST(RouteTable, ATableIsNeverHeldTwice)
{
    const auto body = makeList(makeConfig(1400));
    const auto treeBytesOf = [](const std::string &text) { return peakOf([&text] { const auto tree = nlohmann::json::parse(text); }); };
    const auto treeBytes = treeBytesOf(body);
    std::optional<ObjectPage> page;
    const auto translation = peakOf([&] { page = sidecarStoreDialect()->readPage(ObjectKind::RouteTable, body); });
    ASSERT_TRUE(page);
    ASSERT_EQ(page->list.objects.size(), 1U);
    ParsedObject parsed;
    const auto parsing = peakOf([&] { parsed = parseObject(page->list.objects[0]); });
    ASSERT_TRUE(parsed.object) << toString(parsed.findings);
    EXPECT_EQ(std::get<RouteTableSpec>(parsed.object->spec).routes.size(), 1400U);
    // One tree in the larger of both forms, and a growing text: its buffer and the one of twice that size exist at once.
    const auto &text = page->list.objects[0];
    EXPECT_LT(translation, std::max(treeBytes, treeBytesOf(text)) + 3 * text.size());
    EXPECT_LT(parsing, treeBytes * 2);
}

TEST(RouteTable, EachTableThatTheStoreAcceptsIsAccepted)
{
    auto routes = kStoredObjectBytes / makeRoute(10'000).size();
    while (makeConfig(routes).size() > kStoredObjectBytes) {
        --routes;
    }
    const auto page = sidecarStoreDialect()->readPage(ObjectKind::RouteTable, makeList(makeConfig(routes)));
    ASSERT_TRUE(page);
    const auto parsed = parseObject(page->list.objects.at(0));
    EXPECT_TRUE(parsed.object) << toString(parsed.findings);
}

TEST(RouteTable, SafeAndDownloadRoutesAreIdempotentAndOthersAreNot)
{
    for (const auto &[type, isIdempotent] :
         {std::pair{"safe", true}, {"download", true}, {"unsafe", false}, {"Safe", false}, {"", false}}) {
        auto route = makeRoute(1);
        route.replace(route.find("safe"), 4, type);
        const auto parsed = translate(route, "");
        ASSERT_TRUE(parsed.object) << toString(parsed.findings);
        EXPECT_EQ(std::get<RouteTableSpec>(parsed.object->spec).routes.at(0).idempotent, isIdempotent) << type;
    }
}

TEST(RouteTable, RoutesArePublicOnlyIfTheySaySo)
{
    const auto open = makeRoute(1);
    const auto parsed = translate(makeRoute(2) + "," + open.substr(0, open.size() - 1) + R"(,"public":true})", "");
    ASSERT_TRUE(parsed.object) << toString(parsed.findings);
    const auto &routes = std::get<RouteTableSpec>(parsed.object->spec).routes;
    EXPECT_FALSE(routes.at(0).isPublic);
    EXPECT_TRUE(routes.at(1).isPublic);
}

TEST(RouteTable, KeysBecomeDigestsAndAppearNowhere)
{
    const auto parsed = translate(makeRoute(1),
                                  R"(,"tenants":[{"name":"a","apiKeys":["abc","k-secret"],"priority":1,"ratePerS":2.5,"burst":9},)"
                                  R"({"name":"b","apiKeys":null,"ratePerS":null},{"name":"c"}])");
    ASSERT_TRUE(parsed.object) << toString(parsed.findings);
    const auto &customers = std::get<RouteTableSpec>(parsed.object->spec).customers;
    ASSERT_TRUE(customers);
    ASSERT_EQ(customers->size(), 3U);
    const auto &first = customers->front();
    EXPECT_EQ(first.keyDigests.at(0), "ba7816bf8f01cfea414140de5dae2223");
    EXPECT_EQ(first.keyDigests.size(), 2U);
    EXPECT_EQ(first.priority, 1U);
    EXPECT_EQ(first.requestsPerSecond, 2.5);
    EXPECT_EQ(first.burst, 9);
    EXPECT_TRUE(customers->at(2).keyDigests.empty());
    EXPECT_EQ(customers->at(2).requestsPerSecond, 0);
    EXPECT_EQ(parsed.object->text.find("k-secret"), std::string::npos);
}

// A customer or key that can't be read is left out by itself; the deployment isn't opened and no key is refused for good.
TEST(RouteTable, UnreadableCustomersAreLeftOutByThemselves)
{
    for (const auto *it : {R"("x")", "{}", "[7]", R"([{"apiKeys":["k-secret"]}])", R"([{"name":"a","apiKeys":"k-secret"}])",
                           R"([{"name":"a","apiKeys":[7]}])", R"([{"name":"a","priority":"k-secret"}])"}) {
        const auto parsed = translate(makeRoute(1), std::string(R"(,"tenants":)") + it);
        ASSERT_TRUE(parsed.object) << it;
        const auto &table = std::get<RouteTableSpec>(parsed.object->spec);
        EXPECT_TRUE(table.customers) << it;
        EXPECT_TRUE(table.hasUnreadKeys) << it;
        EXPECT_EQ(table.routes.size(), 1U) << it;
        EXPECT_FALSE(parsed.unusedParts.empty()) << it;
        EXPECT_EQ(toString(parsed.unusedParts).find("k-secret"), std::string::npos);
    }
    EXPECT_FALSE(std::get<RouteTableSpec>(translate(makeRoute(1), "").object->spec).customers);
    EXPECT_FALSE(std::get<RouteTableSpec>(translate(makeRoute(1), R"(,"tenants":null)").object->spec).customers);
    EXPECT_TRUE(std::get<RouteTableSpec>(translate(makeRoute(1), R"(,"tenants":[])").object->spec).customers);
}

// A route whose fields can't be read got a timeout of 0 and made the whole configuration invalid.
TEST(RouteTable, UnreadableRoutesAreRefusedForNowAndTheOthersAreInForce)
{
    auto broken = makeRoute(2);
    broken.replace(broken.find("1200ms"), 6, "soon");
    const auto parsed = translate(makeRoute(1) + "," + broken, "");
    ASSERT_TRUE(parsed.object) << toString(parsed.findings);
    const auto &routes = std::get<RouteTableSpec>(parsed.object->spec).routes;
    ASSERT_EQ(routes.size(), 2U);
    EXPECT_TRUE(routes[0].isUsable);
    EXPECT_FALSE(routes[1].isUsable);
    // Unreadable lists name no route, which isn't the same as a list without any.
    for (const auto *it : {"{}", "null", "7"}) {
        const auto object = std::string(R"({"metadata":{"name":"main","modRevision":12},"spec":{"version":"r7","routes":)") + it + "}}";
        const auto list = parseObject(sidecarStoreDialect()->readObject(ObjectKind::RouteTable, object).value());
        ASSERT_TRUE(list.object) << it;
        EXPECT_TRUE(std::get<RouteTableSpec>(list.object->spec).hasUnreadRoutes) << it;
    }
}

// The largest object in the direction in which the translation grows most.
TEST(RouteTable, ShortestKeysUpToTheSizeOfTheStoreAreAccepted)
{
    constexpr std::string_view kLetters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789";
    const auto letter = [kLetters](std::size_t n) { return kLetters[n % kLetters.size()]; };
    std::string keys;
    std::size_t count = 0;
    for (; keys.size() < kStoredObjectBytes - 1024; ++count) {
        keys += count > 0 ? ",\"" : "\"";
        keys += {letter(count), letter(count / kLetters.size()), letter(count / kLetters.size() / kLetters.size()), '"'};
    }
    const auto parsed = translate(makeRoute(1), R"(,"tenants":[{"name":"a","apiKeys":[)" + keys + "]}]");
    ASSERT_TRUE(parsed.object) << toString(parsed.findings);
    EXPECT_EQ(std::get<RouteTableSpec>(parsed.object->spec).customers->at(0).keyDigests.size(), count);
}

TEST(RouteTable, TenThousandCustomersAreAccepted)
{
    std::string list;
    for (std::size_t n = 0; n < 10'000; ++n) {
        const auto id = std::to_string(n);
        list.append(n > 0 ? "," : "").append(R"({"name":"customer-)").append(id).append(R"(","apiKeys":["key-)").append(id);
        list.append(R"(-0123456789"],"priority":1,"ratePerS":2.5,"burst":20})");
    }
    ASSERT_LT(list.size(), kStoredObjectBytes);
    const auto parsed = translate(makeRoute(1), R"(,"tenants":[)" + list + "]");
    ASSERT_TRUE(parsed.object) << toString(parsed.findings);
    EXPECT_EQ(std::get<RouteTableSpec>(parsed.object->spec).customers->size(), 10'000U);
}

TEST(RouteTable, ObjectsOfAnotherFormRaiseNoException)
{
    const auto dialect = sidecarStoreDialect();
    for (const std::string object :
         {R"({"metadata":{"name":"main","modRevision":12},"spec":7})",
          R"({"metadata":{"name":"main","modRevision":12},"spec":{"version":7}})",
          R"({"metadata":{"name":"main","modRevision":12},"spec":{"version":"r1","routes":[7,null,"x"],"services":{}}})",
          R"({"metadata":{"name":"main","modRevision":"x"}})", R"({"metadata":[]})", R"([])", R"(null)", R"(7)", R"({})",
          "{\"metadata\":{\"name\":\"main\",\"modRevision\":12},\"spec\":{\"version\":\"\xff\"}}"}) {
        for (const auto kind : {ObjectKind::RouteTable, ObjectKind::Contact}) {
            EXPECT_NO_THROW({
                const auto page = dialect->readPage(kind, makeList(object));
                for (const auto &it : page ? page->list.objects : std::vector<std::string>()) {
                    parseObject(it);
                }
            }) << object;
            EXPECT_NO_THROW(dialect->readObject(kind, object)) << object;
            EXPECT_NO_THROW(dialect->readEvents(kind, makeWatch(object))) << object;
        }
    }
    EXPECT_NO_THROW(dialect->readPage(ObjectKind::Contact, makeList("{}", "7")));
    // A page that can't be continued must not pass for the end of the list.
    EXPECT_NO_THROW(EXPECT_FALSE(dialect->readPage(ObjectKind::Contact, makeList(R"({"metadata":{"name":7}})", "true"))));
    EXPECT_NO_THROW(EXPECT_FALSE(dialect->readPage(ObjectKind::RouteTable, makeList(R"({"metadata":{}})", "true"))));
    EXPECT_NO_THROW(dialect->readEvents(ObjectKind::Contact, R"({"events":[7],"at":3})"));
    EXPECT_NO_THROW(dialect->readEvents(ObjectKind::Contact, R"({"events":[{"deleted":7}],"at":3})"));
}
