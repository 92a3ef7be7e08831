/// @file
/// Removal of contacts of hosts that are gone.

#include "membership/contact_sweep.h"

#include <algorithm>

namespace chicoryspar {
namespace {

/// Key of the rank by which one member is chosen to remove contacts.
constexpr std::uint64_t kSweepRankKey = 0x73776565;

bool isChosen(NodeId self, std::span<const Member *const> present)
{
    std::vector<NodeId> ranked;
    for (const auto *it : present) {
        ranked.push_back(it->info.id);
    }
    sortByRank(ranked, kSweepRankKey);
    return !ranked.empty() && ranked.front() == self;
}

} // namespace

bool containsContact(std::span<const ListedContact> contacts, std::string_view name, std::string_view address)
{
    return std::any_of(contacts.begin(), contacts.end(),
                       [name, address](const ListedContact &it) { return it.name == name && it.address == address; });
}

ContactSweep::ContactSweep(ContactSweepOptions options)
    : m_options(options)
{
}

std::vector<ListedContact> ContactSweep::onListed(TimePoint now, std::span<const ListedContact> contacts,
                                                  std::span<const Member *const> present)
{
    if (!isChosen(m_options.self, present)) {
        // Absences are counted from the time at which this node is chosen, because the list isn't compared meanwhile.
        m_absences.clear();
        return {};
    }
    std::set<std::string_view> addresses;
    for (const auto *it : present) {
        addresses.insert(it->info.address);
    }
    std::map<std::string, Absence> absences;
    std::vector<ListedContact> removals;
    for (const auto &it : contacts) {
        if (addresses.contains(it.address) || it.name.empty() || it.version == 0) {
            continue;
        }
        const auto known = m_absences.find(it.name);
        const bool isSameContact =
            known != m_absences.end() && known->second.version == it.version && known->second.storeEra == it.storeEra;
        const Absence absence{.version = it.version, .storeEra = it.storeEra, .since = isSameContact ? known->second.since : now};
        absences[it.name] = absence;
        if (now - absence.since >= m_options.retention && removals.size() < m_options.maxRemovals) {
            removals.push_back(it);
        }
    }
    m_absences = std::move(absences);
    return removals;
}

} // namespace chicoryspar
