/// @file
/// Load reports in the answers to calls, and metrics of the placement.

#include "node/entry/placement.h"

#include <algorithm>
#include <sstream>

namespace chicoryspar {

void recordLoad(const RoutedRequest &routed, Duration expectedWork, const CallAnswer &answer, WorkEstimator &work, RouteResult &result)
{
    if (!answer.load || answer.load->pacePercent == 0) {
        return;
    }
    constexpr int kPercent = 100;
    const auto &load = *answer.load;
    result.load = LoadReport{.outstandingWork = load.outstandingWork, .pacePercent = load.pacePercent, .paceAge = load.paceAge};
    result.serviceTime = answer.serviceTime;
    result.expectedWork = expectedWork;
    if (answer.outcome == Outcome::Answer && answer.serviceTime > Duration{0}) {
        work.record(workKeyOf(routed.methodKey, routed.request.body.size()), answer.serviceTime * kPercent / load.pacePercent);
    }
}

std::string renderPlacement(std::string_view node, std::string_view service, const WorkEstimator &work,
                            std::span<const CandidateView> upstreams)
{
    std::uint32_t busiest = 0;
    std::uint32_t sum = 0;
    for (const auto &it : upstreams) {
        busiest = std::max(busiest, it.inFlight);
        sum += it.inFlight;
    }
    if (std::none_of(upstreams.begin(), upstreams.end(), [](const CandidateView &it) { return it.reportsLoad; })) {
        return {};
    }
    std::ostringstream text;
    const auto writeGauge = [&](std::string_view name, double value) {
        text << name << "{node=\"" << node << "\",service=\"" << service << "\"} " << value << "\n";
    };
    writeGauge("chicoryspar_work_to_expected_ratio", work.meanRatio());
    writeGauge("chicoryspar_busiest_to_mean_ratio",
               sum > 0 ? static_cast<double>(busiest) * static_cast<double>(upstreams.size()) / sum : 1);
    return text.str();
}

} // namespace chicoryspar
