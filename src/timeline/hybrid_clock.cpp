/// @file
/// Hybrid logical clock, and formatting and parsing of wall-clock times.

#include <chicoryspar/timeline.h>

#include <algorithm>

namespace chicoryspar {
namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;
constexpr int kMicrosDigits = 6;

void appendNumber(std::string &text, std::int64_t value, std::size_t digits)
{
    const auto number = std::to_string(value);
    text.append(digits > number.size() ? digits - number.size() : 0, '0');
    text += number;
}

/// Reads exactly @a digits digits at @a pos and advances @a pos past them.
std::optional<int> readNumber(std::string_view text, std::size_t &pos, std::size_t digits)
{
    if (pos + digits > text.size()) {
        return std::nullopt;
    }
    int value = 0;
    for (std::size_t n = 0; n < digits; ++n) {
        const char c = text[pos + n];
        if (c < '0' || c > '9') {
            return std::nullopt;
        }
        value = value * 10 + (c - '0');
    }
    pos += digits;
    return value;
}

/// Reads a fraction of a second such as ".123456", one to six digits, and advances @a pos past it.
/// @returns microseconds, 0 when there is no fraction, nothing when the point isn't followed by a digit
std::optional<std::int64_t> readFraction(std::string_view text, std::size_t &pos)
{
    if (pos >= text.size() || text[pos] != '.') {
        return 0;
    }
    ++pos;
    std::int64_t micros = 0;
    int digits = 0;
    while (pos < text.size() && text[pos] >= '0' && text[pos] <= '9' && digits < kMicrosDigits) {
        micros = micros * 10 + (text[pos] - '0');
        ++pos;
        ++digits;
    }
    if (digits == 0) {
        return std::nullopt;
    }
    for (; digits < kMicrosDigits; ++digits) {
        micros *= 10;
    }
    return micros;
}

} // namespace

WallTime wallOf(HybridTime at)
{
    return WallTime(Duration(at.value >> kHybridCounterBits));
}

HybridTime makeHybridTime(WallTime wall)
{
    const auto micros = std::max<std::int64_t>(wall.time_since_epoch().count(), 0);
    return HybridTime{static_cast<std::uint64_t>(micros) << kHybridCounterBits};
}

HybridTime HybridClock::tick(WallTime wall)
{
    m_last.value = std::max(m_last.value + 1, makeHybridTime(wall).value);
    return m_last;
}

bool HybridClock::observe(HybridTime remote, WallTime wall)
{
    if (remote > makeHybridTime(wall + kMaxDrift)) {
        ++m_ignoredCount;
        return false;
    }
    m_last = std::max(m_last, remote);
    return true;
}

std::string toString(WallTime wall)
{
    const auto day = std::chrono::floor<std::chrono::days>(wall);
    const std::chrono::year_month_day date{std::chrono::sys_days(day.time_since_epoch())};
    const auto micros = (wall - day).count();
    const auto seconds = micros / kMicrosPerSecond;
    std::string text;
    appendNumber(text, static_cast<int>(date.year()), 4);
    text += '-';
    appendNumber(text, static_cast<unsigned>(date.month()), 2);
    text += '-';
    appendNumber(text, static_cast<unsigned>(date.day()), 2);
    text += 'T';
    appendNumber(text, seconds / 3600, 2);
    text += ':';
    appendNumber(text, seconds / 60 % 60, 2);
    text += ':';
    appendNumber(text, seconds % 60, 2);
    text += '.';
    appendNumber(text, micros % kMicrosPerSecond, kMicrosDigits);
    text += 'Z';
    return text;
}

std::optional<WallTime> parseWallTime(std::string_view text)
{
    constexpr std::array<std::pair<std::size_t, char>, 6> kFields{{{4, '-'}, {2, '-'}, {2, 'T'}, {2, ':'}, {2, ':'}, {2, '\0'}}};
    std::array<int, kFields.size()> values{};
    std::size_t pos = 0;
    for (std::size_t n = 0; n < kFields.size(); ++n) {
        const auto value = readNumber(text, pos, kFields[n].first);
        if (!value) {
            return std::nullopt;
        }
        values[n] = *value;
        if (kFields[n].second != '\0' && (pos >= text.size() || text[pos++] != kFields[n].second)) {
            return std::nullopt;
        }
    }
    const auto micros = readFraction(text, pos);
    if (!micros || text.substr(pos) != "Z") {
        return std::nullopt;
    }
    const std::chrono::year_month_day date{std::chrono::year(values[0]), std::chrono::month(static_cast<unsigned>(values[1])),
                                           std::chrono::day(static_cast<unsigned>(values[2]))};
    if (!date.ok() || values[3] > 23 || values[4] > 59 || values[5] > 59) {
        return std::nullopt;
    }
    const auto day = std::chrono::sys_days(date).time_since_epoch();
    const auto time = std::chrono::hours(values[3]) + std::chrono::minutes(values[4]) + std::chrono::seconds(values[5]) + Duration(*micros);
    return WallTime(std::chrono::duration_cast<Duration>(day + time));
}

} // namespace chicoryspar
