#pragma once

/// @file
/// Table-driven reading of structs from JSON objects. Errors are collected as findings; a member with an error keeps its default.

#include <chicoryspar/config.h>

#include <nlohmann/json.hpp>

namespace chicoryspar {

using Json = nlohmann::json;

/// Findings of one object, by severity: faults refuse the object; an unused part is left out and the rest is in force; unknown keys have no
/// effect.
struct ObjectFindings
{
    std::vector<Finding> faults;
    std::vector<Finding> unusedParts;
    std::vector<Finding> unknownKeys;

    void addFault(std::string path, std::string text)
    {
        faults.push_back({std::move(path), std::move(text)});
    }
    /// Adds the findings of a part of the object. Its faults concern this part only.
    void addPart(ObjectFindings part)
    {
        std::move(part.faults.begin(), part.faults.end(), std::back_inserter(unusedParts));
        std::move(part.unusedParts.begin(), part.unusedParts.end(), std::back_inserter(unusedParts));
        std::move(part.unknownKeys.begin(), part.unknownKeys.end(), std::back_inserter(unknownKeys));
    }
};

/// What becomes of a number beyond the range of its field.
enum class RangePolicy : std::uint8_t {
    /// It is a fault.
    Refuse,
    /// The nearest number in the range applies. For objects whose authors know no such limit.
    Clamp,
};

/// Maps a key of a JSON object to a member of the struct @a Spec.
template<typename Spec>
struct Field
{
    /// Reads a field that needs more than a single boolean, string or number.
    using ReadFunction = void (*)(const Json &json, const std::string &path, Spec &spec, ObjectFindings &findings);
    using Member =
        std::variant<bool Spec::*, std::string Spec::*, std::uint32_t Spec::*, std::uint64_t Spec::*, Duration Spec::*, ReadFunction>;

    std::string_view key;
    Member member;
    /// Inclusive range of a number; in milliseconds for a duration.
    std::uint64_t min = 0;
    std::uint64_t max = 0;
    RangePolicy rangePolicy = RangePolicy::Refuse;
};

/// Reads an integer in [min, max].
/// @param path path of the value within the object, for findings
/// @returns the number, or nothing after adding a finding; so do the other readers
std::optional<std::uint64_t> readNumber(const Json &json, const std::string &path, std::uint64_t min, std::uint64_t max,
                                        ObjectFindings &findings, RangePolicy rangePolicy = RangePolicy::Refuse);

/// Reads a number from 0, whole or not; one above @a max is clamped to it.
std::optional<double> readDecimal(const Json &json, const std::string &path, double max, ObjectFindings &findings);

/// Reads a string.
std::optional<std::string> readString(const Json &json, const std::string &path, ObjectFindings &findings);

/// Reads a boolean.
std::optional<bool> readBool(const Json &json, const std::string &path, ObjectFindings &findings);

/// Reads a list of strings; items of another type are left out with a finding.
std::vector<std::string> readStrings(const Json &json, const std::string &path, ObjectFindings &findings);

/// Reads the value of one field into its member.
template<typename Spec>
void readField(const Json &json, const std::string &path, const Field<Spec> &field, Spec &spec, ObjectFindings &findings)
{
    const auto readMember = [&](auto member) {
        using Member = decltype(member);
        if constexpr (std::is_same_v<Member, typename Field<Spec>::ReadFunction>) {
            member(json, path, spec, findings);
        } else if constexpr (std::is_same_v<Member, bool Spec::*>) {
            spec.*member = readBool(json, path, findings).value_or(spec.*member);
        } else if constexpr (std::is_same_v<Member, std::string Spec::*>) {
            spec.*member = readString(json, path, findings).value_or(spec.*member);
        } else if (const auto number = readNumber(json, path, field.min, field.max, findings, field.rangePolicy)) {
            if constexpr (std::is_same_v<Member, Duration Spec::*>) {
                spec.*member = std::chrono::milliseconds(*number);
            } else if constexpr (std::is_same_v<Member, std::uint32_t Spec::*>) {
                spec.*member = static_cast<std::uint32_t>(*number);
            } else {
                spec.*member = *number;
            }
        }
    };
    std::visit(readMember, field.member);
}

/// Reads a struct from the JSON object @a json; keys that aren't in @a fields are reported as unknown.
template<typename Spec, std::size_t kSize>
Spec readFields(const Json &json, const std::string &path, const std::array<Field<Spec>, kSize> &fields, ObjectFindings &findings)
{
    Spec spec;
    if (!json.is_object()) {
        findings.addFault(path, "must be an object");
        return spec;
    }
    for (const auto &it : json.items()) {
        const auto field = std::find_if(fields.begin(), fields.end(), [&it](const auto &row) { return row.key == it.key(); });
        const auto memberPath = path + "." + it.key();
        if (field == fields.end()) {
            findings.unknownKeys.push_back({memberPath, "isn't a known field"});
            continue;
        }
        readField(it.value(), memberPath, *field, spec, findings);
    }
    return spec;
}

/// Reads and validates the spec of an object of @a kind.
ObjectSpec readSpec(ObjectKind kind, const Json &json, ObjectFindings &findings);

} // namespace chicoryspar
