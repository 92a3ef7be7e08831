/// @file
/// Digests of the keys of customers.

#include <chicoryspar/http.h>

#include <openssl/evp.h>

namespace chicoryspar {
namespace {

constexpr std::string_view kBearerScheme = "Bearer ";
/// Bytes of the SHA-256 that are kept: enough that nobody finds a second key with the digest of another.
constexpr std::size_t kDigestBytes = 16;

} // namespace

std::string keyDigest(std::string_view key)
{
    constexpr std::string_view kDigits = "0123456789abcdef";
    // Fetched once: EVP_sha256() would be resolved again on each use.
    static const auto *const s_sha256 = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    if (EVP_Digest(key.data(), key.size(), bytes.data(), nullptr, s_sha256, nullptr) != 1) {
        // No configured digest is empty, so the key matches no customer.
        return {};
    }
    std::string text;
    text.reserve(2 * kDigestBytes);
    for (std::size_t n = 0; n < kDigestBytes; ++n) {
        text.push_back(kDigits[bytes.at(n) >> 4]);
        text.push_back(kDigits[bytes.at(n) & 0xF]);
    }
    return text;
}

std::optional<std::string> bearerTokenDigest(const std::vector<HeaderField> &headers)
{
    auto value = findHeader(headers, "Authorization").value_or("");
    if (!equalsIgnoringCase(value.substr(0, kBearerScheme.size()), kBearerScheme)) {
        return std::nullopt;
    }
    value.remove_prefix(std::min(value.find_first_not_of(' ', kBearerScheme.size()), value.size()));
    value = value.substr(0, value.find_last_not_of(" \t") + 1);
    return value.empty() ? std::nullopt : std::optional(keyDigest(value));
}

} // namespace chicoryspar
