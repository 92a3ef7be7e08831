/// @file
/// Stand-in of the platform's object API for tests and the demo; keeps all objects in memory.

#include "program/program.h"
#include "standins/platform/platform_server.h"

#include <csignal>
#include <fstream>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, address, "127.0.0.1", "address to listen on");
ABSL_FLAG(std::uint16_t, port, 0, "port to listen on; 0 selects a free one");
ABSL_FLAG(std::string, ports_file, "", "file to which the listening port is written, as http=PORT");
ABSL_FLAG(std::uint64_t, seed, 1, "random seed for the fault errorShare");

namespace {

void waitForStopSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    int number = 0;
    sigwait(&signals, &number);
}

void blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Stand-in of the platform's object API.\n"
                                 "  GET  /standin/calls    number of calls by kind\n"
                                 "  POST /standin/faults   {down, silent, slowMs, answerLost, errorShare, staleListVersions,\n"
                                 "                          duplicateWatchEvents, reorderWatchEvents}; replaces all faults\n"
                                 "  POST /standin/compact  clears the event log, so that watches from earlier versions get 410");
    chicoryspar::describeProgram("standin-platform", CHICORYSPAR_VERSION);
    absl::ParseCommandLine(argc, argv);
    blockStopSignals();
    chicoryspar::standin::PlatformServer server(
        {.address = absl::GetFlag(FLAGS_address), .port = absl::GetFlag(FLAGS_port), .seed = absl::GetFlag(FLAGS_seed)});
    try {
        server.open();
    } catch (const std::exception &error) {
        std::cerr << "standin-platform: failed to listen: " << error.what() << "\n";
        return 1;
    }
    if (!absl::GetFlag(FLAGS_ports_file).empty()) {
        std::ofstream(absl::GetFlag(FLAGS_ports_file)) << "http=" << server.port() << "\n";
    }
    std::cout << "standin-platform: listening on port " << server.port() << "\n" << std::flush;
    waitForStopSignal();
    return 0;
}
