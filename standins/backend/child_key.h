#pragma once

/// @file
/// Idempotency keys of child calls.

#include <cstddef>
#include <string>

namespace chicoryspar::standin {

/// Returns the key of a child call. It is the same for each run of the parent call and has the creation time of the parent key.
/// @param child index of the child call
/// @returns an empty string when @a parentKey isn't a UUID
std::string deriveChildKey(const std::string &parentKey, std::size_t child);

} // namespace chicoryspar::standin
