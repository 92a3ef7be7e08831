/// @file
/// Stand-in backend server for tests and the demo: announces itself to a node, runs requests in slots and injects faults.

#include "program/program.h"
#include "standins/backend/announcer.h"
#include "standins/backend/worker.h"
#include "standins/common/ports_file.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <unistd.h>

ABSL_FLAG(std::string, service, "", "service name; required");
ABSL_FLAG(std::string, node, "", "address of the node's port for backend servers, such as 127.0.0.1:9000; empty for no announcements");
ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address and port to listen on; port 0 selects a free one");
ABSL_FLAG(std::string, ports_file, "", "file to which the listening port is written, as http=PORT");
ABSL_FLAG(unsigned, slots, 36, "maximum number of requests that run concurrently");
ABSL_FLAG(unsigned, queue, 64, "maximum number of requests that wait for a slot; further ones are shed");
ABSL_FLAG(unsigned, connections, 300, "maximum number of open connections");
ABSL_FLAG(double, service_time_ms, 10, "mean service time of a request, in milliseconds");
ABSL_FLAG(std::string, distribution, "fixed", "distribution of service times: fixed, exponential or uniform");
ABSL_FLAG(unsigned, cold_start_ms, 0, "duration of the slow phase after the start, in milliseconds");
ABSL_FLAG(double, cold_factor, 8, "factor on the service time at the start of the slow phase; falls linearly to 1");
ABSL_FLAG(std::string, children, "", "child calls made through the node for each request, such as treasury:/ledger,catalogue:/titles");
ABSL_FLAG(unsigned, answer_bytes, 0, "padding in each answer, in bytes");
ABSL_FLAG(unsigned, endpoint_lag_ms, 0, "delay with which /health and /load report the state, in milliseconds");
ABSL_FLAG(unsigned, drain_ms, 2500, "minimum time from SIGTERM to the exit of the process, in milliseconds");
ABSL_FLAG(std::string, execution_log, "", "log file with one JSON line per accepted, started and ended request");
ABSL_FLAG(std::string, faults, "{}", "initial faults, as a JSON object; POST /standin/faults changes them");
ABSL_FLAG(std::uint64_t, seed, 1, "random seed for service times and faults");

namespace chicoryspar::standin {

namespace {

namespace asio = boost::asio;

constexpr auto kDrainPollInterval = std::chrono::milliseconds(20);

/// Returns the options from the command line and appends invalid ones to @a findings.
BackendInit readInit(std::vector<Finding> &findings)
{
    BackendInit init{.service = absl::GetFlag(FLAGS_service),
                     .nodeAddress = absl::GetFlag(FLAGS_node),
                     .listenAddress = absl::GetFlag(FLAGS_listen),
                     .slots = absl::GetFlag(FLAGS_slots),
                     .queueLength = absl::GetFlag(FLAGS_queue),
                     .connections = absl::GetFlag(FLAGS_connections),
                     .serviceTime = Duration(static_cast<std::int64_t>(absl::GetFlag(FLAGS_service_time_ms) * 1000)),
                     .coldStart = std::chrono::milliseconds(absl::GetFlag(FLAGS_cold_start_ms)),
                     .coldFactor = absl::GetFlag(FLAGS_cold_factor),
                     .answerBytes = absl::GetFlag(FLAGS_answer_bytes),
                     .endpointLag = std::chrono::milliseconds(absl::GetFlag(FLAGS_endpoint_lag_ms)),
                     .drainTime = std::chrono::milliseconds(absl::GetFlag(FLAGS_drain_ms)),
                     .executionLog = absl::GetFlag(FLAGS_execution_log),
                     .seed = absl::GetFlag(FLAGS_seed)};
    if (init.service.empty()) {
        findings.push_back({"--service", "is missing"});
    }
    if (const auto distribution = findServiceTimeDistribution(absl::GetFlag(FLAGS_distribution))) {
        init.distribution = *distribution;
    } else {
        findings.push_back({"--distribution", "expected fixed, exponential or uniform"});
    }
    if (const auto children = parseChildren(absl::GetFlag(FLAGS_children))) {
        init.children = *children;
    } else {
        findings.push_back({"--children", "expected a comma-separated list of service:/path"});
    }
    return init;
}

/// Stops @a io once the drain time has passed and no request is queued or running.
void pollDrain(asio::io_context &io, asio::steady_timer &timer, const Worker &worker, std::chrono::steady_clock::time_point earliest)
{
    if (worker.isIdle() && std::chrono::steady_clock::now() >= earliest) {
        io.stop();
        return;
    }
    timer.expires_after(kDrainPollInterval);
    timer.async_wait([&io, &timer, &worker, earliest](const boost::system::error_code &) { pollDrain(io, timer, worker, earliest); });
}

int serve(const BackendInit &init)
{
    asio::io_context io(1);
    Random random(init.seed ^ (static_cast<std::uint64_t>(::getpid()) << 32U));
    const auto wall = std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
    const auto instance = toString(makeRequestId(WallTime(wall), random));
    Worker worker(io, init, instance);
    const auto findings = worker.setFaults(absl::GetFlag(FLAGS_faults));
    if (!findings.empty()) {
        std::cerr << toString(findings);
        return 2;
    }
    HttpServer server(io, init.listenAddress, init.connections, [&worker](const ServerExchangePtr &it) { worker.handle(it); });
    writePortsFile(absl::GetFlag(FLAGS_ports_file), {{"http", server.port()}});
    const auto host = init.listenAddress.substr(0, init.listenAddress.rfind(':'));
    Announcer announcer(io, init, instance, host + ":" + std::to_string(server.port()));
    announcer.start();
    asio::steady_timer drainTimer(io);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &ec, int) {
        if (!ec) {
            worker.beginDrain();
            announcer.beginDrain();
            pollDrain(io, drainTimer, worker, std::chrono::steady_clock::now() + init.drainTime);
        }
    });
    io.run();
    return 0;
}

} // namespace

} // namespace chicoryspar::standin

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Stand-in backend server: announces itself to the node on its host and runs requests in slots.");
    chicoryspar::describeProgram("standin-backend", CHICORYSPAR_VERSION);
    absl::ParseCommandLine(argc, argv);
    std::vector<chicoryspar::Finding> findings;
    const auto init = chicoryspar::standin::readInit(findings);
    if (!findings.empty()) {
        std::cerr << chicoryspar::toString(findings);
        return 2;
    }
    try {
        return chicoryspar::standin::serve(init);
    } catch (const std::exception &ec) {
        std::cerr << "standin-backend: " << ec.what() << "\n";
        return 1;
    }
}
