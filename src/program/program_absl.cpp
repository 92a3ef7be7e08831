/// @file
/// Version and help output, implemented with Abseil flags.

#include "program/program.h"

#include <string>

#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>

namespace chicoryspar {
namespace {

/// Returns whether a flag defined in the source file @a file belongs to a program of this project, not to a library.
bool isOwnFlag(absl::string_view file)
{
    return absl::StrContains(file, "tools/") || absl::StrContains(file, "standins/");
}

} // namespace

void describeProgram(const char *name, const char *version)
{
    absl::FlagsUsageConfig config;
    config.contains_helpshort_flags = isOwnFlag;
    config.contains_help_flags = isOwnFlag;
    config.version_string = [text = std::string(name) + " " + version + "\n"] { return text; };
    absl::SetFlagsUsageConfig(config);
}

} // namespace chicoryspar
