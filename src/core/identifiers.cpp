/// @file
/// Identifiers, hashes, random numbers and rendezvous ranks.

#include <chicoryspar/core.h>

#include <algorithm>

#include <xxhash.h>

namespace chicoryspar {
namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::uint64_t kVersionMask = 0xF000;
constexpr std::uint64_t kVersion7 = 0x7000;
constexpr std::uint64_t kVariantBits = 0x8000000000000000ULL;
constexpr std::uint64_t kVariantMask = 0xC000000000000000ULL;
constexpr int kTimestampShift = 16;

bool isHyphenPosition(std::size_t n)
{
    return n == 8 || n == 13 || n == 18 || n == 23;
}

int hexValue(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

} // namespace

std::uint64_t drawBelow(Random &random, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
}

double drawUnit(Random &random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

NodeId makeNodeId(std::string_view name)
{
    const auto value = hashBytes(name);
    return NodeId{value == 0 ? 1 : value};
}

RequestId makeRequestId(WallTime wall, Random &random)
{
    const auto ms = static_cast<std::uint64_t>(toMilliseconds(wall.time_since_epoch()));
    RequestId id;
    id.high = (ms << kTimestampShift) | kVersion7 | (random() & 0x0FFF);
    id.low = kVariantBits | (random() & ~kVariantMask);
    return id;
}

std::optional<RequestId> parseRequestId(std::string_view text)
{
    if (text.size() == kUuidLength + 2 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, kUuidLength);
    }
    if (text.size() != kUuidLength) {
        return std::nullopt;
    }
    RequestId id;
    int digits = 0;
    for (std::size_t n = 0; n < kUuidLength; ++n) {
        if (isHyphenPosition(n)) {
            if (text[n] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const int value = hexValue(text[n]);
        if (value < 0) {
            return std::nullopt;
        }
        auto &half = digits < 16 ? id.high : id.low;
        half = (half << 4) | static_cast<std::uint64_t>(value);
        ++digits;
    }
    return id;
}

std::string toString(const RequestId &id)
{
    constexpr std::string_view kDigits = "0123456789abcdef";
    std::string text;
    text.reserve(kUuidLength);
    for (int n = 0; n < 32; ++n) {
        if (isHyphenPosition(text.size())) {
            text.push_back('-');
        }
        const auto half = n < 16 ? id.high : id.low;
        text.push_back(kDigits[(half >> (60 - 4 * (n % 16))) & 0xF]);
    }
    return text;
}

std::optional<WallTime> creationTime(const RequestId &id)
{
    if ((id.high & kVersionMask) != kVersion7 || (id.low & kVariantMask) != kVariantBits) {
        return std::nullopt;
    }
    return WallTime(std::chrono::milliseconds(id.high >> kTimestampShift));
}

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint64_t hashRequest(const RequestId &id, std::uint64_t seed)
{
    return XXH64(&id, sizeof id, seed);
}

std::uint64_t rendezvousWeight(NodeId node, std::uint64_t key)
{
    return XXH64(&node.value, sizeof node.value, key);
}

void sortByRank(std::vector<NodeId> &nodes, std::uint64_t key)
{
    std::sort(nodes.begin(), nodes.end(), [key](NodeId a, NodeId b) {
        const auto weightA = rendezvousWeight(a, key);
        const auto weightB = rendezvousWeight(b, key);
        return weightA != weightB ? weightA > weightB : a < b;
    });
}

} // namespace chicoryspar
