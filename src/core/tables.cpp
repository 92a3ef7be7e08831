/// @file
/// Tables of the properties of request classes, outcomes and reasons, and the error category of Reason.

#include <chicoryspar/core.h>

namespace chicoryspar {
namespace {

constexpr std::array<RequestClassRow, static_cast<std::size_t>(RequestClass::Count)> kRequestClasses{{
    {"lookup"},
    {"standard"},
    {"order"},
}};

constexpr std::array<OutcomeRow, static_cast<std::size_t>(Outcome::Count)> kOutcomes{{
    {"answer"},
    {"not-run"},
    {"unknown"},
}};

constexpr std::array<ReasonRow, static_cast<std::size_t>(Reason::Count)> kReasons{{
    {"none", 200, "no reason"},
    {"level-too-low", 503, "overload: the request ranks below the admission level of the backend server"},
    {"queue-full", 503, "overload: the queue before the backend server is full"},
    {"queue-timeout", 503, "overload: the request waited too long before the backend server"},
    {"shed-by-backend", 503, "the backend server refused the request before running it"},
    {"limit-reached", 503, "the concurrency limit of the backend server is reached"},
    {"entry-level", 503, "overload: refused at the entry node by the admission level that upstreams sent back"},
    {"deadline-expired", 504, "the deadline passed before the request was dispatched"},
    {"deadline-too-short", 504, "less time remains than the service needs"},
    {"retry-budget-spent", 503, "no retry is left for this request"},
    {"cancelled", 499, "the caller cancelled the request"},
    {"unknown-service", 404, "no service of this name is configured"},
    {"no-upstream", 503, "no upstream of the service is ready"},
    {"cross-region-cap", 503, "only other regions have upstreams, and the cap on cross-region bytes is reached"},
    {"not-configured", 503, "the node has no configuration yet"},
    {"draining", 503, "the backend server is draining"},
    {"stopping", 503, "the node is stopping"},
    {"key-missing", 400, "the method needs an Idempotency-Key header"},
    {"key-malformed", 400, "the Idempotency-Key isn't a UUIDv7"},
    {"key-expired", 400, "the Idempotency-Key is older than the key lifetime"},
    {"key-from-future", 400, "the Idempotency-Key is dated beyond the clock tolerance"},
    {"key-mismatch", 422, "the Idempotency-Key was used for a different request"},
    {"key-table-full", 503, "the table of idempotency keys is full"},
    {"key-owner-uncertain", 503, "an earlier run of this key can't be ruled out: repeat with the same key later"},
    {"key-answer-evicted", 410, "the request was run, but its answer is no longer kept"},
    {"key-busy", 409, "the first attempt with this key is still running"},
    {"connect-failed", 502, "no connection to the upstream could be opened"},
    {"connection-lost", 502, "the connection broke after the request was sent"},
    {"connection-silent", 504, "the connection went silent after the request was sent"},
    {"backend-failed", 502, "the backend server broke off its answer"},
    {"backend-silent", 504, "the backend server didn't answer in time"},
    {"body-too-large", 413, "the body is over the limit"},
    {"header-too-large", 431, "the header is over the limit"},
    {"malformed-request", 400, "the request isn't valid HTTP"},
    {"too-many-connections", 503, "the node has no free connection for callers"},
    {"slow-caller", 408, "the caller sent or read too slowly"},
    {"memory-limit", 503, "the node's limit on buffered bytes is reached"},
    {"customer-unknown", 401, "the request carries no key of a configured customer"},
    {"customer-rate-limit", 429, "the customer's rate limit over all nodes is reached"},
    {"parent-unknown", 503, "an earlier process of this node may have begun the call that the request belongs to"},
}};

class ReasonCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "chicoryspar";
    }
    std::string message(int value) const override
    {
        return std::string(rowOf(static_cast<Reason>(value)).text);
    }
};

} // namespace

const RequestClassRow &rowOf(RequestClass value)
{
    return kRequestClasses.at(static_cast<std::size_t>(value));
}

const OutcomeRow &rowOf(Outcome value)
{
    return kOutcomes.at(static_cast<std::size_t>(value));
}

const ReasonRow &rowOf(Reason value)
{
    return kReasons.at(static_cast<std::size_t>(value));
}

std::optional<RequestClass> findRequestClass(std::string_view name)
{
    return findByName<RequestClass>(kRequestClasses, name);
}

std::optional<Outcome> findOutcome(std::string_view name)
{
    return findByName<Outcome>(kOutcomes, name);
}

std::optional<Reason> findReason(std::string_view name)
{
    return findByName<Reason>(kReasons, name);
}

const std::error_category &reasonCategory()
{
    static const ReasonCategory s_category;
    return s_category;
}

std::error_code make_error_code(Reason value)
{
    return {static_cast<int>(value), reasonCategory()};
}

std::string toString(const std::vector<Finding> &findings)
{
    std::string text;
    for (const auto &it : findings) {
        text += it.place + ": " + it.text + "\n";
    }
    return text;
}

} // namespace chicoryspar
