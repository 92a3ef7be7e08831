/// @file
/// Upper bounds of packed sizes.

#include <chicoryspar/membership.h>

namespace chicoryspar {
namespace {

// Upper bounds of msgpack, in bytes.
constexpr std::size_t kNumber64 = 9;
constexpr std::size_t kNumber32 = 5;
constexpr std::size_t kSmall = 1;
constexpr std::size_t kShortText = 31;
constexpr std::size_t kTextHead = 3;
constexpr std::size_t kListHead = 3;
constexpr std::size_t kIdentifier = kSmall + kNumber64;
constexpr std::size_t kSummary = kIdentifier + 2 * kNumber64 + 2 * kSmall;

std::size_t sizeOfText(const std::string &text)
{
    return (text.size() <= kShortText ? kSmall : kTextHead) + text.size();
}

std::size_t sizeOfInfo(const MemberInfo &info)
{
    std::size_t texts = 0;
    for (const auto *it : {&info.name, &info.region, &info.zone, &info.address, &info.operators, &info.service}) {
        texts += sizeOfText(*it);
    }
    return kListHead + texts + kNumber64 + kNumber32 + kSmall;
}

struct BodySize
{
    std::size_t operator()(const Gossip &) const
    {
        return kListHead;
    }
    std::size_t operator()(const SyncRecords &) const
    {
        return kListHead;
    }
    std::size_t operator()(const Probe &) const
    {
        return kListHead + kNumber32 + kIdentifier;
    }
    std::size_t operator()(const ProbeAck &) const
    {
        return kListHead + kNumber32 + kIdentifier;
    }
    std::size_t operator()(const ProbeRequest &body) const
    {
        return kListHead + kNumber32 + kIdentifier + sizeOfText(body.targetAddress);
    }
    std::size_t operator()(const SyncDigest &body) const
    {
        return 2 * kListHead + body.buckets.size() * kNumber64;
    }
    std::size_t operator()(const SyncSummary &body) const
    {
        return 3 * kListHead + body.buckets.size() * kTextHead + body.members.size() * kSummary + kSmall;
    }
    std::size_t operator()(const SyncRecordRequest &body) const
    {
        return 2 * kListHead + body.members.size() * kIdentifier;
    }
};

} // namespace

std::size_t packedSizeBound(const MemberUpdate &update)
{
    return kSummary + kSmall + (update.info ? sizeOfInfo(*update.info) : 0);
}

std::size_t packedSizeBound(const MembershipMessage &message)
{
    constexpr std::size_t kHeader = 2 * kListHead + kIdentifier + 3 * kNumber64 + kSmall;
    auto size = kHeader + sizeOfText(message.configPayload) + kListHead + std::visit(BodySize{}, message.body);
    for (const auto &it : message.updates) {
        size += packedSizeBound(it);
    }
    return size;
}

} // namespace chicoryspar
