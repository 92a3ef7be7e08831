/// @file
/// Fields of the membership datagrams.

#include <chicoryspar/membership.h>

#include "wire/pack.h"

namespace chicoryspar {

template<typename Visitor>
void visitFields(Visitor &visitor, MemberInfo &value)
{
    // Identifier, incarnation and version are fields of MemberUpdate.
    visitor(value.name, value.region, value.zone, value.address, value.service, value.slots, value.readiness, value.boot, value.operators);
}

template<typename Visitor>
void visitFields(Visitor &visitor, MemberUpdate &value)
{
    visitor(value.id, value.incarnation, value.version, value.state, value.info);
}

template<typename Visitor>
void visitFields(Visitor &visitor, Gossip &)
{
    visitor();
}

template<typename Visitor>
void visitFields(Visitor &visitor, SyncRecords &)
{
    visitor();
}

template<typename Visitor>
void visitFields(Visitor &visitor, Probe &value)
{
    visitor(value.sequence, value.target);
}

template<typename Visitor>
void visitFields(Visitor &visitor, ProbeAck &value)
{
    visitor(value.sequence, value.target);
}

template<typename Visitor>
void visitFields(Visitor &visitor, ProbeRequest &value)
{
    visitor(value.sequence, value.target, value.targetAddress);
}

template<typename Visitor>
void visitFields(Visitor &visitor, SyncDigest &value)
{
    visitor(value.buckets);
}

template<typename Visitor>
void visitFields(Visitor &visitor, MemberSummary &value)
{
    visitor(value.id, value.incarnation, value.version, value.state);
}

template<typename Visitor>
void visitFields(Visitor &visitor, SyncSummary &value)
{
    visitor(value.buckets, value.members, value.isPartial);
}

template<typename Visitor>
void visitFields(Visitor &visitor, SyncRecordRequest &value)
{
    visitor(value.members);
}

template<typename Visitor>
void visitFields(Visitor &visitor, MembershipMessage &value)
{
    visitor(value.from, value.incarnation, value.configDigest, value.clock, value.configPayload, value.updates, value.body);
}

CHICORYSPAR_PAYLOAD_MESSAGE(MembershipMessage)

} // namespace chicoryspar
