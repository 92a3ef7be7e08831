/// @file
/// Tests of parsing and validation of objects, and of ConfigSet with random orders of changes.

#include <chicoryspar/config.h>

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace chicoryspar;

namespace {

std::string retryPolicyText(std::uint64_t version, std::uint64_t budget, std::string_view name = "patient")
{
    return R"({"apiVersion":"chicoryspar.io/v1","kind":"RetryPolicy","metadata":{"name":")" + std::string(name) + R"(","resourceVersion":")"
        + std::to_string(version) + R"(","generation":)" + std::to_string(budget + 1) + R"(},"spec":{"budget":)" + std::to_string(budget)
        + "}}";
}

std::shared_ptr<const ConfigObject> parseValid(const std::string &text)
{
    const auto parsed = parseObject(text);
    EXPECT_EQ(toString(parsed.findings), "");
    return parsed.object;
}

bool hasFinding(const std::vector<Finding> &findings, std::string_view place)
{
    return std::any_of(findings.begin(), findings.end(), [place](const Finding &it) { return it.place == place; });
}

constexpr std::string_view kService = R"({"apiVersion":"chicoryspar.io/v1","kind":"Service",
  "metadata":{"name":"orders","resourceVersion":"12","generation":3,"labels":{"team":"dawn"},
    "annotations":{"chicoryspar.io/changed-by":"ines","chicoryspar.io/reason":"more time at dawn"}},
  "spec":{"upstreams":6,"methods":[{"name":"place","verb":"POST","pathPrefix":"/orders","class":"order","once":true,"defaultTimeoutMs":4000},
    {"name":"list","verb":"GET","pathPrefix":"/orders","class":"lookup","idempotent":true}],"retryPolicy":"patient","future":{"x":1}}})";

} // namespace

TEST(ConfigObject, ReadsServiceAndKeepsUnknownFields)
{
    const auto parsed = parseObject(kService);
    ASSERT_TRUE(parsed.object) << toString(parsed.findings);
    const auto &spec = std::get<ServiceSpec>(parsed.object->spec);
    ASSERT_EQ(spec.methods.size(), 2U);
    EXPECT_EQ(spec.methods[0].requestClass, RequestClass::Order);
    EXPECT_TRUE(spec.methods[0].once);
    EXPECT_EQ(spec.methods[0].defaultTimeout, std::chrono::seconds(4));
    EXPECT_EQ(parsed.object->version, 12U);
    EXPECT_EQ(parsed.object->change.changedBy, "ines");
    EXPECT_TRUE(hasFinding(parsed.unknownKeys, "Service/orders spec.future"));
    EXPECT_NE(parsed.object->text.find(R"("future":{"x":1})"), std::string::npos);
    EXPECT_NE(parsed.object->text.find(R"("team":"dawn")"), std::string::npos);
}

