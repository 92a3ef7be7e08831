/// @file
/// Message authentication with OpenSSL.

#include "node/peers/signature.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace chicoryspar {

std::string signBytes(std::string_view key, std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(),
         digest.data(), &length);
    return {reinterpret_cast<const char *>(digest.data()), length};
}

bool equalSignatures(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace chicoryspar
