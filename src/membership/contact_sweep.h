#pragma once

/// @file
/// Decides which contacts in the store belong to hosts that are gone. Load pattern: hosts are replaced day by day, and each start of a
/// node reads the whole list.

#include <chicoryspar/membership.h>

#include <map>
#include <set>
#include <span>

namespace chicoryspar {

/// A contact as a list call returned it.
struct ListedContact
{
    std::string name;
    /// Address of the peers' port.
    std::string address;
    /// Version in the store; a removal must be conditional on it.
    std::uint64_t version = 0;
    /// Era of the store. A version may belong to another contact in a later one.
    std::uint64_t storeEra = 0;
};

/// Returns whether the list has a contact of this name and address. A store that returned from an older copy may hold the address of an
/// earlier process of the host.
bool containsContact(std::span<const ListedContact> contacts, std::string_view name, std::string_view address);

struct ContactSweepOptions
{
    NodeId self;
    /// A contact is removed once no member has had its address for this long.
    Duration retention = std::chrono::minutes(10);
    /// Upper bound of removals after one list call.
    std::size_t maxRemovals = 16;
};

/// Finds the contacts to remove. Only the first present member by rank removes any; two nodes that both take themselves for the first do
/// no harm, because removals are conditional and a live node writes a missing contact again.
class ContactSweep
{
public:
    explicit ContactSweep(ContactSweepOptions options);

    /// Processes a list of contacts.
    /// @param present present members, this node included
    /// @returns the contacts to remove now
    std::vector<ListedContact> onListed(TimePoint now, std::span<const ListedContact> contacts, std::span<const Member *const> present);

private:
    /// A contact whose address no present member has.
    struct Absence
    {
        std::uint64_t version = 0;
        std::uint64_t storeEra = 0;
        TimePoint since;
    };

    ContactSweepOptions m_options;
    std::map<std::string, Absence> m_absences;
};

} // namespace chicoryspar
