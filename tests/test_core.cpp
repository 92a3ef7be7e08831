/// @file
/// Tests of request identifiers, enum tables and rendezvous ranks.

#include <chicoryspar/core.h>

#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace chicoryspar;

RC_GTEST_PROP(RequestId, TextRoundTrip, (std::uint64_t high, std::uint64_t low))
{
    const RequestId id{high, low};
    RC_ASSERT(parseRequestId(toString(id)) == std::optional(id));
    RC_ASSERT(parseRequestId('"' + toString(id) + '"') == std::optional(id));
}

TEST(RequestId, ContainsCreationTimeInMilliseconds)
{
    Random random(1);
    const WallTime wall(std::chrono::milliseconds(1'796'000'000'123));
    EXPECT_EQ(creationTime(makeRequestId(wall, random)), std::optional(wall));
    EXPECT_FALSE(creationTime(RequestId{1, 2}));
}

TEST(RequestId, ParserRejectsWrongLengthDigitOrHyphen)
{
    EXPECT_FALSE(parseRequestId(""));
    EXPECT_FALSE(parseRequestId("0190b2f0-0000-7000-8000-00000000000"));
    EXPECT_FALSE(parseRequestId("0190b2f0-0000-7000-8000-00000000000g"));
    EXPECT_FALSE(parseRequestId("0190b2f000000-7000-8000-000000000000"));
}

TEST(Tables, EveryReasonHasUniqueNameThatIsFound)
{
    std::set<std::string_view> names;
    for (std::size_t n = 0; n < static_cast<std::size_t>(Reason::Count); ++n) {
        const auto reason = static_cast<Reason>(n);
        EXPECT_FALSE(rowOf(reason).name.empty());
        EXPECT_TRUE(names.insert(rowOf(reason).name).second);
        EXPECT_EQ(findReason(rowOf(reason).name), std::optional(reason));
    }
    EXPECT_EQ(findRequestClass("order"), std::optional(RequestClass::Order));
    EXPECT_FALSE(findOutcome("maybe"));
}

TEST(Rank, RemovalOfNodeKeepsOrderOfOthers)
{
    std::vector<NodeId> nodes{makeNodeId("a"), makeNodeId("b"), makeNodeId("c"), makeNodeId("d")};
    sortByRank(nodes, 7);
    auto fewer = nodes;
    fewer.erase(fewer.begin() + 1);
    auto sorted = fewer;
    sortByRank(sorted, 7);
    EXPECT_EQ(fewer, sorted);
}
