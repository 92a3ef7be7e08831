/// @file
/// Commands that read objects from the store.

#include "ctl/objects.h"

#include <ostream>

namespace chicoryspar::ctl {
namespace {

ExitCode printFailure(CtlContext &context, const std::string &what, std::error_code ec)
{
    context.err << what << ": " << ec.message() << "\n";
    return exitCodeOf(ec);
}

std::optional<ObjectKind> readKind(CtlContext &context, const std::vector<std::string> &arguments, std::size_t count)
{
    const auto kind = arguments.size() >= count ? findObjectKind(arguments[0]) : std::nullopt;
    if (!kind) {
        context.err << "expected a kind, one of:";
        for (std::size_t n = 0; n < static_cast<std::size_t>(ObjectKind::Count); ++n) {
            context.err << " " << chicoryspar::rowOf(static_cast<ObjectKind>(n)).name;
        }
        context.err << "\n";
    }
    return kind;
}

void printObjects(CtlContext &context, const std::vector<std::string> &objects)
{
    if (context.options.format == OutputFormat::Json) {
        auto list = Json::array();
        for (const auto &it : objects) {
            list.push_back(Json::parse(it, nullptr, false));
        }
        context.out << list.dump(2) << "\n";
        return;
    }
    std::vector<std::vector<std::string>> rows{{"NAME", "VERSION", "CHANGED BY", "CHANGED AT", "REASON"}};
    for (const auto &it : objects) {
        const auto parsed = parseObject(it);
        const auto change = parsed.object ? parsed.object->change : ChangeNote();
        const auto name = parsed.object ? parsed.name : parsed.name + " (invalid)";
        rows.push_back({name, std::to_string(parsed.version), change.changedBy, change.changedAt, change.reason});
    }
    printTable(context.out, rows);
}

} // namespace

ExitCode getObjects(CtlContext &context, const std::vector<std::string> &arguments)
{
    const auto kind = readKind(context, arguments, 1);
    if (!kind) {
        return ExitCode::Usage;
    }
    if (arguments.size() > 1) {
        const auto read = readObject(*context.store, *kind, arguments[1]);
        if (read.ec) {
            return printFailure(context, arguments[0] + "/" + arguments[1], read.ec);
        }
        if (context.options.format == OutputFormat::Json) {
            context.out << Json::parse(read.object, nullptr, false).dump(2) << "\n";
        } else {
            printObjects(context, {read.object});
        }
        return ExitCode::Ok;
    }
    const auto list = readObjects(*context.store, *kind);
    if (list.ec) {
        return printFailure(context, arguments[0], list.ec);
    }
    printObjects(context, list.list.objects);
    return ExitCode::Ok;
}

ExitCode describeObject(CtlContext &context, const std::vector<std::string> &arguments)
{
    const auto kind = readKind(context, arguments, 2);
    if (!kind) {
        return ExitCode::Usage;
    }
    const auto read = readObject(*context.store, *kind, arguments[1]);
    if (read.ec) {
        return printFailure(context, arguments[0] + "/" + arguments[1], read.ec);
    }
    const auto json = Json::parse(read.object, nullptr, false);
    if (context.options.format == OutputFormat::Json) {
        context.out << json.dump(2) << "\n";
        return ExitCode::Ok;
    }
    const auto parsed = parseObject(read.object);
    context.out << chicoryspar::rowOf(*kind).name << "/" << arguments[1] << "\n  " << describeLastChange(json) << "\n";
    context.out << toString(parsed.findings) << toString(parsed.unusedParts) << toString(parsed.unknownKeys);
    context.out << "spec: " << json.value("spec", Json()).dump(2) << "\nstatus: " << json.value("status", Json()).dump(2) << "\n";
    return ExitCode::Ok;
}

} // namespace chicoryspar::ctl
