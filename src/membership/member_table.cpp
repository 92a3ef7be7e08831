/// @file
/// Names of member states and of backend readiness.

#include <chicoryspar/membership.h>

namespace chicoryspar {
namespace {

constexpr std::array<MemberStateRow, static_cast<std::size_t>(MemberState::Count)> kMemberStateRows{{
    {"alive"},
    {"suspect"},
    {"dead"},
    {"left"},
}};

constexpr std::array<BackendReadinessRow, static_cast<std::size_t>(BackendReadiness::Count)> kReadinessRows{{
    {"none"},
    {"starting"},
    {"ready"},
    {"draining"},
}};

} // namespace

const MemberStateRow &rowOf(MemberState value)
{
    return kMemberStateRows.at(static_cast<std::size_t>(value));
}

const BackendReadinessRow &rowOf(BackendReadiness value)
{
    return kReadinessRows.at(static_cast<std::size_t>(value));
}

std::optional<MemberState> findMemberState(std::string_view name)
{
    return findByName<MemberState>(kMemberStateRows, name);
}

std::optional<BackendReadiness> findBackendReadiness(std::string_view name)
{
    return findByName<BackendReadiness>(kReadinessRows, name);
}

} // namespace chicoryspar
