#pragma once

/// @file
/// Ranks of customers' requests: labels that refuse the excess of a customer first, and the share of every kind of request that is kept out
/// of that order. Stateless; all nodes derive the same rank from the same root request.

#include <chicoryspar/core.h>

namespace chicoryspar {

/// Number of steps into which labels are divided.
constexpr std::uint8_t kLabelSteps = 5;

/// Class and importance with which a request of a customer is ranked.
struct CustomerRank
{
    RequestClass requestClass = RequestClass::Lookup;
    std::uint8_t importance = 0;

    bool operator==(const CustomerRank &) const = default;
};

/// Returns the hash from which the label of a root request is drawn. Independent of the hash in its rank.
std::uint64_t labelHashOf(const RequestId &root);

/// Returns the step of a request's label, 0 (refused last) to kLabelSteps - 1. The label is uniformly distributed from 0 to @a use over the
/// root requests of a customer, so that a threshold on labels caps all customers at the same multiple of their limits. Answers the load of
/// customers that send a multiple of their usual rate.
/// @param use present rate of the customer divided by its limit; 0 when unknown or without a limit
/// @param rootHash as returned by labelHashOf()
std::uint8_t labelStep(double use, std::uint64_t rootHash);

/// Returns the importance of a customer's request within its class: the priority of the route first, then the label.
/// @param routePriority 0 is the highest; any value over 2 counts as 2
std::uint8_t customerImportance(std::uint32_t routePriority, std::uint8_t labelStep);

/// Returns the rank of a customer's request. A fixed share of all root requests, the same on every node, is ranked above the rest of its
/// class and of the classes above, so that no customer and no kind of request is refused completely while others are served. Answers bursts
/// and slow backend servers, where the order of ranks alone serves the highest classes only.
/// @param ownClass class by the priority of the customer, or of the route if the customer has none
CustomerRank customerRank(RequestClass ownClass, std::uint32_t routePriority, double use, std::uint64_t rootHash);

} // namespace chicoryspar
