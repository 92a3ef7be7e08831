/// @file
/// Tests of customers in the route table: whose key is accepted, which parts are left out, and the defaults of limits.

#include <chicoryspar/config.h>

#include <limits>

#include <gtest/gtest.h>

#include "overload/fair_share.h"

using namespace chicoryspar;

namespace {

std::string makeTable(std::uint64_t version, const std::string &spec)
{
    return R"({"apiVersion":"chicoryspar.io/v1","kind":"RouteTable","metadata":{"name":"main","resourceVersion":")"
        + std::to_string(version) + R"("},"spec":{)" + spec + "}}";
}

std::string makeDigest(std::size_t n)
{
    auto text = std::to_string(n);
    return std::string(32 - text.size(), 'a') + text;
}

std::string makeCustomer(const std::string &name, std::size_t key, const std::string &more = {})
{
    return R"({"name":")" + name + R"(","keyDigests":[")" + makeDigest(key) + R"("])" + more + "}";
}

std::string listOf(const std::string &items)
{
    return R"("customers":[)" + items + "]";
}

} // namespace

TEST(Customers, EachKeyFindsItsCustomerUntilItIsRevoked)
{
    ConfigSet set;
    const auto two = R"({"name":"b","keyDigests":[")" + makeDigest(2) + R"(",")" + makeDigest(3) + R"("]})";
    ASSERT_EQ(set.applyParsed(TimePoint(), parseObject(makeTable(1, listOf(makeCustomer("a", 1) + "," + two)))), ApplyResult::InForce);
    EXPECT_TRUE(set.requiresCustomers());
    EXPECT_EQ(set.findCustomerByDigest(makeDigest(1))->name, "a");
    EXPECT_EQ(set.findCustomerByDigest(makeDigest(2))->name, "b");
    EXPECT_EQ(set.findCustomerByDigest(makeDigest(3))->name, "b");
    EXPECT_EQ(set.findCustomerByDigest(""), nullptr);
    set.applyParsed(TimePoint(), parseObject(makeTable(2, listOf(makeCustomer("b", 3)))));
    EXPECT_EQ(set.findCustomerByDigest(makeDigest(1)), nullptr);
    EXPECT_EQ(set.findCustomerByDigest(makeDigest(2)), nullptr);
    EXPECT_EQ(set.findCustomerByDigest(makeDigest(3))->name, "b");
    EXPECT_EQ(set.customers().size(), 1U);
}

// A deployment whose last customer was removed must not become open to everybody.
TEST(Customers, EmptyListRequiresKeysAndAnAbsentOneDoesNot)
{
    ConfigSet set;
    EXPECT_FALSE(set.requiresCustomers());
    set.applyParsed(TimePoint(), parseObject(makeTable(1, listOf(""))));
    EXPECT_TRUE(set.requiresCustomers());
    set.applyParsed(TimePoint(), parseObject(makeTable(2, "")));
    EXPECT_FALSE(set.requiresCustomers());
}

