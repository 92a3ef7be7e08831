/// @file
/// Stand-in of the network between two processes: relays TCP and UDP, with faults that can be changed at run time.

#include "program/program.h"
#include "standins/common/http_server.h"
#include "standins/common/ports_file.h"
#include "standins/relay/relay.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address and port to listen on, TCP and UDP; port 0 selects a free one");
ABSL_FLAG(std::string, target, "", "address and port of the target; required");
ABSL_FLAG(std::string, control, "127.0.0.1:0",
          "address and port of the HTTP control interface: GET or POST /relay {\"mode\", \"stallAfter\", \"delayMs\"}");
ABSL_FLAG(std::string, ports_file, "", "file to which the listening ports are written, as relay=PORT and control=PORT");

namespace chicoryspar::standin {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxControlConnections = 16;

ExchangeResponse makeJsonResponse(int status, const Json &body)
{
    return {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

std::optional<RelayCommand> parseCommand(const std::string &text)
{
    const auto body = Json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("mode") || !body["mode"].is_string()) {
        return std::nullopt;
    }
    const auto mode = findRelayMode(body["mode"].get<std::string>());
    if (!mode) {
        return std::nullopt;
    }
    return RelayCommand{.mode = *mode,
                        .stallAfter = body.value("stallAfter", std::size_t{0}),
                        .delay = std::chrono::milliseconds(body.value("delayMs", 0U))};
}

Json describe(const Relay &relay)
{
    const auto counts = relay.counts();
    return {{"mode", nameOf(relay.command().mode)},  {"connections", counts.connections},         {"open", counts.open},
            {"bytesToTarget", counts.bytesToTarget}, {"bytesFromTarget", counts.bytesFromTarget}, {"datagrams", counts.datagrams}};
}

void handleControl(Relay &relay, const ServerExchangePtr &exchange)
{
    if (exchange->request().method == "POST") {
        const auto command = parseCommand(exchange->request().body);
        if (!command) {
            exchange->answer(makeJsonResponse(400, {{"error", "expected a JSON object with a known mode"}}));
            return;
        }
        relay.setCommand(*command);
    }
    exchange->answer(makeJsonResponse(200, describe(relay)));
}

int serve()
{
    boost::asio::io_context io(1);
    Relay relay(io, absl::GetFlag(FLAGS_listen), absl::GetFlag(FLAGS_target));
    HttpServer control(io, absl::GetFlag(FLAGS_control), kMaxControlConnections,
                       [&relay](const ServerExchangePtr &it) { handleControl(relay, it); });
    writePortsFile(absl::GetFlag(FLAGS_ports_file), {{"relay", relay.port()}, {"control", control.port()}});
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const boost::system::error_code &, int) { io.stop(); });
    io.run();
    return 0;
}

} // namespace

} // namespace chicoryspar::standin

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Relays TCP connections and UDP datagrams to one target and injects network faults.");
    chicoryspar::describeProgram("standin-relay", CHICORYSPAR_VERSION);
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_target).empty()) {
        std::cerr << "--target: is missing; expected host:port\n";
        return 2;
    }
    try {
        return chicoryspar::standin::serve();
    } catch (const std::exception &ec) {
        std::cerr << "standin-relay: " << ec.what() << "\n";
        return 1;
    }
}
