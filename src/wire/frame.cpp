/// @file
/// Encoding and decoding of frames, and limits of their payloads.

#include "wire/pack.h"

namespace chicoryspar {
namespace {

constexpr std::size_t kLengthBytes = 4;

/// Limits of one payload against hostile peers: items of an array or map, and depth of nesting.
constexpr std::size_t kMaxItems = 65536;
constexpr std::size_t kMaxNesting = 16;

constexpr std::array<FrameTypeRow, static_cast<std::size_t>(FrameType::Count)> kFrameTypes{{
    {"hello"},
    {"hello-proof"},
    {"heartbeat"},
    {"heartbeat-reply"},
    {"call-request"},
    {"call-answer"},
    {"call-cancel"},
    {"config-pull"},
    {"config-pull-answer"},
    {"key-frame"},
}};

std::size_t readLength(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t n = 0; n < kLengthBytes; ++n) {
        length = (length << 8) | static_cast<unsigned char>(bytes[n]);
    }
    return length;
}

} // namespace

const FrameTypeRow &rowOf(FrameType value)
{
    return kFrameTypes.at(static_cast<std::size_t>(value));
}

namespace wire {

void appendFrame(std::string &frame, FrameType type, std::string_view payload)
{
    const auto length = payload.size() + 1;
    frame.reserve(frame.size() + kLengthBytes + length);
    for (std::size_t n = 0; n < kLengthBytes; ++n) {
        frame.push_back(static_cast<char>((length >> (8 * (kLengthBytes - 1 - n))) & 0xFF));
    }
    frame.push_back(static_cast<char>(type));
    frame.append(payload);
}

msgpack::object_handle parsePayload(std::string_view payload)
{
    const msgpack::unpack_limit limit(kMaxItems, kMaxItems, kMaxFrameBytes, kMaxFrameBytes, kMaxFrameBytes, kMaxNesting);
    return msgpack::unpack(payload.data(), payload.size(), nullptr, nullptr, limit);
}

} // namespace wire

FrameDecoder::FrameDecoder(std::size_t limit)
    : m_limit(limit)
{
}

void FrameDecoder::append(std::string_view bytes)
{
    m_bytes.erase(0, m_begin);
    m_begin = 0;
    m_bytes.append(bytes);
}

std::optional<Frame> FrameDecoder::next()
{
    const auto rest = std::string_view(m_bytes).substr(m_begin);
    if (m_error != FrameError::None || rest.size() < kLengthBytes) {
        return std::nullopt;
    }
    const auto length = readLength(rest);
    if (length == 0) {
        m_error = FrameError::Empty;
        return std::nullopt;
    }
    if (length > m_limit) {
        m_error = FrameError::TooLong;
        return std::nullopt;
    }
    if (rest.size() < kLengthBytes + length) {
        return std::nullopt;
    }
    const auto type = static_cast<unsigned char>(rest[kLengthBytes]);
    if (type >= static_cast<unsigned char>(FrameType::Count)) {
        m_error = FrameError::UnknownType;
        return std::nullopt;
    }
    m_begin += kLengthBytes + length;
    return Frame{static_cast<FrameType>(type), rest.substr(kFrameHeaderBytes, length - 1)};
}

FrameError FrameDecoder::error() const
{
    return m_error;
}

std::size_t FrameDecoder::heldBytes() const
{
    return m_bytes.size() - m_begin;
}

} // namespace chicoryspar
