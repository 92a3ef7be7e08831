/// @file
/// Labels, importance and minimum shares of customers' requests.

#include "overload/fair_share.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace chicoryspar {
namespace {

constexpr std::uint64_t kLabelHashSeed = 0x66616972736861FF;

/// Upper bounds of the labels of all steps but the last. A customer at its usual rate uses about 0.62 of its limit, so its requests lie in
/// the first three steps; what a customer sends above 0.7 of its limit lies in the last two.
constexpr std::array<double, kLabelSteps - 1> kStepBounds{0.35, 0.5, 0.7, 0.85};

constexpr std::uint32_t kLowestRoutePriority = 2;

/// A share of the root requests and the rank that it has at least.
struct MinimumShare
{
    double share = 0;
    CustomerRank rank;
};

/// Every kind of request has to be served at least a quarter as often as the mean, so a quarter of its requests has to rank above all
/// others, plus a margin for the random difference between the roots of small customers. Ranking that much above all orders would leave
/// orders no precedence where only a quarter of all requests is served. Therefore the last part ranks above the class Standard only, which
/// is enough unless orders alone fill the service, and the part above all orders is what a service needs that serves an eighth.
constexpr std::array kMinimumShares{
    MinimumShare{.share = 0.04, .rank = {.requestClass = RequestClass::Order, .importance = kMaxImportance}},
    MinimumShare{.share = 0.13, .rank = {.requestClass = RequestClass::Order, .importance = kMaxImportance - 1}},
    MinimumShare{.share = 0.3, .rank = {.requestClass = RequestClass::Standard, .importance = kMaxImportance}},
};

/// Maps a hash to [0, 1).
double unitOf(std::uint64_t hash)
{
    constexpr int kFractionBits = 53;
    return std::ldexp(static_cast<double>(hash >> (64 - kFractionBits)), -kFractionBits);
}

} // namespace

std::uint64_t labelHashOf(const RequestId &root)
{
    return hashRequest(root, kLabelHashSeed);
}

std::uint8_t labelStep(double use, std::uint64_t rootHash)
{
    const auto label = unitOf(rootHash) * use;
    // A use that isn't a number compares false everywhere and counts as unknown.
    return static_cast<std::uint8_t>(
        std::count_if(kStepBounds.begin(), kStepBounds.end(), [label](double bound) { return label >= bound; }));
}

std::uint8_t customerImportance(std::uint32_t routePriority, std::uint8_t labelStep)
{
    const auto priorityRank = kLowestRoutePriority - std::min(routePriority, kLowestRoutePriority);
    const auto step = std::min<std::uint32_t>(labelStep, kLabelSteps - 1);
    return static_cast<std::uint8_t>(priorityRank * kLabelSteps + (kLabelSteps - 1 - step));
}

CustomerRank customerRank(RequestClass ownClass, std::uint32_t routePriority, double use, std::uint64_t rootHash)
{
    const auto share = unitOf(rootHash);
    const auto it = std::find_if(kMinimumShares.begin(), kMinimumShares.end(),
                                 [&](const MinimumShare &row) { return share < row.share && ownClass <= row.rank.requestClass; });
    if (it != kMinimumShares.end()) {
        return it->rank;
    }
    return {.requestClass = ownClass, .importance = customerImportance(routePriority, labelStep(use, rootHash))};
}

} // namespace chicoryspar
