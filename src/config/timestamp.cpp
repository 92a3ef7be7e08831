/// @file
/// Formatting of wall times as RFC 3339 text.

#include <chicoryspar/config.h>

namespace chicoryspar {
namespace {

std::string padWithZeros(unsigned value, std::size_t width)
{
    auto text = std::to_string(value);
    return text.size() < width ? std::string(width - text.size(), '0') + text : text;
}

} // namespace

std::string formatTimestamp(WallTime wall)
{
    using namespace std::chrono;
    const sys_time<Duration> time(wall.time_since_epoch());
    const auto day = floor<days>(time);
    const year_month_day date(day);
    const hh_mm_ss clock(floor<seconds>(time - day));
    return padWithZeros(static_cast<unsigned>(static_cast<int>(date.year())), 4) + "-"
        + padWithZeros(static_cast<unsigned>(date.month()), 2) + "-" + padWithZeros(static_cast<unsigned>(date.day()), 2) + "T"
        + padWithZeros(static_cast<unsigned>(clock.hours().count()), 2) + ":"
        + padWithZeros(static_cast<unsigned>(clock.minutes().count()), 2) + ":"
        + padWithZeros(static_cast<unsigned>(clock.seconds().count()), 2) + "Z";
}

} // namespace chicoryspar
