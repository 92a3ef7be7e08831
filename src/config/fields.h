#pragma once

/// @file
/// Reads the members of a struct from a JSON object by a table of fields, and collects findings.

#include <chicoryspar/config.h>

#include <nlohmann/json.hpp>

namespace chicoryspar {

using Json = nlohmann::json;

/// Findings of one object, by weight.
struct ObjectFindings
{
    std::vector<Finding> faults;
    std::vector<Finding> unknownKeys;

    void addFault(std::string path, std::string text)
    {
        faults.push_back({std::move(path), std::move(text)});
    }
};

/// One field of the struct @a Spec: its key in JSON, the member, and the range of numbers.
template<typename Spec>
struct Field
{
    /// Reads a field that is more than one number or text.
    using ReadFunction = void (*)(const Json &json, const std::string &path, Spec &spec, ObjectFindings &findings);
    using Member =
        std::variant<bool Spec::*, std::string Spec::*, std::uint32_t Spec::*, std::uint64_t Spec::*, Duration Spec::*, ReadFunction>;

    std::string_view key;
    Member member;
    /// Range of a number; milliseconds for a duration.
    std::uint64_t min = 0;
    std::uint64_t max = 0;
};

/// Reads a whole number in [min, max].
std::optional<std::uint64_t> readNumber(const Json &json, const std::string &path, std::uint64_t min, std::uint64_t max,
                                        ObjectFindings &findings);

/// Reads a text.
std::optional<std::string> readString(const Json &json, const std::string &path, ObjectFindings &findings);

/// Reads true or false.
std::optional<bool> readBool(const Json &json, const std::string &path, ObjectFindings &findings);

/// Reads a list of texts.
std::vector<std::string> readStrings(const Json &json, const std::string &path, ObjectFindings &findings);

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
        } else if (const auto number = readNumber(json, path, field.min, field.max, findings)) {
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

/// Reads every known field of the JSON object @a json; keys without a row become findings.
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

/// Reads and checks the spec of an object of @a kind.
ObjectSpec readSpec(ObjectKind kind, const Json &json, ObjectFindings &findings);

} // namespace chicoryspar
