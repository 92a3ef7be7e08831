/// @file
/// Commands that change objects: apply, edit and delete. Each object is written only if the stored version is the one that was read;
/// the output lists which objects were written.

#include "ctl/objects.h"

#include <ostream>

namespace chicoryspar::ctl {
namespace {

constexpr int kMaxRebases = 5;

/// A planned write of one object.
struct PlannedChange
{
    ObjectKind kind = ObjectKind::Count;
    std::string name;
    /// The object as read from the store; null when it doesn't exist.
    Json stored;
    Json wanted;
    bool isDeletion = false;
    std::vector<FieldDifference> differences;
};

/// Result of writing one object.
struct ChangeResult
{
    ExitCode code = ExitCode::Ok;
    std::uint64_t version = 0;
    std::uint64_t contentHash = 0;
};

std::string labelOf(const PlannedChange &change)
{
    return std::string(chicoryspar::rowOf(change.kind).name) + "/" + change.name;
}

ChangeNote makeNote(CtlContext &context)
{
    return {.changeId = toString(makeRequestId(context.now, context.random)),
            .changedBy = context.options.changedBy,
            .reason = context.options.reason,
            .changedAt = formatTimestamp(context.now)};
}

/// Returns whether @a base and @a current differ at most in status, so that a write on top of @a current overwrites no change of an
/// operator.
bool isOnlyStatusChanged(const Json &base, const Json &current)
{
    return findDifferences(base, current).empty() && changeIdOf(base.dump()) == changeIdOf(current.dump());
}

void printConflict(CtlContext &context, const PlannedChange &change, const Json &other)
{
    context.err << labelOf(change) << ": not written, " << describeLastChange(other) << " was stored first. Stored change:\n";
    printDifferences(context.err, findDifferences(change.stored, other));
    context.err << "Your change, not applied:\n";
    printDifferences(context.err, change.differences);
    context.err << "Both changes are listed above; apply yours again on top of the stored object.\n";
}

/// Writes one object. Retries on top of the stored object when only its status changed; any other change is a conflict.
ChangeResult writeChange(CtlContext &context, PlannedChange &change)
{
    const auto note = makeNote(context);
    for (int n = 0;; ++n) {
        const bool isNew = change.stored.is_null();
        auto object = isNew ? change.wanted : mergeObjects(change.stored, change.wanted);
        addChangeNote(object, note);
        if (!isNew) {
            object["metadata"]["resourceVersion"] = versionOf(change.stored);
        }
        const WriteRequest request{.kind = isNew ? WriteKind::Create : WriteKind::Replace,
                                   .objectKind = change.kind,
                                   .name = change.name,
                                   .object = object.dump(),
                                   .changeId = note.changeId};
        const auto result = writeObject(*context.store, request, context.writeOptions, context.random);
        const auto stored = Json::parse(result.object, nullptr, false);
        if (!result.ec) {
            const auto parsed = parseObject(result.object);
            change.stored = stored;
            return {ExitCode::Ok, parsed.version, parsed.object ? parsed.object->contentHash : 0};
        }
        if (exitCodeOf(result.ec) != ExitCode::Conflict) {
            context.err << labelOf(change) << ": " << result.ec.message() << "\n";
            return {isUncertain(result.ec) ? ExitCode::Unknown : exitCodeOf(result.ec)};
        }
        if (n >= kMaxRebases || isNew || !stored.is_object() || !isOnlyStatusChanged(change.stored, stored)) {
            printConflict(context, change, stored);
            return {ExitCode::Conflict};
        }
        change.stored = stored;
    }
}

/// Deletes one object. First writes the change annotations, so that the deleted object records who deleted it and why.
ChangeResult writeDeletion(CtlContext &context, PlannedChange &change)
{
    change.wanted = change.stored;
    auto annotated = writeChange(context, change);
    if (annotated.code != ExitCode::Ok) {
        return annotated;
    }
    const WriteRequest request{.kind = WriteKind::Remove, .objectKind = change.kind, .name = change.name, .version = annotated.version};
    const auto result = writeObject(*context.store, request, context.writeOptions, context.random);
    if (result.ec) {
        context.err << labelOf(change) << ": not deleted, but its change annotations were written: " << result.ec.message() << "\n";
        return {isUncertain(result.ec) ? ExitCode::Unknown : exitCodeOf(result.ec)};
    }
    // The deletion gets a higher version than the write of the annotations.
    return {ExitCode::Ok, annotated.version + 1, 0};
}

/// Reads the stored object and determines the differences to the wanted one.
/// @returns Conflict when the wanted object states a resourceVersion other than the stored one, Failed when the store can't be read
ExitCode planChange(CtlContext &context, PlannedChange &change)
{
    const auto read = readObject(*context.store, change.kind, change.name);
    if (read.ec && read.ec != StoreError::NotFound) {
        context.err << labelOf(change) << ": " << read.ec.message() << "; nothing was written\n";
        return ExitCode::Failed;
    }
    change.stored = read.ec ? Json() : Json::parse(read.object, nullptr, false);
    const auto expected = versionOf(change.wanted);
    const auto next = change.stored.is_null() ? change.wanted : mergeObjects(change.stored, change.wanted);
    change.differences = findDifferences(change.stored, next);
    if (!expected.empty() && expected != versionOf(change.stored)) {
        context.err << labelOf(change) << ": your object is based on version " << expected << ", but ";
        context.err << (change.stored.is_null() ? std::string("it was deleted") : describeLastChange(change.stored) + " is stored") << "\n";
        printDifferences(context.err, change.differences);
        return ExitCode::Conflict;
    }
    return ExitCode::Ok;
}

/// Validates every object, and the references among them and the stored objects.
std::vector<Finding> checkObjects(CtlContext &context, const std::vector<PlannedChange> &changes)
{
    std::vector<Finding> findings;
    std::vector<std::shared_ptr<const ConfigObject>> objects;
    for (const auto &it : changes) {
        const auto parsed = parseObject(it.wanted.dump());
        findings.insert(findings.end(), parsed.findings.begin(), parsed.findings.end());
        findings.insert(findings.end(), parsed.unusedParts.begin(), parsed.unusedParts.end());
        if (!context.options.allowsUnknownKeys) {
            findings.insert(findings.end(), parsed.unknownKeys.begin(), parsed.unknownKeys.end());
        }
        if (parsed.object) {
            objects.push_back(parsed.object);
        }
    }
    for (std::size_t n = 0; n < static_cast<std::size_t>(ObjectKind::Count); ++n) {
        for (const auto &it : readObjects(*context.store, static_cast<ObjectKind>(n)).list.objects) {
            const auto parsed = parseObject(it);
            const auto isApplied = [&parsed](const auto &other) { return other->kind == parsed.kind && other->name == parsed.name; };
            if (parsed.object && std::none_of(objects.begin(), objects.end(), isApplied)) {
                objects.push_back(parsed.object);
            }
        }
    }
    const auto references = checkReferences(objects);
    findings.insert(findings.end(), references.begin(), references.end());
    return findings;
}

void printPlan(CtlContext &context, const PlannedChange &change)
{
    context.out << labelOf(change) << ": "
                << (change.stored.is_null()          ? "would be created"
                        : change.differences.empty() ? "unchanged"
                                                     : "would change");
    context.out << (change.stored.is_null() ? std::string() : " (stored: " + describeLastChange(change.stored) + ")") << "\n";
    printDifferences(context.out, change.differences);
}

AwaitedChange makeAwaitedChange(const PlannedChange &change, const ChangeResult &result)
{
    return {change.kind, change.name, result.version, result.contentHash};
}

/// Writes all changes in order. Stops at the first failure and lists the objects written and not written.
ExitCode writeAll(CtlContext &context, std::vector<PlannedChange> &changes)
{
    std::vector<AwaitedChange> awaited;
    std::vector<std::string> done;
    for (std::size_t n = 0; n < changes.size(); ++n) {
        auto &change = changes[n];
        if (!change.isDeletion && !change.stored.is_null() && change.differences.empty()) {
            const auto parsed = parseObject(change.stored.dump());
            context.out << labelOf(change) << ": unchanged\n";
            awaited.push_back(makeAwaitedChange(change, {ExitCode::Ok, parsed.version, parsed.object ? parsed.object->contentHash : 0}));
            continue;
        }
        const auto replaced = change.stored.is_null() ? std::string() : ", replaces " + describeLastChange(change.stored);
        const auto result = change.isDeletion ? writeDeletion(context, change) : writeChange(context, change);
        if (result.code != ExitCode::Ok) {
            for (const auto &it : done) {
                context.err << it << ": written\n";
            }
            for (std::size_t rest = n + 1; rest < changes.size(); ++rest) {
                context.err << labelOf(changes[rest]) << ": not written\n";
            }
            return done.empty() ? result.code : ExitCode::Partial;
        }
        done.push_back(labelOf(change));
        context.out << labelOf(change) << ": " << (change.isDeletion ? "deleted" : "stored as version " + std::to_string(result.version))
                    << replaced << "\n";
        if (context.options.showsDiff) {
            printDifferences(context.out, change.differences);
        }
        awaited.push_back(makeAwaitedChange(change, result));
    }
    return context.options.waitsUntilInForce ? waitInForce(context, awaited) : ExitCode::Ok;
}

ExitCode checkAndWrite(CtlContext &context, std::vector<PlannedChange> &changes)
{
    const auto findings = checkObjects(context, changes);
    if (!findings.empty()) {
        context.err << toString(findings) << "nothing was written\n";
        return ExitCode::Findings;
    }
    for (auto &it : changes) {
        const auto code = planChange(context, it);
        if (code != ExitCode::Ok) {
            context.err << "nothing was written\n";
            return code;
        }
    }
    if (!context.options.isDryRun) {
        return writeAll(context, changes);
    }
    for (const auto &it : changes) {
        printPlan(context, it);
    }
    return ExitCode::Ok;
}

/// Reads the object that the first two arguments of a command name.
ExitCode readNamedObject(CtlContext &context, const std::vector<std::string> &arguments, PlannedChange &change)
{
    const auto kind = arguments.size() >= 2 ? findObjectKind(arguments[0]) : std::nullopt;
    if (!kind) {
        context.err << "expected arguments KIND NAME with a known kind\n";
        return ExitCode::Usage;
    }
    change.kind = *kind;
    change.name = arguments[1];
    const auto read = readObject(*context.store, *kind, change.name);
    if (read.ec) {
        context.err << labelOf(change) << ": " << read.ec.message() << "\n";
        return exitCodeOf(read.ec);
    }
    change.stored = Json::parse(read.object, nullptr, false);
    return ExitCode::Ok;
}

} // namespace

ExitCode applyText(CtlContext &context, const std::string &text)
{
    const auto read = parseObjectsText(text);
    if (!read.findings.empty()) {
        context.err << toString(read.findings) << "nothing was written\n";
        return ExitCode::Findings;
    }
    std::vector<PlannedChange> changes;
    for (const auto &it : read.objects) {
        const auto parsed = parseObject(it.dump());
        changes.push_back({.kind = parsed.kind, .name = parsed.name, .wanted = it});
        if (parsed.kind == ObjectKind::Count || (parsed.object && parsed.object->deleted)) {
            context.err << toString(parsed.findings) << "nothing was written\n";
            return ExitCode::Findings;
        }
    }
    return checkAndWrite(context, changes);
}

ExitCode editObject(CtlContext &context, const std::vector<std::string> &arguments)
{
    PlannedChange change;
    const auto code = readNamedObject(context, arguments, change);
    if (code != ExitCode::Ok) {
        return code;
    }
    change.wanted = change.stored;
    change.wanted.erase("status");
    std::vector<Finding> findings;
    for (std::size_t n = 2; n < arguments.size(); ++n) {
        const auto equals = arguments[n].find('=');
        const auto finding = equals == std::string::npos
            ? Finding{arguments[n], "expected FIELD=VALUE"}
            : setField(change.wanted, arguments[n].substr(0, equals), arguments[n].substr(equals + 1));
        if (finding) {
            findings.push_back(*finding);
        }
    }
    if (!findings.empty() || arguments.size() < 3) {
        context.err << toString(findings) << "nothing was written; expected at least one valid spec.FIELD=VALUE\n";
        return ExitCode::Usage;
    }
    // Unknown fields that were stored before are not typing errors of this edit, so only additional ones are refused.
    auto unknownBefore = parseObject(change.stored.dump()).unknownKeys.size();
    context.options.allowsUnknownKeys =
        context.options.allowsUnknownKeys || parseObject(change.wanted.dump()).unknownKeys.size() <= unknownBefore;
    std::vector<PlannedChange> changes{change};
    return checkAndWrite(context, changes);
}

ExitCode deleteObject(CtlContext &context, const std::vector<std::string> &arguments)
{
    PlannedChange change{.isDeletion = true};
    const auto code = readNamedObject(context, arguments, change);
    if (code != ExitCode::Ok) {
        return code;
    }
    if (context.options.isDryRun) {
        context.out << labelOf(change) << ": would be deleted (stored: " << describeLastChange(change.stored) << ")\n";
        return ExitCode::Ok;
    }
    std::vector<PlannedChange> changes{change};
    return writeAll(context, changes);
}

} // namespace chicoryspar::ctl
