#pragma once

/// @file
/// Messages between nodes and their framing: a 4-byte big-endian length, one byte of FrameType and a msgpack array.
/// For compatibility between versions new fields are only appended: missing fields of a shorter array keep their defaults, and extra
/// fields of a longer one are ignored.

#include <chicoryspar/core.h>

namespace chicoryspar {

/// Version of the frame format, exchanged in Hello.
constexpr std::uint16_t kWireVersion = 1;

/// Longest frame accepted, in bytes, without its length field.
constexpr std::size_t kMaxFrameBytes = 8 * 1024 * 1024;

/// Bytes before the payload: the length and the type.
constexpr std::size_t kFrameHeaderBytes = 5;

/// Type of a frame, one for each message.
enum class FrameType : std::uint8_t {
    Hello,
    HelloProof,
    Heartbeat,
    HeartbeatReply,
    CallRequest,
    CallAnswer,
    CallCancel,
    ConfigPull,
    ConfigPullAnswer,
    KeyFrame,
    Count,
};

/// One row of the table of frame types.
struct FrameTypeRow
{
    std::string_view name;
};

const FrameTypeRow &rowOf(FrameType value);

/// One HTTP header field.
struct HeaderField
{
    std::string name;
    std::string value;

    bool operator==(const HeaderField &) const = default;
};

/// First frame in each direction of a connection.
struct Hello
{
    std::uint16_t version = kWireVersion;
    std::string node;
    /// Differs at each start of the node's process.
    std::uint64_t boot = 0;
    /// Random bytes that the peer must sign in its HelloProof.
    std::string nonce;
};

/// Second frame in each direction: proves that the sender has the fleet key.
struct HelloProof
{
    /// HMAC-SHA256 over the receiver's nonce and the sender's name; empty when no key is set.
    std::string signature;
};

/// Checks that the connection still works; the peer answers with HeartbeatReply.
struct Heartbeat
{
    std::uint64_t sequence = 0;
};

/// Answers a Heartbeat.
struct HeartbeatReply
{
    std::uint64_t sequence = 0;
};

/// What the answers of one backend server instance state about it.
struct BackendState
{
    /// As in the announcements of the backend server.
    std::string instance;
    std::uint64_t processStartMs = 0;
    /// Requests per second that it accepts from all nodes together; nothing for no limit.
    std::optional<double> rateLimit;
    bool isLeaving = false;
};

/// Load of a gate and its backend server, reported to the senders of calls.
struct GateLoad
{
    /// Expected time, per slot, to complete the calls that run and wait there, at the current pace.
    Duration outstandingWork{0};
    /// Time that work takes at the backend server now, in percent of its usual time; 0 if the backend server doesn't state it.
    std::uint32_t pacePercent = 0;
    /// Time since the backend server stated its pace.
    Duration paceAge{0};
    /// Whole repeats that the gate may still dispatch, see CallContext::isRepeat; nothing if the gate doesn't bound repeats.
    std::optional<std::uint32_t> repeatTokens;
};

/// Asks the receiving node to run a request on its backend server.
struct CallRequest
{
    /// Chosen by the sender, unique within the connection.
    std::uint64_t id = 0;
    CallContext context;
    std::string service;
    std::string caller;
    /// HTTP method, for example "GET".
    std::string verb;
    std::string target;
    std::vector<HeaderField> headers;
    std::string body;
    /// Idempotency key of a request that must run at most once; invalid for all others.
    RequestId key;
    /// Unix time in microseconds after which the request must not be dispatched; 0 for none.
    std::int64_t dispatchBefore = 0;
    /// True when the receiver must decide as the record owner of the key, false when it only runs the request.
    bool forOwner = false;
    /// True when the caller states that this is its first request with the key, so that no other node can have received the key.
    bool firstAttempt = false;
    /// Number of this dispatch of the key, from 1.
    std::uint32_t dispatchAttempt = 0;
    /// Unix time in microseconds of the decision to dispatch.
    std::int64_t decidedAt = 0;
    /// Hybrid time of the sender.
    std::uint64_t clock = 0;
    /// Last state of the receiver's backend server that the sender knows, for a receiver that has started since.
    std::optional<BackendState> knownBackend;
    /// Name of the customer that sent the root request, for the backend server; empty for none.
    std::string customer;
};

/// Answers a CallRequest with its outcome.
struct CallAnswer
{
    std::uint64_t id = 0;
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    std::uint16_t status = 0;
    std::vector<HeaderField> headers;
    std::string body;
    /// Unused retry tokens, returned to the sender.
    std::uint16_t retryTokensLeft = 0;
    /// Admission level of the gate that answered.
    std::uint32_t level = 0;
    /// Highest admission level among the services that this call's descendant calls used, converted to the depth of this call.
    std::uint32_t levelBelow = 0;
    /// How long the sender should wait before another attempt.
    Duration retryAfter{0};
    /// Name of the node that answered or refused.
    std::string node;
    /// Time for which the backend server ran the request.
    Duration serviceTime{0};
    /// True when retryTokensLeft was set by the node that spent the tokens.
    bool tokensReturned = false;
    /// True when a gate decided on the request, so that level and levelBelow are set.
    bool hasLevels = false;
    /// True when the record owner of a key answered.
    bool fromOwner = false;
    /// True when the sender must send the keyed request elsewhere: to forwardTo, or to any node of the service when that is invalid.
    bool redirects = false;
    NodeId forwardTo;
    /// Hybrid time of the sender.
    std::uint64_t clock = 0;
    /// State of the backend server, if it limits its requests or leaves.
    std::optional<BackendState> backend;
    /// Load of the gate that answered; nothing if its backend server doesn't state its pace and the gate doesn't bound repeats.
    std::optional<GateLoad> load;
};

/// Cancels a call whose answer is no longer needed.
struct CallCancel
{
    std::uint64_t id = 0;
};

// Defined in config.h.
struct ConfigPull;
struct ConfigPullAnswer;

/// Maps a message type to its FrameType.
template<typename Message>
struct FrameTypeOf;

template<>
struct FrameTypeOf<Hello>
{
    static constexpr FrameType kValue = FrameType::Hello;
};
template<>
struct FrameTypeOf<HelloProof>
{
    static constexpr FrameType kValue = FrameType::HelloProof;
};
template<>
struct FrameTypeOf<Heartbeat>
{
    static constexpr FrameType kValue = FrameType::Heartbeat;
};
template<>
struct FrameTypeOf<HeartbeatReply>
{
    static constexpr FrameType kValue = FrameType::HeartbeatReply;
};
template<>
struct FrameTypeOf<CallRequest>
{
    static constexpr FrameType kValue = FrameType::CallRequest;
};
template<>
struct FrameTypeOf<CallAnswer>
{
    static constexpr FrameType kValue = FrameType::CallAnswer;
};
template<>
struct FrameTypeOf<CallCancel>
{
    static constexpr FrameType kValue = FrameType::CallCancel;
};
template<>
struct FrameTypeOf<ConfigPull>
{
    static constexpr FrameType kValue = FrameType::ConfigPull;
};
template<>
struct FrameTypeOf<ConfigPullAnswer>
{
    static constexpr FrameType kValue = FrameType::ConfigPullAnswer;
};

/// Returns the complete frame of @a message.
template<typename Message>
std::string encodeFrame(const Message &message);

/// Returns the msgpack payload of @a message without a frame, for datagrams.
template<typename Message>
std::string encodePayload(const Message &message);

/// Decodes the payload of a frame.
/// @returns nothing when the payload isn't a valid message of this type
template<typename Message>
std::optional<Message> decodePayload(std::string_view payload);

/// Errors of a FrameDecoder; after one the connection must be closed.
enum class FrameError : std::uint8_t {
    None,
    TooLong,
    Empty,
    UnknownType,
    Count,
};

/// One frame inside a FrameDecoder.
struct Frame
{
    FrameType type = FrameType::Count;
    /// Valid until the next call of FrameDecoder::append().
    std::string_view payload;
};

/// Splits the bytes of one connection into frames.
class FrameDecoder
{
public:
    /// @param limit longest frame accepted, in bytes
    explicit FrameDecoder(std::size_t limit = kMaxFrameBytes);

    /// Adds received bytes. Views of earlier frames become invalid.
    void append(std::string_view bytes);

    /// Takes the next complete frame.
    /// @returns nothing when more bytes are needed or error() is set
    std::optional<Frame> next();

    FrameError error() const;

    /// Returns the number of buffered bytes, complete frames included.
    std::size_t heldBytes() const;

private:
    std::string m_bytes;
    std::size_t m_begin = 0;
    std::size_t m_limit;
    FrameError m_error = FrameError::None;
};

} // namespace chicoryspar
