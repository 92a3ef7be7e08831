/// @file
/// Tables of object kinds and of results of applying an object.

#include <chicoryspar/config.h>

#include <algorithm>
#include <cctype>

namespace chicoryspar {
namespace {

constexpr std::array<ObjectKindRow, static_cast<std::size_t>(ObjectKind::Count)> kObjectKindRows{{
    {"Service", "services", true},
    {"CallerPolicy", "callerpolicies", true},
    {"OverloadPolicy", "overloadpolicies", true},
    {"RetryPolicy", "retrypolicies", true},
    {"RoutePolicy", "routepolicies", true},
    {"Contact", "contacts", false},
    {"RouteTable", "routetables", true},
}};

constexpr std::array<ApplyResultRow, static_cast<std::size_t>(ApplyResult::Count)> kApplyResultRows{{
    {"in-force"},
    {"same-content"},
    {"stale"},
    {"refused"},
    {"full"},
}};

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

} // namespace

const ObjectKindRow &rowOf(ObjectKind value)
{
    return kObjectKindRows.at(static_cast<std::size_t>(value));
}

const ApplyResultRow &rowOf(ApplyResult value)
{
    return kApplyResultRows.at(static_cast<std::size_t>(value));
}

std::optional<ObjectKind> findObjectKind(std::string_view name)
{
    for (std::size_t n = 0; n < kObjectKindRows.size(); ++n) {
        if (equalsIgnoringCase(kObjectKindRows[n].name, name) || equalsIgnoringCase(kObjectKindRows[n].plural, name)) {
            return static_cast<ObjectKind>(n);
        }
    }
    return std::nullopt;
}

} // namespace chicoryspar
