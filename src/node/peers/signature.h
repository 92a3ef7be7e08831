#pragma once

/// @file
/// Message authentication between nodes that share the fleet key.

#include <string>
#include <string_view>

namespace chicoryspar {

/// Length of a signature, in bytes.
constexpr std::size_t kSignatureBytes = 32;

/// Returns the HMAC-SHA256 of @a bytes under @a key.
std::string signBytes(std::string_view key, std::string_view bytes);

/// Compares two signatures in constant time, as a protection against timing attacks.
bool equalSignatures(std::string_view a, std::string_view b);

} // namespace chicoryspar
