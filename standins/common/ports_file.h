#pragma once

/// @file
/// File through which a program reports its listening ports to a script.

#include <cstdint>
#include <string>
#include <vector>

namespace chicoryspar::standin {

/// A listening port and its name.
struct NamedPort
{
    std::string name;
    std::uint16_t port = 0;
};

/// Writes a "name=port" line per port and renames the file into place, so that readers never see a part. No-op if @a path is empty.
void writePortsFile(const std::string &path, const std::vector<NamedPort> &ports);

} // namespace chicoryspar::standin
