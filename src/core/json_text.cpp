/// @file
/// Splitting of JSON text without parsing it.

#include <chicoryspar/core.h>

namespace chicoryspar {
namespace {

bool isSpace(char c)
{
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

bool isOpening(char c)
{
    return c == '{' || c == '[';
}

bool isClosing(char c)
{
    return c == '}' || c == ']';
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && isSpace(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && isSpace(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

/// Returns the position after the string that begins at @a begin.
std::size_t endOfString(std::string_view text, std::size_t begin)
{
    auto n = begin + 1;
    while (n < text.size() && text[n] != '"') {
        n += text[n] == '\\' ? 2 : 1;
    }
    return std::min(n + 1, text.size());
}

/// Returns whether all strings and brackets of @a text are complete.
bool isComplete(std::string_view text)
{
    std::size_t depth = 0;
    for (std::size_t n = 0; n < text.size();) {
        const char c = text[n];
        if (c == '"') {
            const auto end = endOfString(text, n);
            if (end - n < 2 || text[end - 1] != '"') {
                return false;
            }
            n = end;
            continue;
        }
        if (isClosing(c) && depth == 0) {
            return false;
        }
        depth += isOpening(c) ? 1 : 0;
        depth -= isClosing(c) ? 1 : 0;
        ++n;
    }
    return depth == 0;
}

/// Returns the position of the comma or closing bracket that ends the value at @a begin.
std::size_t endOfValue(std::string_view text, std::size_t begin)
{
    std::size_t depth = 0;
    for (auto n = begin; n < text.size();) {
        const char c = text[n];
        if (c == '"') {
            n = endOfString(text, n);
            continue;
        }
        if (depth == 0 && (c == ',' || isClosing(c))) {
            return n;
        }
        depth += isOpening(c) ? 1 : 0;
        depth -= isClosing(c) ? 1 : 0;
        ++n;
    }
    return text.size();
}

} // namespace

bool exceedsNestingDepth(std::string_view json, int maxDepth)
{
    int depth = 0;
    for (std::size_t n = 0; n < json.size();) {
        const char c = json[n];
        if (c == '"') {
            n = endOfString(json, n);
            continue;
        }
        depth += isOpening(c) ? 1 : 0;
        depth -= isClosing(c) ? 1 : 0;
        if (depth > maxDepth) {
            return true;
        }
        ++n;
    }
    return false;
}

std::optional<std::string_view> findJsonMember(std::string_view object, std::string_view key)
{
    const auto text = trimmed(object);
    std::optional<std::string_view> found;
    if (text.empty() || text.front() != '{' || !isComplete(text)) {
        return found;
    }
    for (std::size_t n = 1; n < text.size();) {
        if (text[n] != '"') {
            ++n;
            continue;
        }
        const auto keyEnd = endOfString(text, n);
        const auto name = text.substr(n + 1, keyEnd - n >= 2 ? keyEnd - n - 2 : 0);
        const auto colon = text.find_first_not_of(" \t\r\n", keyEnd);
        if (colon == std::string_view::npos || text[colon] != ':') {
            return found;
        }
        const auto end = endOfValue(text, colon + 1);
        if (name == key) {
            found = trimmed(text.substr(colon + 1, end - colon - 1));
        }
        if (end >= text.size() || isClosing(text[end])) {
            return found;
        }
        n = end + 1;
    }
    return found;
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view array)
{
    const auto text = trimmed(array);
    if (text.empty() || text.front() != '[' || !isComplete(text)) {
        return std::nullopt;
    }
    std::vector<std::string_view> elements;
    for (std::size_t n = 1; n < text.size();) {
        const auto end = endOfValue(text, n);
        const auto element = trimmed(text.substr(n, end - n));
        if (!element.empty()) {
            elements.push_back(element);
        }
        if (end >= text.size() || isClosing(text[end])) {
            break;
        }
        n = end + 1;
    }
    return elements;
}

} // namespace chicoryspar
