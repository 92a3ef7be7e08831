/// @file
/// Upper bounds on the packed size of membership messages.

#include <chicoryspar/membership.h>

namespace chicoryspar {
namespace {

// Upper bounds on the size of msgpack values.
constexpr std::size_t kUint64Bytes = 9;
constexpr std::size_t kUint32Bytes = 5;
/// A boolean, a small integer, or the header of a short string or array.
constexpr std::size_t kFixFormatBytes = 1;
/// Longest string whose header takes a single byte.
constexpr std::size_t kMaxFixstrBytes = 31;
constexpr std::size_t kStringHeaderBytes = 3;
constexpr std::size_t kArrayHeaderBytes = 3;
constexpr std::size_t kIdentifierBytes = kFixFormatBytes + kUint64Bytes;
constexpr std::size_t kSummaryBytes = kIdentifierBytes + 2 * kUint64Bytes + 2 * kFixFormatBytes;

std::size_t sizeOfString(const std::string &text)
{
    return (text.size() <= kMaxFixstrBytes ? kFixFormatBytes : kStringHeaderBytes) + text.size();
}

std::size_t sizeOfInfo(const MemberInfo &info)
{
    std::size_t texts = 0;
    for (const auto *it : {&info.name, &info.region, &info.zone, &info.address, &info.operators, &info.service}) {
        texts += sizeOfString(*it);
    }
    return kArrayHeaderBytes + texts + kUint64Bytes + kUint32Bytes + kFixFormatBytes;
}

struct BodySize
{
    std::size_t operator()(const Gossip &) const
    {
        return kArrayHeaderBytes;
    }
    std::size_t operator()(const SyncRecords &) const
    {
        return kArrayHeaderBytes;
    }
    std::size_t operator()(const Probe &) const
    {
        return kArrayHeaderBytes + kUint32Bytes + kIdentifierBytes;
    }
    std::size_t operator()(const ProbeAck &) const
    {
        return kArrayHeaderBytes + kUint32Bytes + kIdentifierBytes;
    }
    std::size_t operator()(const ProbeRequest &body) const
    {
        return kArrayHeaderBytes + kUint32Bytes + kIdentifierBytes + sizeOfString(body.targetAddress);
    }
    std::size_t operator()(const SyncDigest &body) const
    {
        return 2 * kArrayHeaderBytes + body.buckets.size() * kUint64Bytes;
    }
    std::size_t operator()(const SyncSummary &body) const
    {
        // A bucket index takes as much as a string header: a type byte and 16 bits.
        return 3 * kArrayHeaderBytes + body.buckets.size() * kStringHeaderBytes + body.members.size() * kSummaryBytes + kFixFormatBytes;
    }
    std::size_t operator()(const SyncRecordRequest &body) const
    {
        return 2 * kArrayHeaderBytes + body.members.size() * kIdentifierBytes;
    }
};

} // namespace

std::size_t packedSizeBound(const MemberUpdate &update)
{
    return kSummaryBytes + kFixFormatBytes + (update.info ? sizeOfInfo(*update.info) : 0);
}

std::size_t packedSizeBound(const MembershipMessage &message)
{
    constexpr std::size_t kHeaderBytes = 2 * kArrayHeaderBytes + kIdentifierBytes + 3 * kUint64Bytes + kFixFormatBytes;
    auto size = kHeaderBytes + sizeOfString(message.configPayload) + kArrayHeaderBytes + std::visit(BodySize{}, message.body);
    for (const auto &it : message.updates) {
        size += packedSizeBound(it);
    }
    return size;
}

} // namespace chicoryspar
