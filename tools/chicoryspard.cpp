/// @file
/// The node program.

#include <chicoryspar/node.h>

#include "node/log.h"
#include "platform/platform.h"
#include "program/program.h"

#include <cstdlib>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, settings, "", "Settings file in INI form.");
ABSL_FLAG(bool, check_settings, false, "Check the settings file, print every finding and end.");

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitBadSettings = 2;

[[noreturn]] void runNode(const chicoryspar::NodeSettings &settings, const chicoryspar::Dialects &dialects)
{
    chicoryspar::beginLogging(settings.logLevel, settings.logFile, settings.name);
    int status = 0;
    chicoryspar::Node node(settings, dialects);
    const auto ec = node.start();
    if (ec) {
        chicoryspar::writeLog(chicoryspar::LogLevel::Error, "the node can't start", {{"error", ec.message()}});
        status = kExitFailure;
    } else {
        node.run();
    }
    // The libraries of HTTP and logs join their threads first, which may take as long as a watch; every line is written by now.
    std::_Exit(status);
}

} // namespace

int main(int argc, char **argv)
{
    chicoryspar::describeProgram("chicoryspard", CHICORYSPAR_VERSION);
    absl::SetProgramUsageMessage("Node of the overload control layer: stands beside one backend server.\n"
                                 "  chicoryspard --settings=node.ini\n"
                                 "  chicoryspard --settings=node.ini --check_settings\n"
                                 "Exit codes: 0 planned stop, 1 the node can't start, 2 faults in the settings.");
    absl::ParseCommandLine(argc, argv);
    const auto path = absl::GetFlag(FLAGS_settings);
    if (path.empty()) {
        std::cerr << "--settings is needed\n";
        return kExitBadSettings;
    }
    auto loaded = chicoryspar::loadNodeSettings(path);
    const auto dialects = chicoryspar::findDialects(loaded.settings.platformDialect);
    if (!dialects) {
        loaded.findings.push_back({path + " [platform] dialect", "'" + loaded.settings.platformDialect + "' is unknown"});
    }
    if (!loaded.findings.empty()) {
        std::cerr << toString(loaded.findings);
        return kExitBadSettings;
    }
    if (absl::GetFlag(FLAGS_check_settings)) {
        std::cout << path << ": no findings\n";
        return 0;
    }
    runNode(loaded.settings, *dialects);
}