TEST(ConfigObject, ReportsAllFindingsTogether)
{
    const auto parsed = parseObject(R"({"apiVersion":"v1","kind":"Service","metadata":{"name":"Orders","resourceVersion":"x"},
      "spec":{"methods":[{"name":"a","verb":"get","pathPrefix":"a","class":"urgent"},
        {"name":"a","verb":"GET","pathPrefix":"/b","once":true,"idempotent":true,"defaultTimeoutMs":0},
        {"name":"c","verb":"GET","pathPrefix":"/b/c"}],"notRunStatuses":[200,"x"],"retryPolicy":3}})");
    EXPECT_FALSE(parsed.object);
    for (const auto *place :
         {"apiVersion", "metadata.name", "metadata.resourceVersion", "spec.methods[0].verb", "spec.methods[0].pathPrefix",
          "spec.methods[0].class", "spec.methods[1].name", "spec.methods[1].idempotent", "spec.methods[1].defaultTimeoutMs",
          "spec.methods[2]", "spec.upstreams", "spec.notRunStatuses[0]", "spec.notRunStatuses[1]", "spec.retryPolicy"}) {
        EXPECT_TRUE(hasFinding(parsed.findings, "Service/Orders " + std::string(place))) << place;
    }
    EXPECT_FALSE(parseObject("").findings.empty());
    EXPECT_FALSE(parseObject(std::string(100'000, '[')).findings.empty());
}

TEST(ConfigObject, StatusWriteLeavesContentEqual)
{
    const auto before = parseValid(retryPolicyText(5, 2));
    auto text = retryPolicyText(9, 2);
    text.insert(text.size() - 1, R"(,"status":{"inForce":830})");
    const auto after = parseValid(text);
    EXPECT_EQ(before->contentHash, after->contentHash);
    ConfigSet set;
    EXPECT_EQ(set.applyObject(TimePoint(Duration(1)), before), ApplyResult::InForce);
    const auto digest = set.digest();
    EXPECT_EQ(set.applyObject(TimePoint(Duration(2)), after), ApplyResult::SameContent);
    EXPECT_EQ(set.digest(), digest);
    EXPECT_EQ(set.find(ObjectKind::RetryPolicy, "patient")->since, TimePoint(Duration(1)));
}

TEST(ConfigSet, InvalidObjectIsRefusedAndTheLastValidOneStaysInForce)
{
    ConfigSet set;
    set.applyObject(TimePoint(), parseValid(retryPolicyText(5, 2)));
    EXPECT_EQ(set.applyParsed(TimePoint(Duration(7)), parseObject(retryPolicyText(6, 1000))), ApplyResult::Refused);
    EXPECT_EQ(set.find(ObjectKind::RetryPolicy, "patient")->object->version, 5U);
    ASSERT_EQ(set.refusedObjects().size(), 1U);
    EXPECT_EQ(set.refusedObjects().begin()->second.version, 6U);
    EXPECT_EQ(set.applyObject(TimePoint(Duration(8)), parseValid(retryPolicyText(7, 3))), ApplyResult::InForce);
    EXPECT_TRUE(set.refusedObjects().empty());
}

TEST(ConfigSet, LooksUpMethodsCallersAndPolicies)
{
    ConfigSet set;
    const auto callerPolicyText = [](const std::string &name, const std::string &callers, int importance) {
        return R"({"apiVersion":"chicoryspar.io/v1","kind":"CallerPolicy","metadata":{"name":")" + name
            + R"(","resourceVersion":"3"},"spec":{"callers":[)" + callers + R"(],"importance":)" + std::to_string(importance) + "}}";
    };
    set.applyObject(TimePoint(), parseValid(std::string(kService)));
    EXPECT_EQ(set.checkReferences().size(), 1U);
    EXPECT_EQ(set.retryPolicyOf("orders").budget, RetryPolicySpec().budget);
    set.applyObject(TimePoint(), parseValid(retryPolicyText(4, 1)));
    set.applyObject(TimePoint(), parseValid(callerPolicyText("shops", R"("shop-*","shop-vip-*")", 9)));
    set.applyObject(TimePoint(), parseValid(callerPolicyText("office", R"("shop-audit")", 1)));
    EXPECT_TRUE(set.checkReferences().empty());
    EXPECT_EQ(set.retryPolicyOf("orders").budget, 1U);
    EXPECT_EQ(set.findMethod("orders", "POST", "/orders/7")->name, "place");
    EXPECT_EQ(set.findMethod("orders", "GET", "/orders")->name, "list");
    EXPECT_EQ(set.findMethod("orders", "GET", "/rounds"), nullptr);
    EXPECT_EQ(set.findMethod("rounds", "GET", "/orders"), nullptr);
    EXPECT_EQ(set.importanceOf("shop-12"), 9);
    EXPECT_EQ(set.importanceOf("shop-audit"), 1);
    EXPECT_EQ(set.importanceOf("press"), kDefaultImportance);
    const auto steps = explainRequest(set, "orders", "shop-12", "POST", "/orders");
    const auto importance = std::find_if(steps.begin(), steps.end(), [](const ExplainStep &it) { return it.what == "importance"; });
    ASSERT_NE(importance, steps.end());
    EXPECT_EQ(importance->object, "CallerPolicy/shops");
}

