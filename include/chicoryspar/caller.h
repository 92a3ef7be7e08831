#pragma once

/// @file
/// Client library of callers: sends a request to one of several entry nodes and retries it only when that is safe and within its budget.

#include "chicoryspar/core.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chicoryspar {

/// Retry limits of one call.
struct CallRetryInit
{
    /// Retries allowed for one call: those of this caller, of all nodes and of all descendant calls together.
    std::uint16_t budget = 3;
    /// Mean wait before the first retry; doubles with each further retry.
    Duration backoff = std::chrono::milliseconds(20);
    /// Upper limit of the mean wait.
    Duration maxBackoff = std::chrono::milliseconds(500);
    /// Time limit of one attempt; zero for the whole remaining time of the call.
    Duration attemptTimeout{0};
    /// Whether a retry waits at least as long as the refusal's Retry-After.
    bool honourRetryAfter = true;
};

/// Options of a caller.
struct CallerInit
{
    /// Addresses of the entry nodes' ports for callers, as "127.0.0.1:8080"; at least one.
    std::vector<std::string> entries;
    /// Name of this caller, matched against the caller policies.
    std::string name = "anonymous";
    /// Seed of the random numbers for keys, backoff jitter and the choice of entry nodes.
    std::uint64_t seed = 1;
    CallRetryInit retry;
};

/// One header field.
struct CallerHeader
{
    std::string name;
    std::string value;
};

/// One request of an application.
struct CallerRequest
{
    std::string service;
    std::string method = "GET";
    std::string target = "/";
    std::vector<CallerHeader> headers;
    std::string body;
    /// The request must run at most once: it is sent with an idempotency key, which makes retries safe.
    bool once = false;
    /// Key of an earlier call with an unknown outcome, used with once only; without it a new key is generated.
    std::optional<RequestId> key;
    /// Time limit of the whole call, all attempts included.
    Duration timeout = std::chrono::seconds(2);
};

/// How one call ended.
struct CallerResult
{
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    /// HTTP status of the last answer or refusal; 0 when the last attempt brought none.
    int status = 0;
    std::vector<CallerHeader> headers;
    std::string body;
    /// Key for retrying a call with an unknown outcome; invalid when CallerRequest::once wasn't set.
    RequestId key;
    RequestId root;
    /// Attempts that this caller made, those included whose connection could not be opened.
    unsigned attempts = 0;
    /// Retry-After of the last response; zero when it has none.
    Duration retryAfter{0};
};

/// Identifies a call of a Caller.
struct CallId
{
    std::uint64_t value = 0;

    constexpr bool isValid() const
    {
        return value != 0;
    }
};

using CallerDone = std::function<void(CallerResult &result)>;

/// Sends calls on its own thread. All functions may be called from any thread.
class Caller
{
public:
    explicit Caller(const CallerInit &init);
    /// Abandons the calls in progress; their handlers are not called.
    ~Caller();
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    /// Starts a call.
    /// @param done called once on the thread of this object when the call has ended, unless the object is destroyed before
    CallId begin(CallerRequest request, CallerDone done);

    /// Cancels a call. Its outcome is Unknown when an attempt is in progress or an earlier one ended Unknown, otherwise NotRun.
    void cancel(CallId id);

    /// Makes a call and blocks until it has ended. Must not be called from a handler, which would block this object's thread.
    CallerResult call(CallerRequest request);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace chicoryspar
