/// @file
/// Fields of the messages about the rate limits of customers.

#include <chicoryspar/customer.h>

#include "wire/pack.h"

namespace chicoryspar {

template<typename Visitor>
void visitFields(Visitor &visitor, CustomerReport &value)
{
    visitor(value.customer, value.admitted, value.unacknowledged, value.arrived, value.request, value.wanted);
}

template<typename Visitor>
void visitFields(Visitor &visitor, CustomerGrant &value)
{
    visitor(value.customer, value.acknowledged, value.request, value.granted, value.isLow, value.denyFor, value.usePercent);
}

template<typename Visitor>
void visitFields(Visitor &visitor, CustomerMessage &value)
{
    visitor(value.from, value.boot, value.sequence, value.reports, value.grants);
}

CHICORYSPAR_PAYLOAD_MESSAGE(CustomerMessage)

} // namespace chicoryspar
