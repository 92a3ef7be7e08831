/// @file
/// Names and descriptions of the enum values of overload control, as shown to operators.

#include <chicoryspar/overload.h>

namespace chicoryspar {
namespace {

constexpr std::array<LimitAlgorithmRow, static_cast<std::size_t>(LimitAlgorithm::Count)> kLimitAlgorithms{{
    {"static"},
    {"aimd"},
    {"gradient"},
    {"throughput"},
}};

constexpr std::array<LimitReasonRow, static_cast<std::size_t>(LimitReason::Count)> kLimitReasons{{
    {"unknown", "no call has ended yet"},
    {"slots", "the highest limit that slots and policy allow"},
    {"cold-start", "the backend server started a short time ago"},
    {"queueing", "more concurrency raised the latency and not the throughput"},
    {"shedding", "the backend server refused calls before running them"},
    {"shedding-anyway", "the backend server refuses calls whatever the limit is"},
    {"growing", "the limit was reached without queueing, so it grows"},
    {"minimum", "the lowest limit that the policy allows"},
}};

constexpr std::array<RouteReasonRow, static_cast<std::size_t>(RouteReason::Count)> kRouteReasons{{
    {"none", "no upstream was chosen"},
    {"own-zone", "the less loaded of two upstreams in the own zone"},
    {"own-region", "the less loaded of two upstreams in the own region"},
    {"own-region-saturated", "the upstreams of the own region refuse such calls, so another region is used"},
    {"own-region-gone", "the own region has no upstream, so another region is used"},
    {"last-resort", "every upstream is ejected or refuses such calls; the best of them is tried"},
    {"probe", "one call learns the present level of an upstream"},
}};

} // namespace

const LimitAlgorithmRow &rowOf(LimitAlgorithm value)
{
    return kLimitAlgorithms[static_cast<std::size_t>(value)];
}

const LimitReasonRow &rowOf(LimitReason value)
{
    return kLimitReasons[static_cast<std::size_t>(value)];
}

const RouteReasonRow &rowOf(RouteReason value)
{
    return kRouteReasons[static_cast<std::size_t>(value)];
}

std::optional<LimitAlgorithm> findLimitAlgorithm(std::string_view name)
{
    return findByName<LimitAlgorithm>(kLimitAlgorithms, name);
}

} // namespace chicoryspar
