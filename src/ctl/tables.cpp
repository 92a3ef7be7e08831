/// @file
/// Tables of exit codes, output formats and commands, and printing of aligned columns.

#include "ctl/ctl.h"

#include <algorithm>
#include <ostream>

namespace chicoryspar::ctl {
namespace {

constexpr std::array<ExitCodeRow, static_cast<std::size_t>(ExitCode::Count)> kExitCodes{{
    {"done"},
    {"the command line is invalid"},
    {"validation of an object failed; nothing was written"},
    {"the object was changed by someone else since it was read; it was not written"},
    {"the object doesn't exist"},
    {"the store or the node couldn't be reached or refused the request; nothing was written"},
    {"some objects were written and others were not; the output lists both"},
    {"the change is stored, but not yet in force on every node"},
    {"the response to a write was lost and the object couldn't be read back; it may have been written"},
}};

constexpr std::array<std::string_view, static_cast<std::size_t>(OutputFormat::Count)> kFormats{"table", "json"};

constexpr std::array<Command, 12> kCommands{{
    {"get", "get KIND [NAME]", &getObjects, true, false},
    {"list", "list KIND", &getObjects, true, false},
    {"describe", "describe KIND NAME", &describeObject, true, false},
    {"edit", "edit KIND NAME spec.FIELD=VALUE...", &editObject, true, false},
    {"delete", "delete KIND NAME", &deleteObject, true, false},
    {"status", "status", &showStatus, false, true},
    {"members", "members", &showMembers, false, true},
    {"history", "history", &showHistory, false, true},
    {"inforce", "inforce KIND NAME VERSION", &showInForce, false, true},
    {"explain", "explain SERVICE METHOD PATH [CALLER] | explain where METHOD HOST PATH [--key_of=CUSTOMER]", &explainCall, false, true},
    {"drain", "drain", &drainNode, false, true},
    {"undrain", "undrain", &undrainNode, false, true},
}};

} // namespace

const ExitCodeRow &rowOf(ExitCode value)
{
    return kExitCodes.at(static_cast<std::size_t>(value));
}

std::optional<OutputFormat> findOutputFormat(std::string_view name)
{
    const auto it = std::find(kFormats.begin(), kFormats.end(), name);
    return it == kFormats.end() ? std::nullopt : std::optional(static_cast<OutputFormat>(it - kFormats.begin()));
}

std::span<const Command> commands()
{
    return kCommands;
}

ExitCode exitCodeOf(std::error_code ec)
{
    if (!ec) {
        return ExitCode::Ok;
    }
    if (ec == StoreError::NotFound) {
        return ExitCode::NotFound;
    }
    if (ec == StoreError::Conflict || ec == StoreError::AlreadyExists) {
        return ExitCode::Conflict;
    }
    return ExitCode::Failed;
}

void printTable(std::ostream &out, const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t n = 0; n < row.size(); ++n) {
            widths[n] = std::max(widths[n], row[n].size());
        }
    }
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t n = 0; n < row.size(); ++n) {
            line += row[n] + (n + 1 < row.size() ? std::string(widths[n] - row[n].size() + 2, ' ') : std::string());
        }
        out << line << "\n";
    }
}

} // namespace chicoryspar::ctl
