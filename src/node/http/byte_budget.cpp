/// @file
/// Bytes held against one limit.

#include "node/http/http_listener.h"

namespace chicoryspar {

ByteBudget::ByteBudget(std::uint64_t limit)
    : m_limit(limit)
{
}

bool ByteBudget::take(std::uint64_t bytes)
{
    if (bytes > m_limit - m_used) {
        return false;
    }
    m_used += bytes;
    return true;
}

void ByteBudget::give(std::uint64_t bytes)
{
    m_used -= bytes;
}

std::uint64_t ByteBudget::used() const
{
    return m_used;
}

} // namespace chicoryspar
