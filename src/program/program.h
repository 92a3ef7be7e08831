#pragma once

/// @file
/// Version and help output that all programs share.

namespace chicoryspar {

/// Sets up --version to print @a name and @a version, and --help to list only the flags of the program.
/// Must be called before the flags are parsed.
void describeProgram(const char *name, const char *version);

} // namespace chicoryspar
