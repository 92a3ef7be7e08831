/// @file
/// Operators' client: reads and changes objects in the store, queries nodes, and waits until a change is in force on every node.

#include "ctl/ctl.h"
#include "program/program.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

#include <unistd.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::string, platform, "", "host:port of the platform's object API; default: $CHICORYSPAR_PLATFORM");
ABSL_FLAG(std::string, node, "", "host:port of a node's operators' port; default: $CHICORYSPAR_NODE");
ABSL_FLAG(std::string, operator, "", "who makes the change; default: $USER");
ABSL_FLAG(std::string, reason, "", "why the change is made; required for changes");
ABSL_FLAG(std::string, f, "", "file to apply; - for standard input");
ABSL_FLAG(std::string, o, "table", "output format: table or json");
ABSL_FLAG(std::vector<std::string>, set, {}, "edit: FIELD=VALUE, comma-separated; also accepted as arguments after NAME");
ABSL_FLAG(bool, dry_run, false, "print what would change and write nothing");
ABSL_FLAG(bool, diff, false, "print the fields that change");
ABSL_FLAG(bool, wait, false, "wait until the change is in force on every node");
ABSL_FLAG(std::uint32_t, timeout_s, 30, "timeout of --wait, in seconds");
ABSL_FLAG(std::string, key_of, "", "explain where: name of the customer whose key the request carries");
ABSL_FLAG(bool, allow_unknown, false, "accept fields that are unknown to this version");

namespace {

using namespace chicoryspar;
using ctl::ExitCode;

std::string valueOrEnvironment(const std::string &value, const char *variable)
{
    const char *fallback = std::getenv(variable);
    return value.empty() && fallback ? std::string(fallback) : value;
}

std::string usageText()
{
    std::string text = "Reads and changes chicoryspar objects and queries nodes.\n\nCommands:\n  apply -f FILE\n";
    for (const auto &it : ctl::commands()) {
        text += "  " + std::string(it.usage) + "\n";
    }
    text += "\nExit codes:\n";
    for (std::size_t n = 0; n < static_cast<std::size_t>(ExitCode::Count); ++n) {
        text += "  " + std::to_string(n) + "  " + std::string(ctl::rowOf(static_cast<ExitCode>(n)).text) + "\n";
    }
    return text;
}

ExitCode reportUsageError(const std::string &text)
{
    std::cerr << "chicorysparctl: " << text << "; --help lists the commands\n";
    return ExitCode::Usage;
}

std::optional<std::string> readFile(const std::string &path)
{
    if (path == "-") {
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    }
    std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

bool isChange(const std::string &name)
{
    constexpr std::array<std::string_view, 5> kChanges{"apply", "edit", "delete", "drain", "undrain"};
    return std::find(kChanges.begin(), kChanges.end(), name) != kChanges.end();
}

ExitCode runApply(ctl::CtlContext &context)
{
    const auto path = absl::GetFlag(FLAGS_f);
    const auto text = path.empty() ? std::nullopt : readFile(path);
    if (!text) {
        return reportUsageError(path.empty() ? "apply requires -f FILE" : "can't read " + path);
    }
    return ctl::applyText(context, *text);
}

ExitCode runCommand(ctl::CtlContext &context, const std::string &name, std::vector<std::string> arguments)
{
    const bool isApply = name == "apply";
    const auto list = ctl::commands();
    const auto it = std::find_if(list.begin(), list.end(), [&name](const ctl::Command &command) { return command.name == name; });
    if (!isApply && it == list.end()) {
        return reportUsageError("unknown command " + name);
    }
    if ((isApply || it->needsStore) && !context.store) {
        return reportUsageError(name + " requires --platform or $CHICORYSPAR_PLATFORM");
    }
    if (!isApply && it->needsNode && !context.node) {
        return reportUsageError(name + " requires --node or $CHICORYSPAR_NODE");
    }
    if (isChange(name) && !context.options.isDryRun && (context.options.changedBy.empty() || context.options.reason.empty())) {
        return reportUsageError(name + " requires --operator and --reason, which are stored with the change");
    }
    if (isApply) {
        return runApply(context);
    }
    const auto fields = absl::GetFlag(FLAGS_set);
    arguments.insert(arguments.end(), fields.begin(), fields.end());
    return it->run(context, arguments);
}

WallTime wallNow()
{
    return WallTime(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(usageText());
    chicoryspar::describeProgram("chicorysparctl", CHICORYSPAR_VERSION);
    const auto words = absl::ParseCommandLine(argc, argv);
    if (words.size() < 2) {
        return static_cast<int>(reportUsageError("expected a command"));
    }
    const auto format = ctl::findOutputFormat(absl::GetFlag(FLAGS_o));
    if (!format) {
        return static_cast<int>(reportUsageError("-o: expected table or json"));
    }
    const auto platform = valueOrEnvironment(absl::GetFlag(FLAGS_platform), "CHICORYSPAR_PLATFORM");
    const auto node = valueOrEnvironment(absl::GetFlag(FLAGS_node), "CHICORYSPAR_NODE");
    const auto store = platform.empty() ? nullptr : createStoreClient({.address = platform});
    const auto nodeClient = node.empty() ? nullptr : ctl::createNodeClient(node);
    Random random(static_cast<std::uint64_t>(wallNow().time_since_epoch().count()) ^ (static_cast<std::uint64_t>(getpid()) << 32));
    ctl::CtlContext context{.options = {.format = *format,
                                        .changedBy = valueOrEnvironment(absl::GetFlag(FLAGS_operator), "USER"),
                                        .reason = absl::GetFlag(FLAGS_reason),
                                        .isDryRun = absl::GetFlag(FLAGS_dry_run),
                                        .showsDiff = absl::GetFlag(FLAGS_diff),
                                        .waitsUntilInForce = absl::GetFlag(FLAGS_wait),
                                        .waitTimeout = std::chrono::seconds(absl::GetFlag(FLAGS_timeout_s)),
                                        .allowsUnknownKeys = absl::GetFlag(FLAGS_allow_unknown),
                                        .keyOf = absl::GetFlag(FLAGS_key_of),
                                        .isTerminal = isatty(STDERR_FILENO) == 1},
                            .store = store.get(),
                            .node = nodeClient.get(),
                            .out = std::cout,
                            .err = std::cerr,
                            .now = wallNow(),
                            .random = random,
                            .sleep = [](Duration duration) { std::this_thread::sleep_for(duration); }};
    const std::vector<std::string> arguments(words.begin() + 2, words.end());
    return static_cast<int>(runCommand(context, words[1], arguments));
}
