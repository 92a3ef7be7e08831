#include "standins/common/ports_file.h"

#include <cstdio>
#include <fstream>

namespace chicoryspar::standin {

void writePortsFile(const std::string &path, const std::vector<NamedPort> &ports)
{
    if (path.empty()) {
        return;
    }
    const auto temporaryPath = path + ".new";
    {
        std::ofstream file(temporaryPath);
        for (const auto &it : ports) {
            file << it.name << "=" << it.port << "\n";
        }
    }
    std::rename(temporaryPath.c_str(), path.c_str());
}

} // namespace chicoryspar::standin