TEST(ConfigSet, TombstoneSurvivesParsingAndTheOldestIsEvictedWhenFull)
{
    const auto tombstone = makeTombstone(ObjectKind::RetryPolicy, "gone", 7, {.changeId = "c1", .changedBy = "ines", .reason = "unused"});
    const auto read = parseObject(tombstone->text).object;
    ASSERT_TRUE(read);
    EXPECT_TRUE(read->deleted);
    EXPECT_EQ(read->contentHash, tombstone->contentHash);
    EXPECT_EQ(read->change.reason, "unused");
    ConfigSet set;
    set.applyObject(TimePoint(), tombstone);
    for (std::size_t n = 1; n < kMaxObjects; ++n) {
        set.applyObject(TimePoint(), parseValid(retryPolicyText(n + 8, 1, "p" + std::to_string(n))));
    }
    EXPECT_EQ(set.applyObject(TimePoint(), makeTombstone(ObjectKind::RetryPolicy, "older", 6)), ApplyResult::Full);
    EXPECT_EQ(set.applyObject(TimePoint(), parseValid(retryPolicyText(9000, 1, "fresh"))), ApplyResult::InForce);
    EXPECT_EQ(set.findIncludingDeleted(ObjectKind::RetryPolicy, "gone"), nullptr);
    EXPECT_EQ(set.applyObject(TimePoint(), parseValid(retryPolicyText(9001, 1, "another"))), ApplyResult::Full);
    EXPECT_EQ(set.size(), kMaxObjects);
}

TEST(Timestamp, IsRfc3339)
{
    EXPECT_EQ(formatTimestamp(WallTime(std::chrono::seconds(1'796'368'495))), "2026-12-04T07:14:55Z");
}

RC_GTEST_PROP(ConfigSet, VersionsNeverDecreaseAndSetsConvergeInAnyOrder, ())
{
    // As in the store, each version is a change of the spec, a write without a change of content, or a deletion.
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 24);
    std::vector<std::shared_ptr<const ConfigObject>> history;
    for (std::uint64_t version = 1; version <= count; ++version) {
        const auto name = *rc::gen::element<std::string>("a", "b", "c");
        const auto budget = *rc::gen::inRange<std::uint64_t>(0, 4);
        const bool deleted = *rc::gen::inRange(0, 4) == 0;
        history.push_back(deleted ? makeTombstone(ObjectKind::RetryPolicy, name, version)
                                  : parseObject(retryPolicyText(version, budget, name)).object);
    }
    const auto applyInRandomOrder = [&history](ConfigSet &set) {
        auto order = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, history.size()));
        for (const auto n : order) {
            const auto *before = set.findIncludingDeleted(ObjectKind::RetryPolicy, history[n]->name);
            const auto version = before ? before->object->version : 0;
            set.applyObject(TimePoint(Duration(n)), history[n]);
            RC_ASSERT(set.findIncludingDeleted(ObjectKind::RetryPolicy, history[n]->name)->object->version >= version);
        }
    };
    ConfigSet a;
    ConfigSet b;
    applyInRandomOrder(a);
    applyInRandomOrder(b);
    for (const auto &it : a.objectsNewerThan(b.versions())) {
        b.applyObject(TimePoint(), it);
    }
    for (const auto &it : b.objectsNewerThan(a.versions())) {
        a.applyObject(TimePoint(), it);
    }
    RC_ASSERT(a.digest() == b.digest());
    RC_ASSERT(a.objectsNewerThan(b.versions()).empty());
    for (const auto &it : history) {
        a.applyObject(TimePoint(), it);
    }
    RC_ASSERT(a.objectsNewerThan(b.versions()).size() <= 3);
    for (const auto *name : {"a", "b", "c"}) {
        const auto last = std::find_if(history.rbegin(), history.rend(), [name](const auto &it) { return it->name == name; });
        const auto *entry = a.findIncludingDeleted(ObjectKind::RetryPolicy, name);
        RC_ASSERT((last == history.rend()) == (entry == nullptr));
        RC_ASSERT((!entry || entry->object->contentHash == (*last)->contentHash));
    }
}
