#pragma once

/// @file
/// HTTP messages as plain data, and the dialects in which callers, backend servers and nodes describe calls in them. Independent of
/// any HTTP library.

#include <chicoryspar/membership.h>
#include <chicoryspar/wire.h>

#include <memory>
#include <span>

namespace chicoryspar {

// Messages

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

/// Returns the value of the first field called @a name, or nothing. Names are compared without regard to case.
std::optional<std::string_view> findHeader(const std::vector<HeaderField> &headers, std::string_view name);

/// Removes every field called @a name, without regard to case.
void removeHeader(std::vector<HeaderField> &headers, std::string_view name);

/// Removes every field whose name starts with @a prefix, without regard to case.
void removeHeadersWithPrefix(std::vector<HeaderField> &headers, std::string_view prefix);

/// Returns whether a field isn't forwarded because it belongs to one connection (RFC 9110, section 7.6.1) or to the framing of the body.
bool isHopByHop(std::string_view name);

/// Returns whether two texts are equal without regard to the case of ASCII letters.
bool equalsIgnoringCase(std::string_view a, std::string_view b);

/// Parses an unsigned decimal number.
/// @returns nothing when @a text contains anything else or the number exceeds 64 bits
std::optional<std::uint64_t> parseWholeNumber(std::string_view text);

/// Parses a finite decimal number of 0 or more that makes up the whole of @a text.
std::optional<double> parseDecimal(std::string_view text);

/// Returns host and port of a request target in absolute form, such as "a.example:80" of "http://a.example:80/x"; empty for other forms.
std::string_view authorityOf(std::string_view target);

/// Returns the path of a request target, without scheme, authority and query.
std::string_view pathOf(std::string_view target);

/// Returns @a text with the letters A to Z in lower case.
std::string toLowerCase(std::string_view text);

/// Returns the digest of the bearer token (RFC 6750) in the Authorization header, in the form of CustomerSpec::keyDigests; nothing if
/// there is none.
std::optional<std::string> bearerTokenDigest(const std::vector<HeaderField> &headers);

/// Returns the digest of a customer's key, in the form of CustomerSpec::keyDigests.
std::string keyDigest(std::string_view key);

/// Returns the host that a request is for, in lower case and without port: that of an absolute target, otherwise that of the Host header.
std::string hostOf(std::string_view target, const std::vector<HeaderField> &headers);

// Announcements

/// One announcement of a backend server.
struct Announcement
{
    std::string service;
    /// Address "ip:port" of its HTTP port.
    std::string address;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    BackendReadiness readiness = BackendReadiness::Starting;
    /// Identifies one run of the backend server's process, together with processStartMs when that is given.
    std::string instance;
    /// Start of the process in milliseconds since the Unix epoch; 0 when not given.
    std::uint64_t processStartMs = 0;
    /// Increases with each announcement of one process; 0 when not given.
    std::uint64_t sequence = 0;
    /// Time for which the process is still slow after its start; nothing when not given.
    std::optional<Duration> warmupRemaining;
};

/// Kinds of messages from a backend server to its node.
enum class NoticeKind : std::uint8_t {
    /// The backend server announces its state.
    Announcement,
    /// The backend server stops; only the instance is given.
    Departure,
    Count,
};

/// Announcement or departure of a backend server, with a finding for each fault in it.
struct BackendNotice
{
    NoticeKind kind = NoticeKind::Announcement;
    Announcement announcement;
    std::vector<Finding> findings;
};

/// Result of a notice, as the node reports it to the backend server.
struct NoticeResult
{
    std::string_view node;
    /// Whether the node has received any configuration.
    bool isConfigured = false;
    std::span<const Finding> findings;
};

// Calls

/// Parameters of a call, read from the headers of the caller's request.
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
    /// Digest of the key by which the caller proves which customer it is, as in CustomerSpec::keyDigests; nothing if the request carries
    /// no key.
    std::optional<std::string> credential;
    /// Token of the parent call; empty for none.
    std::string parentToken;
    /// Whether the parent token was derived from another field, so that it may match no call.
    bool isParentInferred = false;
    std::vector<Finding> findings;
};

