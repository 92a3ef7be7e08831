/// @file
/// Conversion of members to and from JSON.

#include <chicoryspar/membership.h>

#include <charconv>

#include <nlohmann/json.hpp>

namespace chicoryspar {
namespace {

using Json = nlohmann::json;

/// String fields of a record, by their names in JSON.
constexpr std::array<std::pair<const char *, std::string MemberInfo::*>, 6> kStringFields{{
    {"name", &MemberInfo::name},
    {"region", &MemberInfo::region},
    {"zone", &MemberInfo::zone},
    {"address", &MemberInfo::address},
    {"operators", &MemberInfo::operators},
    {"service", &MemberInfo::service},
}};

std::string toHex(std::uint64_t value)
{
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16).ptr;
    return {digits.data(), end};
}

std::uint64_t fromHex(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return value;
}

Json toJson(const Member &member, TimePoint now)
{
    const auto &info = member.info;
    Json value{{"state", rowOf(member.state).name},
               {"readiness", rowOf(info.readiness).name},
               {"slots", info.slots},
               {"boot", info.boot},
               {"incarnation", info.incarnation},
               {"version", info.version},
               {"configDigest", toHex(member.configDigest)},
               {"forMs", toMilliseconds(now - member.since)}};
    for (const auto &[name, field] : kStringFields) {
        value[name] = info.*field;
    }
    return value;
}

std::uint64_t unsignedOf(const Json &value, const char *name)
{
    const auto it = value.find(name);
    return it != value.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

std::string stringOf(const Json &value, const char *name)
{
    const auto it = value.find(name);
    return it != value.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::optional<Member> parseMember(const Json &value, TimePoint now)
{
    const auto state = findMemberState(stringOf(value, "state"));
    const auto readiness = findBackendReadiness(stringOf(value, "readiness"));
    if (!state || !readiness || stringOf(value, "name").empty()) {
        return std::nullopt;
    }
    Member member{.state = *state, .since = now - std::chrono::milliseconds(unsignedOf(value, "forMs"))};
    member.configDigest = fromHex(stringOf(value, "configDigest"));
    auto &info = member.info;
    for (const auto &[name, field] : kStringFields) {
        info.*field = stringOf(value, name);
    }
    info.id = makeNodeId(info.name);
    info.readiness = *readiness;
    info.slots = static_cast<std::uint32_t>(unsignedOf(value, "slots"));
    info.boot = unsignedOf(value, "boot");
    info.incarnation = unsignedOf(value, "incarnation");
    info.version = unsignedOf(value, "version");
    return member;
}

} // namespace

std::string formatMembers(const std::vector<const Member *> &members, TimePoint now)
{
    Json value{{"members", Json::array()}};
    for (const auto *it : members) {
        value["members"].push_back(toJson(*it, now));
    }
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<std::vector<Member>> parseMembers(std::string_view text, TimePoint now, std::vector<Finding> &findings)
{
    const auto value = Json::parse(text, nullptr, false);
    const auto list = value.is_object() ? value.find("members") : value.end();
    if (!value.is_object() || list == value.end() || !list->is_array()) {
        findings.push_back({"members", "the body isn't a JSON object with an array of members"});
        return std::nullopt;
    }
    std::vector<Member> members;
    for (std::size_t n = 0; n < list->size(); ++n) {
        const auto &it = (*list)[n];
        auto member = it.is_object() ? parseMember(it, now) : std::nullopt;
        if (!member) {
            findings.push_back({"members[" + std::to_string(n) + "]", "isn't an object with a name, a known state and a known readiness"});
            continue;
        }
        members.push_back(std::move(*member));
    }
    return findings.empty() ? std::optional(std::move(members)) : std::nullopt;
}

} // namespace chicoryspar
