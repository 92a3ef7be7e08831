/// @file
/// Smooth weighted round robin over the services of a route: each pick adds its weight to the credit of every service, takes the
/// one with the highest credit and subtracts the total weight from it.

#include <chicoryspar/config.h>

#include <algorithm>

namespace chicoryspar {

const std::string &WeightedRoundRobin::pick(const RouteSpec &route)
{
    if (route.backends.size() == 1) {
        return route.backends.front().service;
    }
    auto &state = m_routes[route.name];
    if (state.backends != route.backends) {
        state = {route.backends, std::vector<double>(route.backends.size(), 0)};
    }
    double total = 0;
    for (std::size_t n = 0; n < route.backends.size(); ++n) {
        state.credits[n] += route.backends[n].weight;
        total += route.backends[n].weight;
    }
    const auto best = std::max_element(state.credits.begin(), state.credits.end());
    *best -= total;
    return route.backends[static_cast<std::size_t>(best - state.credits.begin())].service;
}

} // namespace chicoryspar
