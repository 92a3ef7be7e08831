/// @file
/// Fields of the messages between record owners.

#include <chicoryspar/outcome.h>

#include "wire/pack.h"

namespace chicoryspar {

template<typename Visitor>
void visitFields(Visitor &visitor, KeyMember &value)
{
    visitor(value.id, value.incarnation);
}

template<typename Visitor>
void visitFields(Visitor &visitor, KeyHello &value)
{
    visitor(value.from, value.sentAt, value.isFullMember, value.exclusionVotes, value.memberDigest);
}

template<typename Visitor>
void visitFields(Visitor &visitor, KeyHelloAck &value)
{
    visitor(value.from, value.to, value.sentAt, value.isFullMember, value.supports, value.exclusionVotes, value.members, value.left);
}

template<typename Visitor>
void visitFields(Visitor &visitor, KeyAnswer &value)
{
    visitor(value.status, value.headers, value.body);
}

template<typename Visitor>
void visitFields(Visitor &visitor, KeyRecord &value)
{
    visitor(value.key, value.fingerprint, value.created, value.state, value.reason, value.executor, value.dispatches, value.movedTo,
            value.answer);
}

template<typename Visitor>
void visitFields(Visitor &visitor, KeyQuery &value)
{
    visitor(value.from, value.key, value.fingerprint, value.nonce);
}

template<typename Visitor>
void visitFields(Visitor &visitor, KeyQueryReply &value)
{
    visitor(value.from, value.to, value.key, value.nonce, value.result, value.record);
}

template<typename Visitor>
void visitFields(Visitor &visitor, KeyHandover &value)
{
    visitor(value.from, value.part, value.parts, value.alive, value.refusedUntil, value.records);
}

template<typename Visitor>
void visitFields(Visitor &visitor, KeyHandoverAck &value)
{
    visitor(value.from, value.to);
}

template<typename Visitor>
void visitFields(Visitor &visitor, KeyFrame &value)
{
    visitor(value.service, value.message);
}

CHICORYSPAR_FRAME_MESSAGE(KeyFrame)

} // namespace chicoryspar
