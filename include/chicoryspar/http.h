#pragma once

/// @file
/// HTTP messages as plain data, and the dialects in which callers, backend servers and nodes describe calls in them. Only the files
/// that speak HTTP include its library.

#include <chicoryspar/membership.h>
#include <chicoryspar/wire.h>

#include <memory>
#include <span>

namespace chicoryspar {

// --- Messages --------------------------------------------------------------------------------------------------------

/// One complete request of a caller.
struct HttpRequest
{
    std::string verb;
    std::string target;
    /// End-to-end fields only, in their order.
    std::vector<HeaderField> headers;
    std::string body;
};

/// One complete answer.
struct HttpResponse
{
    std::uint16_t status = 200;
    std::vector<HeaderField> headers;
    std::string body;
};

/// Returns the value of the first field called @a name in any case, or nothing.
std::optional<std::string_view> findHeader(const std::vector<HeaderField> &headers, std::string_view name);

/// Removes every field called @a name in any case.
void removeHeader(std::vector<HeaderField> &headers, std::string_view name);

/// Removes every field whose name starts with @a prefix in any case.
void removeHeadersWithPrefix(std::vector<HeaderField> &headers, std::string_view prefix);

/// Returns true for fields that belong to one connection only (RFC 9110, section 7.6.1) or to the framing of the body.
bool isHopByHop(std::string_view name);

/// Returns true when both texts are equal but for the case of ASCII letters.
bool equalsIgnoringCase(std::string_view a, std::string_view b);

/// Reads a whole decimal number.
std::optional<std::uint64_t> parseWholeNumber(std::string_view text);

/// Returns the path of a request target, without query.
std::string_view pathOf(std::string_view target);

// --- Announcements ---------------------------------------------------------------------------------------------------

/// One announcement of a backend server.
struct Announcement
{
    std::string service;
    /// Address "ip:port" of its HTTP port.
    std::string address;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    BackendReadiness readiness = BackendReadiness::Starting;
    /// Identifies one start of the backend server's process, together with processStartMs where that is stated.
    std::string instance;
    /// Start of the process in milliseconds since the Unix epoch; 0 when not stated.
    std::uint64_t processStartMs = 0;
    /// Rises with each announcement of one process; 0 when not stated.
    std::uint64_t sequence = 0;
    /// How long the process stays slow after its start; nothing when not stated.
    std::optional<Duration> warmupRemaining;
};

enum class NoticeKind : std::uint8_t {
    /// The backend server tells its state.
    Announcement,
    /// The backend server ends; only the instance is stated.
    Departure,
    Count,
};

/// What a backend server tells about itself, with every fault found.
struct BackendNotice
{
    NoticeKind kind = NoticeKind::Announcement;
    Announcement announcement;
    std::vector<Finding> findings;
};

/// What the node did with a notice.
struct NoticeResult
{
    std::string_view node;
    /// The node knows its configuration.
    bool isConfigured = false;
    std::span<const Finding> findings;
};

// --- Calls -----------------------------------------------------------------------------------------------------------

/// What the headers of a caller's request say.
struct EntryFields
{
    /// Service that the request names; empty where routes choose it.
    std::string service;
    /// Host that selects a route, in lower case and without port.
    std::string host;
    std::string caller = "anonymous";
    std::optional<RequestId> root;
    std::optional<Duration> timeout;
    std::optional<std::uint16_t> retryTokens;
    /// Token of the parent call; empty for none.
    std::string parentToken;
    /// The token was derived, and may name no call.
    bool isParentInferred = false;
    std::vector<Finding> findings;
};

/// A call as the backend server is told about it.
struct BackendCall
{
    const CallRequest &request;
    /// Instance that must run the call.
    std::string_view instance;
    std::string_view token;
    Duration remaining{0};
    WallTime deadline;
};

/// Meaning of an answer of the backend server.
struct BackendOutcome
{
    Outcome outcome = Outcome::Answer;
    Reason reason = Reason::None;
};

/// Names by which one kind of installation describes calls, answers and announcements on the HTTP ports.
class EdgeDialect
{
public:
    virtual ~EdgeDialect() = default;

    /// Requests are routed by the route table instead of a named service.
    virtual bool usesRoutes() const = 0;

    /// Reads a notice of the backend server.
    /// @returns nothing when the request is none
    virtual std::optional<BackendNotice> readNotice(const HttpRequest &request) const = 0;
    virtual HttpResponse answerNotice(const NoticeResult &receipt) const = 0;

    /// Returns whether the request asks if the node takes new work.
    virtual bool isReadinessCheck(const HttpRequest &request) const = 0;

    /// Reads the fields of a call and collects every fault.
    virtual EntryFields readEntry(const HttpRequest &request) const = 0;
    /// Removes the headers that only the node may set.
    virtual void removeReservedHeaders(std::vector<HeaderField> &headers) const = 0;

    /// Returns the token by which calls of the backend server name this call as their parent; empty to have one drawn.
    virtual std::string callToken(const CallRequest &request) const = 0;
    /// Adds the headers that tell the backend server about the call.
    virtual void describeCall(const BackendCall &call, std::vector<HeaderField> &headers) const = 0;
    /// Returns the request that asks the backend server whether it is well; nothing when the dialect has none.
    virtual std::optional<HttpRequest> healthRequest(const std::string &healthPath) const = 0;
    /// Returns whether the answer to it shows that @a instance is well.
    virtual bool isHealthyResponse(const std::string &instance, const HttpResponse &response) const = 0;
    /// Returns what must be repeated in the answer to a request with @a headers; empty when nothing is.
    virtual std::string correlationId(const std::vector<HeaderField> &headers) const = 0;
    /// Returns whether @a response answers a request with that correlation.
    virtual bool isAnswerTo(std::string_view correlation, const HttpResponse &response) const = 0;
    virtual BackendOutcome classifyAnswer(const HttpResponse &response) const = 0;

    /// Returns the HTTP answer for the caller.
    /// @param root of the request
    virtual HttpResponse makeResponse(const RequestId &root, CallAnswer answer) const = 0;
};

/// Returns the dialect of docs/INTERFACES.md.
std::shared_ptr<const EdgeDialect> nativeEdgeDialect();

} // namespace chicoryspar