// A configuration with a customer of 257 keys was refused as a whole, and the version before stayed in force.
TEST(Customers, NumberOfKeysIsBoundedByTheSizeOfTheObjectOnly)
{
    for (const std::size_t count : {257, 20'000}) {
        std::string digests;
        for (std::size_t n = 0; n < count; ++n) {
            digests.append(n > 0 ? ",\"" : "\"").append(makeDigest(n)).append("\"");
        }
        ConfigSet set;
        const auto large = R"({"name":"large","keyDigests":[)" + digests + "]}";
        ASSERT_EQ(set.applyParsed(TimePoint(), parseObject(makeTable(1, listOf(large)))), ApplyResult::InForce) << count;
        EXPECT_TRUE(set.knowsAllKeys());
        ASSERT_TRUE(set.findCustomerByDigest(makeDigest(count - 1))) << count;
        EXPECT_EQ(set.findCustomerByDigest(makeDigest(count - 1))->name, "large");
    }
}

// One customer or key that can't be used held back the whole configuration.
TEST(Customers, AnUnusablePartIsLeftOutByItselfAndNoFindingQuotesAKey)
{
    const std::string secret = "k-secret";
    const auto other = makeCustomer("other", 9) + ",";
    const std::vector<std::string> lists{listOf(other + "7"),
                                         listOf(other + R"({"keyDigests":[]})"),
                                         listOf(other + R"({"name":"a","keyDigests":[")" + secret + R"("]})"),
                                         listOf(other + R"({"name":"a","keyDigests":")" + secret + R"("})"),
                                         listOf(other + R"({"name":"a","keyDigests":[7]})"),
                                         listOf(other + R"({"name":"a\r\nb","keyDigests":[]})"),
                                         listOf(other + makeCustomer("a", 1) + "," + makeCustomer("a", 2)),
                                         listOf(other + makeCustomer("a", 1) + "," + makeCustomer("b", 1)),
                                         listOf(other + makeCustomer("a", 1, R"(,"priority":-1)")),
                                         listOf(other + makeCustomer("a", 1, R"(,"requestsPerSecond":-0.5)")),
                                         listOf(other + makeCustomer("a", 1, R"(,"requestsPerSecond":")" + secret + R"(")"))};
    for (const auto &it : lists) {
        ConfigSet set;
        const auto parsed = parseObject(makeTable(1, it));
        ASSERT_EQ(set.applyParsed(TimePoint(), parsed), ApplyResult::InForce) << it;
        EXPECT_EQ(parsed.unusedParts.size(), 1U) << toString(parsed.unusedParts);
        EXPECT_EQ(set.unusedParts(), parsed.unusedParts);
        EXPECT_EQ(toString(parsed.unusedParts).find(secret), std::string::npos) << toString(parsed.unusedParts);
        EXPECT_TRUE(set.findCustomerByDigest(makeDigest(9))) << it;
        EXPECT_EQ(set.findCustomerByDigest(secret), nullptr);
        EXPECT_FALSE(set.knowsAllKeys()) << it;
    }
    // A key that two customers state belongs to neither.
    ConfigSet set;
    set.applyParsed(TimePoint(), parseObject(makeTable(1, listOf(makeCustomer("a", 1) + "," + makeCustomer("b", 1)))));
    EXPECT_EQ(set.findCustomerByDigest(makeDigest(1)), nullptr);
}

// A list that can't be read must neither open the deployment nor refuse its customers for good.
TEST(Customers, AnUnreadableListRequiresKeysAndKnowsNone)
{
    for (const auto *it : {R"("customers":null)", R"("customers":{})", R"("customers":"x")"}) {
        ConfigSet set;
        ASSERT_EQ(set.applyParsed(TimePoint(), parseObject(makeTable(1, it))), ApplyResult::InForce) << it;
        EXPECT_TRUE(set.requiresCustomers()) << it;
        EXPECT_FALSE(set.knowsAllKeys()) << it;
        EXPECT_EQ(set.unusedParts().size(), 1U) << it;
    }
}

TEST(Customers, NumbersBeyondTheRangeOfTheNodeAreClamped)
{
    ConfigSet set;
    const auto list = makeCustomer("a", 1, R"(,"burst":1e99,"requestsPerSecond":1e99,"priority":99999999999)");
    ASSERT_EQ(set.applyParsed(TimePoint(), parseObject(makeTable(1, listOf(list)))), ApplyResult::InForce);
    EXPECT_TRUE(set.knowsAllKeys());
    EXPECT_EQ(set.findCustomerByDigest(makeDigest(1))->requestsPerSecond, 1e9);
    EXPECT_EQ(set.findCustomerByDigest(makeDigest(1))->burst, 1e9);
    EXPECT_EQ(set.findCustomerByDigest(makeDigest(1))->priority, std::numeric_limits<std::uint32_t>::max());
}

TEST(Customers, LimitAndPriorityHaveDefaults)
{
    ConfigSet set;
    const auto list = makeCustomer("none", 1, R"(,"burst":7)") + "," + makeCustomer("rate", 2, R"(,"requestsPerSecond":2.5)") + ","
        + makeCustomer("slow", 3, R"(,"requestsPerSecond":0.25,"priority":0)") + ","
        + makeCustomer("both", 4, R"(,"requestsPerSecond":10,"burst":30)");
    ASSERT_EQ(set.applyParsed(TimePoint(), parseObject(makeTable(1, listOf(list)))), ApplyResult::InForce);
    EXPECT_EQ(set.findCustomerByDigest(makeDigest(1))->requestsPerSecond, 0);
    EXPECT_EQ(set.findCustomerByDigest(makeDigest(2))->burst, 2.5);
    EXPECT_EQ(set.findCustomerByDigest(makeDigest(3))->burst, 1);
    EXPECT_EQ(set.findCustomerByDigest(makeDigest(4))->burst, 30);
    EXPECT_EQ(set.findCustomerByDigest(makeDigest(1))->priority, std::nullopt);
    EXPECT_EQ(set.findCustomerByDigest(makeDigest(3))->priority, 0U);
}

// The indexes point into objects of the set; a copy must keep them alive after the original is destroyed.
TEST(Customers, CopyOfASetWithTenThousandCustomersKeepsThem)
{
    std::string list;
    for (std::size_t n = 0; n < 10'000; ++n) {
        list +=
            (n > 0 ? "," : "") + makeCustomer("customer-" + std::to_string(n), n, R"(,"priority":1,"requestsPerSecond":2.5,"burst":20)");
    }
    ConfigSet copy;
    {
        ConfigSet set;
        ASSERT_EQ(set.applyParsed(TimePoint(), parseObject(makeTable(1, listOf(list)))), ApplyResult::InForce);
        copy = set;
    }
    EXPECT_EQ(copy.customers().size(), 10'000U);
    ASSERT_TRUE(copy.findCustomerByDigest(makeDigest(9'999)));
    EXPECT_EQ(copy.findCustomerByDigest(makeDigest(9'999))->name, "customer-9999");
}

// A request of a route of higher priority must not be refused before one of a lower priority, whatever their labels.
TEST(Customers, RoutePriorityDecidesBeforeTheLabel)
{
    for (std::uint32_t priority = 0; priority < 2; ++priority) {
        EXPECT_GT(customerImportance(priority, kLabelSteps - 1), customerImportance(priority + 1, 0));
    }
    for (std::uint8_t step = 1; step < kLabelSteps; ++step) {
        EXPECT_LT(customerImportance(1, step), customerImportance(1, step - 1));
    }
    EXPECT_EQ(customerImportance(0, kLabelSteps), customerImportance(0, kLabelSteps - 1));
    EXPECT_EQ(customerImportance(2, 3), customerImportance(1000, 3));
    EXPECT_LT(customerImportance(0, 0), kMaxImportance);
}
