/// @file
/// Reads node settings from INI text. A table has one row per key; every error is reported as a finding.

#include <chicoryspar/node.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>

// Settings are UTF-8 and need no conversion; the converter of SimpleIni isn't part of the package.
#define SI_NO_CONVERSION
#include <SimpleIni.h>

namespace chicoryspar {
namespace {

using StringField = std::string NodeSettings::*;
using NumberField = std::uint64_t NodeSettings::*;
using DurationField = Duration NodeSettings::*;
using BoolField = bool NodeSettings::*;
using FractionField = double NodeSettings::*;

/// Parses a value and stores it in the settings.
/// @returns the text of a finding when the value is invalid
using StoreFunction = std::optional<std::string> (*)(NodeSettings &settings, const struct KeyRow &row, const std::string &value);

/// A key of the settings file, the field that it sets and the range of its value.
struct KeyRow
{
    std::string_view section;
    std::string_view key;
    StoreFunction store;
    StringField text = nullptr;
    NumberField number = nullptr;
    DurationField duration = nullptr;
    BoolField flag = nullptr;
    FractionField fraction = nullptr;
    std::uint64_t minValue = 0;
    std::uint64_t maxValue = 0;
};

constexpr std::uint64_t kDayMs = 86'400'000;
constexpr double kMillisecondsPerSecond = 1000;

std::optional<std::uint64_t> parseNumber(const std::string &value)
{
    std::uint64_t number = 0;
    const auto end = value.data() + value.size();
    const auto [at, ec] = std::from_chars(value.data(), end, number);
    if (ec != std::errc() || at != end) {
        return std::nullopt;
    }
    return number;
}

std::optional<std::uint64_t> parseInRange(const KeyRow &row, const std::string &value)
{
    const auto number = parseNumber(value);
    if (!number || *number < row.minValue || *number > row.maxValue) {
        return std::nullopt;
    }
    return number;
}

std::string outOfRangeText(const KeyRow &row, const std::string &value)
{
    return "'" + value + "' isn't a whole number from " + std::to_string(row.minValue) + " to " + std::to_string(row.maxValue);
}

std::optional<std::string> storeText(NodeSettings &settings, const KeyRow &row, const std::string &value)
{
    settings.*row.text = value;
    return std::nullopt;
}

std::optional<std::string> storeNumber(NodeSettings &settings, const KeyRow &row, const std::string &value)
{
    const auto number = parseInRange(row, value);
    if (!number) {
        return outOfRangeText(row, value);
    }
    settings.*row.number = *number;
    return std::nullopt;
}

std::optional<std::string> storeMilliseconds(NodeSettings &settings, const KeyRow &row, const std::string &value)
{
    const auto number = parseInRange(row, value);
    if (!number) {
        return outOfRangeText(row, value);
    }
    settings.*row.duration = std::chrono::milliseconds(*number);
    return std::nullopt;
}

std::optional<std::string> storeFraction(NodeSettings &settings, const KeyRow &row, const std::string &value)
{
    double fraction = 0;
    const auto end = value.data() + value.size();
    const auto [at, ec] = std::from_chars(value.data(), end, fraction);
    if (ec != std::errc() || at != end || !(fraction >= 0 && fraction <= 1)) {
        return "'" + value + "' isn't a number from 0 to 1";
    }
    settings.*row.fraction = fraction;
    return std::nullopt;
}

/// Accepts a decimal number with the unit ms or s; without a unit it counts milliseconds.
std::optional<std::string> storeDurationWithUnit(NodeSettings &settings, const KeyRow &row, const std::string &value)
{
    if (value.empty()) {
        // A template leaves out what its platform doesn't state.
        return std::nullopt;
    }
    const auto digits = value.find_first_not_of("0123456789.");
    const auto unit = digits == std::string::npos ? std::string("ms") : value.substr(digits);
    const auto text = value.substr(0, digits);
    double number = 0;
    const auto [at, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    const auto milliseconds = unit == "s" ? number * kMillisecondsPerSecond : number;
    if (ec != std::errc() || at != text.data() + text.size() || (unit != "ms" && unit != "s")
        || milliseconds > static_cast<double>(kDayMs)) {
        return "'" + value + "' isn't a duration of up to a day, such as 1500, 1500ms or 2.5s";
    }
    if (milliseconds < static_cast<double>(row.minValue)) {
        return "'" + value + "' is less than " + std::to_string(row.minValue) + "ms";
    }
    settings.*row.duration = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
    return std::nullopt;
}

std::optional<std::string> storeFlag(NodeSettings &settings, const KeyRow &row, const std::string &value)
{
    if (value != "true" && value != "false") {
        return "'" + value + "' is neither true nor false";
    }
    settings.*row.flag = value == "true";
    return std::nullopt;
}

bool isAddressAndPort(const std::string &value)
{
    const auto colon = value.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    const auto port = parseNumber(value.substr(colon + 1));
    return port && *port <= std::numeric_limits<std::uint16_t>::max();
}

std::optional<std::string> storeAddress(NodeSettings &settings, const KeyRow &row, const std::string &value)
{
    if (!value.empty() && !isAddressAndPort(value)) {
        return "'" + value + "' isn't address:port";
    }
    settings.*row.text = value;
    return std::nullopt;
}

std::optional<std::string> storeSeeds(NodeSettings &settings, const KeyRow &, const std::string &value)
{
    std::stringstream stream(value);
    std::string item;
    while (std::getline(stream, item, ',')) {
        item.erase(0, item.find_first_not_of(' '));
        item.erase(item.find_last_not_of(' ') + 1);
        if (!isAddressAndPort(item)) {
            return "'" + item + "' isn't address:port";
        }
        settings.seeds.push_back(item);
    }
    return std::nullopt;
}

std::optional<std::string> storeFleetKey(NodeSettings &settings, const KeyRow &, const std::string &value)
{
    constexpr std::size_t kMinKeyBytes = 16;
    std::string bytes;
    for (std::size_t n = 0; n + 1 < value.size(); n += 2) {
        unsigned byte = 0;
        const auto end = value.data() + n + 2;
        if (std::from_chars(value.data() + n, end, byte, 16).ptr != end) {
            return "expected hexadecimal digits only";
        }
        bytes.push_back(static_cast<char>(byte));
    }
    if (!value.empty() && (value.size() % 2 != 0 || bytes.size() < kMinKeyBytes)) {
        return "expected an even number of hexadecimal digits, at least 32";
    }
    settings.fleetKey = bytes;
    return std::nullopt;
}

std::optional<std::string> storeLevel(NodeSettings &settings, const KeyRow &, const std::string &value)
{
    constexpr std::array<std::string_view, 6> kLevels{"TRACE", "DEBUG", "INFO", "WARN", "ERROR", "FATAL"};
    std::string level = value;
    std::transform(level.begin(), level.end(), level.begin(), [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
    if (std::find(kLevels.begin(), kLevels.end(), level) == kLevels.end()) {
        return "'" + value + "' is none of trace, debug, info, warn, error, fatal";
    }
    settings.logLevel = level;
    return std::nullopt;
}

constexpr std::array<RepeatHolderRow, static_cast<std::size_t>(RepeatHolder::Count)> kRepeatHolders{{{"auto"}, {"gates"}, {"senders"}}};

std::optional<std::string> storeRepeatHolder(NodeSettings &settings, const KeyRow &, const std::string &value)
{
    const auto holder = findByName<RepeatHolder>(kRepeatHolders, value);
    if (!holder) {
        return "'" + value + "' is none of auto, gates, senders";
    }
    settings.repeatsHeldBy = *holder;
    return std::nullopt;
}

constexpr std::array<ReturnScheduleModeRow, static_cast<std::size_t>(ReturnScheduleMode::Count)> kReturnScheduleModes{{
    {"auto"},
    {"on"},
    {"off"},
}};

std::optional<std::string> storeReturnSchedule(NodeSettings &settings, const KeyRow &, const std::string &value)
{
    const auto it =
        std::find_if(kReturnScheduleModes.begin(), kReturnScheduleModes.end(), [&](const auto &row) { return row.name == value; });
    if (it == kReturnScheduleModes.end()) {
        return "'" + value + "' is none of auto, on, off";
    }
    settings.returnSchedule = static_cast<ReturnScheduleMode>(it - kReturnScheduleModes.begin());
    return std::nullopt;
}

constexpr std::uint64_t kMebibyte = 1024ULL * 1024;

constexpr std::array kKeys{
    KeyRow{"node", "name", storeText, &NodeSettings::name},
    KeyRow{"node", "region", storeText, &NodeSettings::region},
    KeyRow{"node", "zone", storeText, &NodeSettings::zone},
    KeyRow{"node", "service", storeText, &NodeSettings::service},
    KeyRow{"listen", "callers", storeAddress, &NodeSettings::listenCallers},
    KeyRow{"listen", "backend", storeAddress, &NodeSettings::listenBackend},
    KeyRow{"listen", "peers", storeAddress, &NodeSettings::listenPeers},
    KeyRow{"listen", "operators", storeAddress, &NodeSettings::listenOperators},
    KeyRow{"listen", "readiness", storeAddress, &NodeSettings::listenReadiness},
    KeyRow{"advertise", "peers", storeAddress, &NodeSettings::advertisePeers},
    KeyRow{"platform", "address", storeAddress, &NodeSettings::platformAddress},
    KeyRow{"platform", "dialect", storeText, &NodeSettings::platformDialect},
    KeyRow{.section = "platform",
           .key = "watchers_per_zone",
           .store = storeNumber,
           .number = &NodeSettings::watchersPerZone,
           .minValue = 1,
           .maxValue = 10'000},
    KeyRow{.section = "platform",
           .key = "start_window_ms",
           .store = storeMilliseconds,
           .duration = &NodeSettings::storeStartWindow,
           .minValue = 0,
           .maxValue = kDayMs},
    KeyRow{.section = "platform",
           .key = "change_bound",
           .store = storeDurationWithUnit,
           .duration = &NodeSettings::changeBound,
           .minValue = 500},
    KeyRow{"seeds", "nodes", storeSeeds},
    KeyRow{"security", "fleet_key", storeFleetKey},
    KeyRow{.section = "security",
           .key = "operator_changes_from_loopback_only",
           .store = storeFlag,
           .flag = &NodeSettings::operatorChangesFromLoopbackOnly},
    KeyRow{.section = "limits",
           .key = "max_body_bytes",
           .store = storeNumber,
           .number = &NodeSettings::maxBodyBytes,
           .minValue = kMebibyte,
           .maxValue = 7 * kMebibyte},
    KeyRow{.section = "limits",
           .key = "max_header_bytes",
           .store = storeNumber,
           .number = &NodeSettings::maxHeaderBytes,
           .minValue = 1024,
           .maxValue = kMebibyte},
    KeyRow{.section = "limits",
           .key = "max_caller_connections",
           .store = storeNumber,
           .number = &NodeSettings::maxCallerConnections,
           .minValue = 1,
           .maxValue = 60000},
    KeyRow{.section = "limits",
           .key = "max_buffered_bytes",
           .store = storeNumber,
           .number = &NodeSettings::maxBufferedBytes,
           .minValue = kMebibyte,
           .maxValue = 4096 * kMebibyte},
    KeyRow{.section = "limits",
           .key = "max_backend_connections",
           .store = storeNumber,
           .number = &NodeSettings::maxBackendConnections,
           .minValue = 1,
           .maxValue = 60000},
    KeyRow{.section = "limits",
           .key = "max_event_bytes",
           .store = storeNumber,
           .number = &NodeSettings::maxEventBytes,
           .minValue = 4096,
           .maxValue = 1024 * kMebibyte},
    KeyRow{.section = "repeats", .key = "share", .store = storeFraction, .fraction = &NodeSettings::fleetRetryFraction},
    KeyRow{.section = "repeats",
           .key = "extra",
           .store = storeNumber,
           .number = &NodeSettings::fleetRetryExtra,
           .minValue = 0,
           .maxValue = 1'000'000},
    KeyRow{"repeats", "held_by", storeRepeatHolder},
    KeyRow{.section = "repeats", .key = "window", .store = storeDurationWithUnit, .duration = &NodeSettings::fleetRetryWindow},
    KeyRow{"overload", "return_schedule", storeReturnSchedule},
    KeyRow{.section = "keys",
           .key = "lifetime_ms",
           .store = storeMilliseconds,
           .duration = &NodeSettings::keyLifetime,
           .minValue = 1000,
           .maxValue = kDayMs},
    KeyRow{.section = "keys",
           .key = "clock_tolerance_ms",
           .store = storeMilliseconds,
           .duration = &NodeSettings::keyClockTolerance,
           .minValue = 0,
           .maxValue = 60'000},
    KeyRow{
        .section = "keys", .key = "founders", .store = storeNumber, .number = &NodeSettings::keyFounders, .minValue = 1, .maxValue = 1000},
    KeyRow{.section = "keys",
           .key = "max_entries",
           .store = storeNumber,
           .number = &NodeSettings::maxKeyEntries,
           .minValue = 1,
           .maxValue = 10'000'000},
    KeyRow{.section = "keys",
           .key = "max_bytes",
           .store = storeNumber,
           .number = &NodeSettings::maxKeyBytes,
           .minValue = kMebibyte,
           .maxValue = 4096 * kMebibyte},
    KeyRow{.section = "stop",
           .key = "drain_ms",
           .store = storeMilliseconds,
           .duration = &NodeSettings::drainTime,
           .minValue = 0,
           .maxValue = kDayMs},
    KeyRow{.section = "stop", .key = "kill_after", .store = storeDurationWithUnit, .duration = &NodeSettings::stopKillTime},
    KeyRow{.section = "stop",
           .key = "accept_ms",
           .store = storeMilliseconds,
           .duration = &NodeSettings::stopAcceptTime,
           .minValue = 0,
           .maxValue = kDayMs},
    KeyRow{"log", "level", storeLevel},
    KeyRow{.section = "log",
           .key = "decisions_per_second",
           .store = storeNumber,
           .number = &NodeSettings::logDecisionsPerSecond,
           .minValue = 0,
           .maxValue = 100'000},
    KeyRow{"log", "file", storeText, &NodeSettings::logFile},
    KeyRow{"log", "ports_file", storeText, &NodeSettings::portsFile},
};

const KeyRow *findKey(std::string_view section, std::string_view key)
{
    const auto it = std::find_if(kKeys.begin(), kKeys.end(), [&](const KeyRow &row) { return row.section == section && row.key == key; });
    return it == kKeys.end() ? nullptr : &*it;
}

bool isKnownSection(std::string_view section)
{
    return std::any_of(kKeys.begin(), kKeys.end(), [&](const KeyRow &row) { return row.section == section; });
}

std::string sectionPlace(const std::string &file, const std::string &section)
{
    std::string place = file;
    place += " [";
    place += section;
    place += "]";
    return place;
}

std::string keyPlace(const std::string &file, const std::string &section, const std::string &key)
{
    return sectionPlace(file, section) + " " + key;
}

void readSection(const CSimpleIniA &ini, const std::string &section, const std::string &file, LoadedSettings &loaded)
{
    CSimpleIniA::TNamesDepend keys;
    ini.GetAllKeys(section.c_str(), keys);
    keys.sort(CSimpleIniA::Entry::LoadOrder());
    for (const auto &it : keys) {
        const std::string key = it.pItem;
        const auto place = keyPlace(file, section, key);
        CSimpleIniA::TNamesDepend values;
        ini.GetAllValues(section.c_str(), it.pItem, values);
        if (values.size() > 1) {
            loaded.findings.push_back({place, "the key occurs " + std::to_string(values.size()) + " times; expected once"});
        }
        const auto row = findKey(section, key);
        if (!row) {
            loaded.findings.push_back({place, "unknown key"});
            continue;
        }
        if (const auto text = row->store(loaded.settings, *row, values.front().pItem)) {
            loaded.findings.push_back({place, *text});
        }
    }
}

void requireNodeKey(const std::string &value, const std::string &key, const std::string &file, LoadedSettings &loaded)
{
    if (value.empty()) {
        loaded.findings.push_back({keyPlace(file, "node", key), "a value is required"});
    }
}

} // namespace

const RepeatHolderRow &rowOf(RepeatHolder value)
{
    return kRepeatHolders.at(static_cast<std::size_t>(value));
}

const ReturnScheduleModeRow &rowOf(ReturnScheduleMode value)
{
    return kReturnScheduleModes.at(static_cast<std::size_t>(value));
}

LoadedSettings parseNodeSettings(const std::string &text, const std::string &place)
{
    LoadedSettings loaded;
    CSimpleIniA ini;
    ini.SetMultiKey(true);
    if (ini.LoadData(text) < 0) {
        loaded.findings.push_back({place, "the file isn't INI text"});
        return loaded;
    }
    CSimpleIniA::TNamesDepend sections;
    ini.GetAllSections(sections);
    sections.sort(CSimpleIniA::Entry::LoadOrder());
    for (const auto &it : sections) {
        const std::string section = it.pItem;
        if (!isKnownSection(section)) {
            loaded.findings.push_back({sectionPlace(place, section), "unknown section"});
            continue;
        }
        readSection(ini, section, place, loaded);
    }
    requireNodeKey(loaded.settings.name, "name", place, loaded);
    requireNodeKey(loaded.settings.region, "region", place, loaded);
    requireNodeKey(loaded.settings.zone, "zone", place, loaded);
    return loaded;
}

LoadedSettings loadNodeSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        LoadedSettings loaded;
        loaded.findings.push_back({path, "the file can't be read"});
        return loaded;
    }
    std::stringstream text;
    text << file.rdbuf();
    return parseNodeSettings(text.str(), path);
}

} // namespace chicoryspar
