#pragma once

/// @file
/// A keyed call at its entry node.

#include "node/keys/key_service.h"

namespace chicoryspar {

/// One keyed call with what its entry node knows of it.
struct KeyService::EntryCall
{
    explicit EntryCall(boost::asio::io_context &io)
        : deadlineTimer(io)
        , retryTimer(io)
    {
    }

    KeyedCall call;
    AnswerHandler handler;
    boost::asio::steady_timer deadlineTimer;
    boost::asio::steady_timer retryTimer;
    /// Number of the last query; answers to earlier ones are dropped.
    std::uint32_t queryNumber = 0;
    /// True while a query is under way.
    bool isQueryPending = false;
    /// True once a node was asked and may still run the key without our knowledge.
    bool mayHaveRun = false;
    Reason lastReason = Reason::KeyOwnerUncertain;
};

} // namespace chicoryspar
