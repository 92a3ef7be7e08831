#include "standins/backend/settings.h"

#include <nlohmann/json.hpp>

namespace chicoryspar::standin {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, static_cast<std::size_t>(ServiceTimeDistribution::Count)> kDistributionNames = {
    "fixed",
    "exponential",
    "uniform",
};

/// JSON key, member and maximum of a numeric fault.
struct NumericFault
{
    std::string_view key;
    double Faults::*member;
    double max;
};

/// JSON key and member of a boolean fault.
struct BooleanFault
{
    std::string_view key;
    bool Faults::*member;
};

constexpr double kMaxSlowFactor = 1e6;
constexpr std::array<NumericFault, 4> kNumericFaults = {{
    {"slow", &Faults::slow, kMaxSlowFactor},
    {"truncated", &Faults::truncated, 1.0},
    {"doubled", &Faults::doubled, 1.0},
    {"lateShare", &Faults::lateShare, 1.0},
}};
constexpr std::array<BooleanFault, 4> kBooleanFaults = {{
    {"hang", &Faults::isHanging},
    {"shed", &Faults::isShedding},
    {"lie", &Faults::reportsIdle},
    {"silent", &Faults::isSilent},
}};

bool parseNumber(const std::string &key, const Json &value, Faults &faults)
{
    for (const auto &it : kNumericFaults) {
        if (it.key == key && value.is_number() && value.get<double>() >= 0 && value.get<double>() <= it.max) {
            faults.*it.member = value.get<double>();
            return true;
        }
    }
    return false;
}

bool parseBoolean(const std::string &key, const Json &value, Faults &faults)
{
    for (const auto &it : kBooleanFaults) {
        if (it.key == key && value.is_boolean()) {
            faults.*it.member = value.get<bool>();
            return true;
        }
    }
    return false;
}

bool parseLate(const std::string &key, const Json &value, Faults &faults)
{
    if (key != "lateMs" || !value.is_number_unsigned()) {
        return false;
    }
    faults.late = std::chrono::milliseconds(value.get<unsigned>());
    return true;
}

} // namespace

std::optional<ServiceTimeDistribution> findServiceTimeDistribution(std::string_view name)
{
    for (std::size_t it = 0; it < kDistributionNames.size(); ++it) {
        if (kDistributionNames[it] == name) {
            return static_cast<ServiceTimeDistribution>(it);
        }
    }
    return std::nullopt;
}

std::optional<std::vector<ChildCall>> parseChildren(std::string_view text)
{
    std::vector<ChildCall> children;
    while (!text.empty()) {
        const auto item = text.substr(0, text.find(','));
        const auto colon = item.find(':');
        if (colon == std::string_view::npos || colon == 0 || colon + 1 == item.size()) {
            return std::nullopt;
        }
        children.push_back({std::string(item.substr(0, colon)), std::string(item.substr(colon + 1))});
        text.remove_prefix(std::min(text.size(), item.size() + 1));
    }
    return children;
}

std::vector<Finding> parseFaults(std::string_view json, Faults &faults)
{
    const auto object = Json::parse(json, nullptr, false);
    if (!object.is_object()) {
        return {{"body", "expected a JSON object"}};
    }
    std::vector<Finding> findings;
    Faults taken = faults;
    for (const auto &[key, value] : object.items()) {
        if (!parseNumber(key, value, taken) && !parseBoolean(key, value, taken) && !parseLate(key, value, taken)) {
            findings.push_back({key, "is unknown, has the wrong type or is out of range"});
        }
    }
    if (findings.empty()) {
        faults = taken;
    }
    return findings;
}

std::string formatFaults(const Faults &faults)
{
    Json object = {{"lateMs", toMilliseconds(faults.late)}};
    for (const auto &it : kNumericFaults) {
        object[std::string(it.key)] = faults.*it.member;
    }
    for (const auto &it : kBooleanFaults) {
        object[std::string(it.key)] = faults.*it.member;
    }
    return object.dump();
}

} // namespace chicoryspar::standin
