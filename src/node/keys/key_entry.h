#pragma once

/// @file
/// State of a keyed call at its entry node.

#include "node/keys/key_service.h"

namespace chicoryspar {

/// A keyed call in progress at its entry node.
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
    /// Number of the last query. Answers to earlier queries are dropped.
    std::uint32_t queryNumber = 0;
    /// A query has been sent and not yet answered.
    bool isQueryPending = false;
    /// A query ended without an answer of the record owner and with an unknown outcome, so the request may run or have run.
    bool mayHaveRun = false;
    Reason lastReason = Reason::KeyOwnerUncertain;
};

} // namespace chicoryspar
