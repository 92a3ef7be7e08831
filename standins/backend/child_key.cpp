#include "standins/backend/child_key.h"

#include "chicoryspar/core.h"

namespace chicoryspar::standin {

std::string deriveChildKey(const std::string &parentKey, std::size_t child)
{
    const auto parent = parseRequestId(parentKey);
    if (!parent) {
        return {};
    }
    constexpr std::uint64_t kTimeAndVersion = ~std::uint64_t{0xFFF};
    constexpr std::uint64_t kVariant = std::uint64_t{1} << 63U;
    const auto high = hashRequest(*parent, 2 * child + 1);
    const auto low = hashRequest(*parent, 2 * child + 2);
    return toString(RequestId{.high = (parent->high & kTimeAndVersion) | (high & ~kTimeAndVersion), .low = (low >> 2U) | kVariant});
}

} // namespace chicoryspar::standin
