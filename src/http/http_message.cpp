/// @file
/// Header fields and request targets of HTTP messages.

#include <chicoryspar/http.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace chicoryspar {
namespace {

constexpr std::array<std::string_view, 10> kHopByHop{
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding",
    "upgrade",    "expect",
};

constexpr std::string_view kSchemeEnd = "://";

char toLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return toLower(x) == toLower(y); });
}

std::optional<std::string_view> findHeader(const std::vector<HeaderField> &headers, std::string_view name)
{
    const auto it =
        std::find_if(headers.begin(), headers.end(), [&](const HeaderField &field) { return equalsIgnoringCase(field.name, name); });
    if (it == headers.end()) {
        return std::nullopt;
    }
    return it->value;
}

void removeHeader(std::vector<HeaderField> &headers, std::string_view name)
{
    std::erase_if(headers, [&](const HeaderField &field) { return equalsIgnoringCase(field.name, name); });
}

void removeHeadersWithPrefix(std::vector<HeaderField> &headers, std::string_view prefix)
{
    std::erase_if(headers, [&](const HeaderField &field) {
        return equalsIgnoringCase(std::string_view(field.name).substr(0, prefix.size()), prefix);
    });
}

bool isHopByHop(std::string_view name)
{
    return std::any_of(kHopByHop.begin(), kHopByHop.end(), [&](std::string_view it) { return equalsIgnoringCase(it, name); });
}

std::string_view authorityOf(std::string_view target)
{
    const auto scheme = target.find(kSchemeEnd);
    if (target.starts_with('/') || scheme == std::string_view::npos) {
        return {};
    }
    const auto rest = target.substr(scheme + kSchemeEnd.size());
    return rest.substr(0, rest.find_first_of("/?#"));
}

std::string_view pathOf(std::string_view target)
{
    const auto authority = authorityOf(target);
    if (!authority.empty()) {
        target.remove_prefix(static_cast<std::size_t>(authority.end() - target.begin()));
    }
    const auto path = target.substr(0, target.find_first_of("?#"));
    return path.empty() && !authority.empty() ? std::string_view("/") : path;
}

std::string toLowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), toLower);
    return lower;
}

std::string hostOf(std::string_view target, const std::vector<HeaderField> &headers)
{
    const auto authority = authorityOf(target);
    const auto host = authority.empty() ? findHeader(headers, "Host").value_or("") : authority;
    return toLowerCase(host.substr(0, host.find(':')));
}

std::optional<std::uint64_t> parseWholeNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto end = text.data() + text.size();
    const auto [at, ec] = std::from_chars(text.data(), end, number);
    if (ec != std::errc() || at != end) {
        return std::nullopt;
    }
    return number;
}

std::optional<double> parseDecimal(std::string_view text)
{
    double number = 0;
    const auto end = text.data() + text.size();
    const auto [at, ec] = std::from_chars(text.data(), end, number);
    if (ec != std::errc() || at != end || !std::isfinite(number) || number < 0) {
        return std::nullopt;
    }
    return number;
}

} // namespace chicoryspar
