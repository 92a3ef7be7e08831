/// @file
/// Contacts of hosts that are gone are removed, and never the contact of a host that may be alive.

#include "membership/contact_sweep.h"

#include <gtest/gtest.h>

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

constexpr Duration kRetention = 10min;

std::vector<Member> makeMembers(std::size_t count)
{
    std::vector<Member> members(count);
    for (std::size_t n = 0; n < count; ++n) {
        members[n].info.id = NodeId{n + 1};
        members[n].info.address = "10.0.0." + std::to_string(n) + ":7";
    }
    return members;
}

/// All nodes of a cluster, each with its own sweep.
struct Sweeps
{
    explicit Sweeps(const std::vector<Member> &members)
    {
        for (const auto &it : members) {
            present.push_back(&it);
            sweeps.emplace_back(ContactSweepOptions{.self = it.info.id, .retention = kRetention});
        }
    }

    /// Returns the removals of all nodes after a list call of each.
    std::vector<ListedContact> list(TimePoint now, const std::vector<ListedContact> &contacts)
    {
        std::vector<ListedContact> removals;
        for (auto &it : sweeps) {
            for (const auto &removal : it.onListed(now, contacts, present)) {
                removals.push_back(removal);
            }
        }
        return removals;
    }

    std::vector<const Member *> present;
    std::vector<ContactSweep> sweeps;
};

const ListedContact kLive{"live", "10.0.0.1:7", 4};
const ListedContact kGone{"gone", "10.9.9.9:7", 5};

} // namespace

TEST(ContactSweep, OneNodeRemovesTheContactOfAHostThatIsGone)
{
    const auto members = makeMembers(5);
    Sweeps sweeps(members);
    EXPECT_TRUE(sweeps.list(TimePoint{1h}, {kLive, kGone}).empty());
    EXPECT_TRUE(sweeps.list(TimePoint{1h} + kRetention - 1s, {kLive, kGone}).empty());
    const auto removals = sweeps.list(TimePoint{1h} + kRetention, {kLive, kGone});
    ASSERT_EQ(removals.size(), 1U);
    EXPECT_EQ(removals[0].name, "gone");
    EXPECT_EQ(removals[0].version, 5U);
}

TEST(ContactSweep, AHostThatComesBackStartsAnew)
{
    const auto members = makeMembers(5);
    Sweeps sweeps(members);
    sweeps.list(TimePoint{1h}, {kGone});
    auto rewritten = kGone;
    rewritten.version = 9;
    // The host has written its contact again, but isn't a member yet.
    EXPECT_TRUE(sweeps.list(TimePoint{1h} + kRetention, {rewritten}).empty());
    EXPECT_TRUE(sweeps.list(TimePoint{1h} + 2 * kRetention - 1s, {rewritten}).empty());
    EXPECT_EQ(sweeps.list(TimePoint{1h} + 2 * kRetention, {rewritten}).size(), 1U);
}

TEST(ContactSweep, ARewoundListAndAGapInItCountFromTheirLastAppearance)
{
    const auto members = makeMembers(3);
    Sweeps sweeps(members);
    sweeps.list(TimePoint{1h}, {kGone});
    sweeps.list(TimePoint{1h} + 1min, {});
    EXPECT_TRUE(sweeps.list(TimePoint{1h} + kRetention, {kGone}).empty());
}

TEST(ContactSweep, ANewlyChosenNodeWaitsForTheWholeRetention)
{
    const auto members = makeMembers(2);
    Sweeps sweeps(members);
    sweeps.list(TimePoint{1h}, {kGone});
    // Each node now believes that it is alone, and so chosen; only the one that was chosen before may remove.
    std::size_t removals = 0;
    for (std::size_t n = 0; n < members.size(); ++n) {
        const std::vector<const Member *> alone{&members[n]};
        removals += sweeps.sweeps[n].onListed(TimePoint{1h} + kRetention, std::vector{kGone}, alone).size();
    }
    EXPECT_EQ(removals, 1U);
}

TEST(ContactSweep, UnreadableContactsAreLeftAlone)
{
    const auto members = makeMembers(1);
    Sweeps sweeps(members);
    const std::vector<ListedContact> unreadable{{"", "", 3}, {"x", "", 0}};
    sweeps.list(TimePoint{1h}, unreadable);
    EXPECT_TRUE(sweeps.list(TimePoint{1h} + 2 * kRetention, unreadable).empty());
}

// A store that returned from an older copy gives versions out again: a contact with the version of a former one isn't that one.
TEST(ContactSweep, AVersionGivenOutAgainStartsTheRetentionAnew)
{
    const auto members = makeMembers(3);
    Sweeps sweeps(members);
    auto gone = kGone;
    gone.storeEra = 1;
    EXPECT_TRUE(sweeps.list(TimePoint{1h}, {gone}).empty());
    gone.storeEra = 2;
    EXPECT_TRUE(sweeps.list(TimePoint{1h} + kRetention, {gone}).empty());
    EXPECT_EQ(sweeps.list(TimePoint{1h} + 2 * kRetention, {gone}).size(), 1U);
}

TEST(ContactSweep, AnEarlierAddressOfAHostIsNotItsContact)
{
    const std::vector<ListedContact> contacts{kLive};
    EXPECT_TRUE(containsContact(contacts, "live", "10.0.0.1:7"));
    EXPECT_FALSE(containsContact(contacts, "live", "10.0.0.1:9"));
    EXPECT_FALSE(containsContact(contacts, "other", "10.0.0.1:7"));
}
