#pragma once

/// @file
/// Commands of chicorysparctl, their context and their exit codes.

#include <chicoryspar/store.h>

#include <iosfwd>

namespace chicoryspar::ctl {

/// Exit codes of chicorysparctl.
enum class ExitCode : std::uint8_t {
    Ok,
    /// The command line is invalid.
    Usage,
    /// Validation of an object failed; nothing was written.
    Findings,
    /// The object was changed by someone else since it was read; this object was not written.
    Conflict,
    NotFound,
    /// The store or the node couldn't be reached or refused the request; nothing was written.
    Failed,
    /// Some objects were written and others were not; the output lists both.
    Partial,
    /// The change is stored, but not yet in force on every node.
    NotEverywhere,
    /// The response to a write was lost, and reading the object back failed too.
    Unknown,
    Count,
};

struct ExitCodeRow
{
    std::string_view text;
};

const ExitCodeRow &rowOf(ExitCode value);

enum class OutputFormat : std::uint8_t {
    Table,
    Json,
    Count,
};

std::optional<OutputFormat> findOutputFormat(std::string_view name);

/// Response from the operators' port of a node.
struct NodeAnswer
{
    /// HTTP status; 0 when the node couldn't be reached, with the cause in body.
    int status = 0;
    std::string body;
};

/// HTTP client of the operators' port of a node.
class NodeClient
{
public:
    virtual ~NodeClient() = default;
    /// @param path path and query string
    virtual NodeAnswer get(const std::string &path) = 0;
    virtual NodeAnswer post(const std::string &path) = 0;
};

/// Creates an HTTP client for the node at @a address, "host:port".
std::unique_ptr<NodeClient> createNodeClient(const std::string &address);

/// Percent-encodes a value of a query string.
std::string encodeQuery(const std::string &value);

struct CtlOptions
{
    OutputFormat format = OutputFormat::Table;
    /// Who makes the change and why; stored with each change.
    std::string changedBy;
    std::string reason;
    /// Prints what would change and writes nothing.
    bool isDryRun = false;
    /// Prints the fields that differ from the stored object.
    bool showsDiff = false;
    /// Waits until the change is in force on every node.
    bool waitsUntilInForce = false;
    Duration waitTimeout = std::chrono::seconds(30);
    /// Accepts fields that are unknown to this version.
    bool allowsUnknownKeys = false;
    /// Customer whose key a request to be explained carries; empty for none.
    std::string keyOf;
    /// Whether the error stream is a terminal that can show a progress line.
    bool isTerminal = false;
};

/// Options, clients and streams that are passed to each command.
struct CtlContext
{
    CtlOptions options;
    /// Null when no platform address was given.
    ObjectStore *store = nullptr;
    /// Null when no node address was given.
    NodeClient *node = nullptr;
    std::ostream &out;
    std::ostream &err;
    WallTime now;
    Random &random;
    WriteOptions writeOptions;
    std::function<void(Duration)> sleep;
};

/// A stored change that waitInForce() waits for.
struct AwaitedChange
{
    ObjectKind kind = ObjectKind::Count;
    std::string name;
    std::uint64_t version = 0;
    /// 0 for a deletion.
    std::uint64_t contentHash = 0;
};

// Commands; each prints to the streams of the context and returns the exit code of the program.
ExitCode getObjects(CtlContext &context, const std::vector<std::string> &arguments);
ExitCode describeObject(CtlContext &context, const std::vector<std::string> &arguments);
/// Creates or updates the objects in @a text: a JSON object, a list, or several objects one after another.
ExitCode applyText(CtlContext &context, const std::string &text);
ExitCode editObject(CtlContext &context, const std::vector<std::string> &arguments);
ExitCode deleteObject(CtlContext &context, const std::vector<std::string> &arguments);
ExitCode showStatus(CtlContext &context, const std::vector<std::string> &arguments);
ExitCode showMembers(CtlContext &context, const std::vector<std::string> &arguments);
ExitCode showHistory(CtlContext &context, const std::vector<std::string> &arguments);
ExitCode showInForce(CtlContext &context, const std::vector<std::string> &arguments);
ExitCode explainCall(CtlContext &context, const std::vector<std::string> &arguments);
ExitCode drainNode(CtlContext &context, const std::vector<std::string> &arguments);
ExitCode undrainNode(CtlContext &context, const std::vector<std::string> &arguments);

/// Waits until each change is in force on every node, and prints the progress.
/// @returns NotEverywhere when options.waitTimeout passes first or no node address was given
ExitCode waitInForce(CtlContext &context, const std::vector<AwaitedChange> &changes);

/// Returns the exit code for the result of a store call.
ExitCode exitCodeOf(std::error_code ec);

/// Prints rows in aligned columns; the first row is the heading.
void printTable(std::ostream &out, const std::vector<std::vector<std::string>> &rows);

/// One command of the client.
struct Command
{
    std::string_view name;
    std::string_view usage;
    ExitCode (*run)(CtlContext &context, const std::vector<std::string> &arguments);
    bool needsStore;
    bool needsNode;
};

/// Returns all commands except apply, whose input is a file.
std::span<const Command> commands();

} // namespace chicoryspar::ctl
