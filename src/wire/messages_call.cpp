/// @file
/// Fields of the messages that open a connection and carry calls.

#include "wire/pack.h"

namespace chicoryspar {

template<typename Visitor>
void visitFields(Visitor &visitor, Hello &value)
{
    visitor(value.version, value.node, value.boot, value.nonce);
}

template<typename Visitor>
void visitFields(Visitor &visitor, HelloProof &value)
{
    visitor(value.signature);
}

template<typename Visitor>
void visitFields(Visitor &visitor, Heartbeat &value)
{
    visitor(value.sequence);
}

template<typename Visitor>
void visitFields(Visitor &visitor, HeartbeatReply &value)
{
    visitor(value.sequence);
}

template<typename Visitor>
void visitFields(Visitor &visitor, BackendState &value)
{
    visitor(value.instance, value.processStartMs, value.rateLimit, value.isLeaving);
}

template<typename Visitor>
void visitFields(Visitor &visitor, GateLoad &value)
{
    visitor(value.outstandingWork, value.pacePercent, value.paceAge, value.repeatTokens);
}

template<typename Visitor>
void visitFields(Visitor &visitor, CallRequest &value)
{
    visitor(value.id, value.context, value.service, value.caller, value.verb, value.target, value.headers, value.body, value.key,
            value.dispatchBefore, value.forOwner, value.firstAttempt, value.dispatchAttempt, value.decidedAt, value.clock,
            value.knownBackend, value.customer);
}

template<typename Visitor>
void visitFields(Visitor &visitor, CallAnswer &value)
{
    visitor(value.id, value.outcome, value.reason, value.status, value.headers, value.body, value.retryTokensLeft, value.level,
            value.levelBelow, value.retryAfter, value.node, value.serviceTime, value.tokensReturned, value.hasLevels, value.fromOwner,
            value.redirects, value.forwardTo, value.clock, value.backend, value.load);
}

template<typename Visitor>
void visitFields(Visitor &visitor, CallCancel &value)
{
    visitor(value.id);
}

CHICORYSPAR_FRAME_MESSAGE(Hello)
CHICORYSPAR_FRAME_MESSAGE(HelloProof)
CHICORYSPAR_FRAME_MESSAGE(Heartbeat)
CHICORYSPAR_FRAME_MESSAGE(HeartbeatReply)
CHICORYSPAR_FRAME_MESSAGE(CallRequest)
CHICORYSPAR_FRAME_MESSAGE(CallAnswer)
CHICORYSPAR_FRAME_MESSAGE(CallCancel)

} // namespace chicoryspar