/// A call with the data that describe it to the backend server.
struct BackendCall
{
    const CallRequest &request;
    /// Instance that must run the call.
    std::string_view instance;
    std::string_view token;
    Duration remaining{0};
    WallTime deadline;
};

/// Outcome of a call according to the backend server's answer.
struct BackendOutcome
{
    Outcome outcome = Outcome::Answer;
    Reason reason = Reason::None;
};

/// Load that a backend server states in one answer.
struct BackendLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Time that work takes there now, in percent of its usual time; nothing if not stated.
    std::optional<std::uint32_t> pacePercent;
};

/// What a backend server states about itself in one answer.
struct AnswerSignals
{
    /// Requests per second that it accepts from all nodes together, 0 or more; nothing for no limit.
    std::optional<double> rateLimit;
    /// It is leaving: it ends soon, and no further requests should be sent.
    bool isLeaving = false;
    /// Nothing if not stated.
    std::optional<BackendLoad> load;
};

/// Paths, header names and body formats in which one kind of deployment describes calls, answers and announcements on the HTTP ports.
class EdgeDialect
{
public:
    virtual ~EdgeDialect() = default;

    /// Returns whether requests are routed by the route table instead of by a service that they name.
    virtual bool usesRoutes() const = 0;

    /// Reads an announcement or departure of the backend server.
    /// @returns nothing when @a request is neither
    virtual std::optional<BackendNotice> readNotice(const HttpRequest &request) const = 0;
    virtual HttpResponse answerNotice(const NoticeResult &result) const = 0;

    /// Returns whether @a request asks if the node accepts new work.
    virtual bool isReadinessCheck(const HttpRequest &request) const = 0;

    /// Reads the parameters of a call and adds a finding for each fault.
    virtual EntryFields readEntry(const HttpRequest &request) const = 0;
    /// Removes the headers that only the node may set.
    virtual void removeReservedHeaders(std::vector<HeaderField> &headers) const = 0;
    /// Removes the customer's key and any name of a customer. Not called for deployments without customers, whose backend servers get
    /// these headers as the client sent them.
    virtual void removeCustomerHeaders(std::vector<HeaderField> &headers) const = 0;

    /// Returns the token by which child calls name this call as their parent; empty when the node must generate one.
    virtual std::string callToken(const CallRequest &request) const = 0;
    /// Adds the headers that describe the call to the backend server, including the name of its customer if it has one.
    virtual void describeCall(const BackendCall &call, std::vector<HeaderField> &headers) const = 0;
    /// Returns the health check for the backend server; nothing when the dialect has none.
    virtual std::optional<HttpRequest> healthRequest(const std::string &healthPath) const = 0;
    /// Returns whether the response to a health check shows that @a instance is healthy.
    virtual bool isHealthyResponse(const std::string &instance, const HttpResponse &response) const = 0;
    /// Returns the identifier that the answer to a request with @a headers must echo; empty for none.
    virtual std::string correlationId(const std::vector<HeaderField> &headers) const = 0;
    /// Returns whether @a response can belong to the request with the identifier @a correlation.
    virtual bool isAnswerTo(std::string_view correlation, const HttpResponse &response) const = 0;
    /// Returns the outcome of the call that @a response shows, and the reason when it is no answer.
    virtual BackendOutcome classifyAnswer(const HttpResponse &response) const = 0;

    /// Returns what the backend server states about itself in @a response, whether or not it ran the request.
    virtual AnswerSignals readSignals(const HttpResponse &response) const = 0;

    /// Returns the HTTP answer for the caller.
    /// @param root root request of the call
    virtual HttpResponse makeResponse(const RequestId &root, CallAnswer answer) const = 0;
};

/// Returns the dialect of docs/INTERFACES.md.
std::shared_ptr<const EdgeDialect> nativeEdgeDialect();

} // namespace chicoryspar
