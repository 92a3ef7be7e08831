/// @file
/// Grammar of HTTP/1.1: heads of responses (RFC 9112, sections 2 to 6, and RFC 9110, section 5), and request targets.

#include <chicoryspar/core.h>

#include <algorithm>

namespace chicoryspar {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kVersionPrefix = "HTTP/1.";
/// "HTTP/1.1 200 "
constexpr std::size_t kVersionDigit = 7;
constexpr std::size_t kStatusBegin = 9;
constexpr std::size_t kStatusDigits = 3;
/// More digits could exceed 64 bits.
constexpr std::size_t kMaxLengthDigits = 18;
constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

bool isLetter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

bool isTokenCharacter(char c)
{
    return isDigit(c) || isLetter(c) || kTokenSymbols.find(c) != std::string_view::npos;
}

bool isTextCharacter(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte == '\t' || (byte >= 0x20 && byte != 0x7F);
}

bool equalsName(std::string_view name, std::string_view lowerCase)
{
    return std::equal(name.begin(), name.end(), lowerCase.begin(), lowerCase.end(),
                      [](char a, char b) { return (a >= 'A' && a <= 'Z' ? a - 'A' + 'a' : a) == b; });
}

std::string_view trimBlanks(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    return first == std::string_view::npos ? std::string_view() : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// What the field lines state about the body.
struct BodyFields
{
    std::size_t lengths = 0;
    std::size_t codings = 0;
};

/// Takes the next line, without its end, from @a text.
/// @returns nothing if no line end follows
std::optional<std::string_view> takeLine(std::string_view &text)
{
    const auto end = text.find(kLineEnd);
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    const auto line = text.substr(0, end);
    text.remove_prefix(end + kLineEnd.size());
    return line;
}

std::string_view checkStatusLine(std::string_view line)
{
    const bool hasVersion = line.size() > kStatusBegin + kStatusDigits && line.starts_with(kVersionPrefix)
        && (line[kVersionDigit] == '0' || line[kVersionDigit] == '1') && line[kVersionDigit + 1] == ' ';
    if (!hasVersion) {
        return "the status line doesn't begin with HTTP/1.0 or HTTP/1.1 and a status";
    }
    const auto status = line.substr(kStatusBegin, kStatusDigits);
    if (!std::all_of(status.begin(), status.end(), isDigit) || !isResponseStatus((status[0] - '0') * 100)) {
        return "the status isn't a number from 100 to 599";
    }
    if (line[kStatusBegin + kStatusDigits] != ' ') {
        return "no space follows the status";
    }
    return isFieldValue(line.substr(kStatusBegin + kStatusDigits)) ? "" : "the reason phrase holds a control character";
}

std::string_view checkField(std::string_view name, std::string_view value, BodyFields &body)
{
    if (!isFieldName(name)) {
        return "the name of a field isn't a token";
    }
    if (!isFieldValue(value)) {
        return "the value of a field holds a control character";
    }
    const auto text = trimBlanks(value);
    if (equalsName(name, "content-length")) {
        ++body.lengths;
        if (text.empty() || text.size() > kMaxLengthDigits || !std::all_of(text.begin(), text.end(), isDigit)) {
            return "Content-Length isn't a whole number";
        }
    } else if (equalsName(name, "transfer-encoding")) {
        ++body.codings;
        if (!equalsName(text, "chunked")) {
            return "Transfer-Encoding isn't chunked";
        }
    }
    return "";
}

} // namespace

bool isResponseStatus(int status)
{
    return status >= 100 && status < 600;
}

bool isFieldName(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), isTokenCharacter);
}

bool isFieldValue(std::string_view value)
{
    return std::all_of(value.begin(), value.end(), isTextCharacter);
}

std::string percentEncode(std::string_view text, std::string_view symbols)
{
    constexpr std::string_view kDigits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        if (isLetter(c) || isDigit(c) || symbols.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += {'%', kDigits[byte >> 4], kDigits[byte & 0xF]};
    }
    return encoded;
}

std::string_view checkResponseHead(std::string_view head)
{
    const auto statusLine = takeLine(head);
    if (!statusLine) {
        return "the head has no line end";
    }
    if (const auto fault = checkStatusLine(*statusLine); !fault.empty()) {
        return fault;
    }
    BodyFields body;
    while (true) {
        const auto line = takeLine(head);
        if (!line) {
            return "no empty line ends the head";
        }
        if (line->empty()) {
            break;
        }
        const auto colon = line->find(':');
        if (colon == std::string_view::npos) {
            return "a field line has no colon";
        }
        // A line that begins with a blank would continue the one before (obs-fold), or hide a field there.
        if (const auto fault = checkField(line->substr(0, colon), line->substr(colon + 1), body); !fault.empty()) {
            return fault;
        }
    }
    if (body.lengths + body.codings > 1) {
        return "more than one field delimits the body";
    }
    const bool isChunkedInOldVersion = body.codings > 0 && (*statusLine)[kVersionDigit] == '0';
    return isChunkedInOldVersion ? "Transfer-Encoding in a response of HTTP/1.0" : "";
}

} // namespace chicoryspar
