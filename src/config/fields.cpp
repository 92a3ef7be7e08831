/// @file
/// Readers of single JSON values that report type and range errors as findings.

#include "config/fields.h"

#include <algorithm>

namespace chicoryspar {

std::optional<std::uint64_t> readNumber(const Json &json, const std::string &path, std::uint64_t min, std::uint64_t max,
                                        ObjectFindings &findings, RangePolicy rangePolicy)
{
    if (json.is_number_unsigned()) {
        auto number = json.get<std::uint64_t>();
        if (rangePolicy == RangePolicy::Clamp) {
            number = std::clamp(number, min, max);
        }
        if (number >= min && number <= max) {
            return number;
        }
    }
    findings.addFault(path, "must be an integer from " + std::to_string(min) + " to " + std::to_string(max));
    return std::nullopt;
}

std::optional<double> readDecimal(const Json &json, const std::string &path, double max, ObjectFindings &findings)
{
    if (json.is_number()) {
        const auto number = json.get<double>();
        if (number >= 0) {
            return std::min(number, max);
        }
    }
    findings.addFault(path, "must be a number, 0 or more");
    return std::nullopt;
}

std::optional<std::string> readString(const Json &json, const std::string &path, ObjectFindings &findings)
{
    if (json.is_string()) {
        return json.get<std::string>();
    }
    findings.addFault(path, "must be a string");
    return std::nullopt;
}

std::optional<bool> readBool(const Json &json, const std::string &path, ObjectFindings &findings)
{
    if (json.is_boolean()) {
        return json.get<bool>();
    }
    findings.addFault(path, "must be true or false");
    return std::nullopt;
}

std::vector<std::string> readStrings(const Json &json, const std::string &path, ObjectFindings &findings)
{
    std::vector<std::string> texts;
    if (!json.is_array()) {
        findings.addFault(path, "must be a list of strings");
        return texts;
    }
    for (std::size_t n = 0; n < json.size(); ++n) {
        if (auto text = readString(json[n], path + "[" + std::to_string(n) + "]", findings)) {
            texts.push_back(std::move(*text));
        }
    }
    return texts;
}

} // namespace chicoryspar
