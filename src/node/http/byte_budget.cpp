/// @file
/// Memory limit that is shared by all request bodies of a node.

#include "node/http/http_listener.h"

namespace chicoryspar {

ByteBudget::ByteBudget(std::uint64_t limitBytes)
    : m_limitBytes(limitBytes)
{
}

bool ByteBudget::tryReserve(std::uint64_t bytes)
{
    if (bytes > m_limitBytes - m_usedBytes) {
        return false;
    }
    m_usedBytes += bytes;
    return true;
}

void ByteBudget::release(std::uint64_t bytes)
{
    m_usedBytes -= bytes;
}

std::uint64_t ByteBudget::used() const
{
    return m_usedBytes;
}

} // namespace chicoryspar
