#pragma once

/// @file
/// Commands of the operators' client: what they share.

#include <chicoryspar/store.h>

#include <iosfwd>

namespace chicoryspar::ctl {

/// Exit codes of chicorysparctl.
enum class ExitCode : std::uint8_t {
    Ok,
    /// The command line isn't valid.
    Usage,
    /// An object has findings; nothing was written.
    Findings,
    /// Someone else changed the object; nothing of it was written.
    Conflict,
    NotFound,
    /// The store or the node can't be reached or refused the call; nothing was written.
    Failed,
    /// Some objects took hold and others didn't; the output says which.
    Partial,
    /// The change took hold, but isn't in force everywhere yet.
    NotEverywhere,
    /// The answer to a write was lost and couldn't be read back.
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

/// Answer of a node's operators' port.
struct NodeAnswer
{
    /// HTTP status; 0 when the node can't be reached.
    int status = 0;
    std::string body;
};

/// Calls the operators' port of a node.
class NodeClient
{
public:
    virtual ~NodeClient() = default;
    /// @param path with its query
    virtual NodeAnswer get(const std::string &path) = 0;
    virtual NodeAnswer post(const std::string &path) = 0;
};

/// Creates the HTTP client for the node at @a address "host:port".
std::unique_ptr<NodeClient> createNodeClient(const std::string &address);

/// Encodes one value of a query.
std::string encodeQuery(const std::string &value);

struct CtlOptions
{
    OutputFormat format = OutputFormat::Table;
    /// Who changes and why, recorded with each change.
    std::string changedBy;
    std::string reason;
    /// Shows what would change and writes nothing.
    bool isDryRun = false;
    /// Shows the difference to what is stored.
    bool isDiff = false;
    /// Waits until the change is in force on every node.
    bool isWaiting = false;
    Duration waitTimeout = std::chrono::seconds(30);
    /// Accepts fields that this version doesn't know.
    bool allowsUnknownKeys = false;
    /// Whether the error stream is a terminal that can show a progress line.
    bool isTerminal = false;
};

/// What a command works with.
struct CtlContext
{
    CtlOptions options;
    /// Null when no platform was named.
    ObjectStore *store = nullptr;
    /// Null when no node was named.
    NodeClient *node = nullptr;
    std::ostream &out;
    std::ostream &err;
    WallTime now;
    Random &random;
    WriteOptions writeOptions;
    std::function<void(Duration)> sleep;
};

/// A change that a client waits for.
struct AwaitedChange
{
    ObjectKind kind = ObjectKind::Count;
    std::string name;
    std::uint64_t version = 0;
    /// 0 for a deletion.
    std::uint64_t contentHash = 0;
};

// --- Commands ---

ExitCode getObjects(CtlContext &context, const std::vector<std::string> &arguments);
ExitCode describeObject(CtlContext &context, const std::vector<std::string> &arguments);
/// Applies the objects in @a text, one JSON object, a list, or several after each other.
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

/// Waits until each change is in force on every node, and shows the progress.
ExitCode waitInForce(CtlContext &context, const std::vector<AwaitedChange> &changes);

/// Returns the exit code for a failed call to the store.
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

/// All commands but apply, which reads a file first.
std::span<const Command> commands();

} // namespace chicoryspar::ctl
