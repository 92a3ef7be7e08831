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

ABSL_FLAG(std::string, settings, "", "Path of the settings file, in INI format.");
ABSL_FLAG(bool, check_settings, false, "Validate the settings file, print every finding and exit.");

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
        chicoryspar::writeLog(chicoryspar::LogLevel::Error, "node failed to start", {{"error", ec.message()}});
        status = kExitFailure;
    } else {
        node.run();
    }
    // A normal exit joins the threads of the HTTP and log libraries, which can take as long as an open watch. All log lines are
    // written at this point, so nothing is lost.
    std::_Exit(status);
}

} // namespace

int main(int argc, char **argv)
{
    chicoryspar::describeProgram("chicoryspard", CHICORYSPAR_VERSION);
    absl::SetProgramUsageMessage("Node of the overload control layer; runs beside one backend server.\n"
                                 "  chicoryspard --settings=node.ini\n"
                                 "  chicoryspard --settings=node.ini --check_settings\n"
                                 "Exit codes: 0 planned stop, 1 the node failed to start, 2 invalid settings.");
    absl::ParseCommandLine(argc, argv);
    const auto path = absl::GetFlag(FLAGS_settings);
    if (path.empty()) {
        std::cerr << "--settings: is missing; expected the path of the settings file\n";
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
