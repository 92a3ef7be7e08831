/// @file
/// Collects the events of all nodes and prints them as one time line.

#include <chicoryspar/membership.h>
#include <chicoryspar/timeline.h>

#include "program/program.h"
#include "store/http_call.h"

#include <future>
#include <iostream>
#include <set>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/time/time.h>

ABSL_FLAG(std::vector<std::string>, from, {}, "Operators' ports of nodes to query for members, comma-separated, such as 127.0.0.1:7403.");
ABSL_FLAG(std::string, service, "", "Print only events of this service.");
ABSL_FLAG(std::string, node, "", "Print only events of this node.");
ABSL_FLAG(std::string, root, "", "Print only events of this root request (UUID).");
ABSL_FLAG(std::vector<std::string>, kind, {}, "Print only events of these kinds, comma-separated.");
ABSL_FLAG(std::string, since, "", "Print only events since this time: 2026-12-04T05:06:07Z, or an age such as 15m.");
ABSL_FLAG(std::string, format, "text", "Output format: text, json or html.");
ABSL_FLAG(int, timeout_ms, 2000, "Timeout of one request to a node, in milliseconds.");

namespace {

using namespace chicoryspar;

constexpr int kExitPartial = 1;
constexpr int kExitUsage = 2;
constexpr int kExitNoEvents = 3;
/// Maximum number of events per page.
constexpr std::size_t kMaxEventsPerPage = 1000;
/// Maximum number of pages read from one node; bounds the loop when events arrive faster than they are read.
constexpr int kMaxPagesPerNode = 64;
/// Maximum number of nodes queried in parallel.
constexpr std::size_t kMaxParallelNodes = 16;
constexpr auto kStatusOk = 200;

/// Options from the command line.
struct Query
{
    std::vector<std::string> from;
    EventFilter filter;
    TimelineFormat format = TimelineFormat::Text;
    std::chrono::milliseconds timeout{0};
    std::vector<Finding> findings;
};

/// Events read from one node, and the reasons why some may be missing.
struct NodeEvents
{
    std::vector<EventPage> pages;
    std::vector<Finding> gaps;
};

WallTime wallNow()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return WallTime(std::chrono::duration_cast<Duration>(now));
}

std::optional<WallTime> parseSince(const std::string &text)
{
    absl::Duration age;
    if (absl::ParseDuration(text, &age)) {
        return wallNow() - Duration(absl::ToInt64Microseconds(age));
    }
    return parseWallTime(text);
}

void readRoot(Query &query)
{
    const auto text = absl::GetFlag(FLAGS_root);
    const auto root = parseRequestId(text);
    if (!text.empty() && !root) {
        query.findings.push_back({"--root", "\"" + text + "\" isn't a UUID"});
    }
    query.filter.root = root.value_or(RequestId{});
}

void readKinds(Query &query)
{
    for (const auto &it : absl::GetFlag(FLAGS_kind)) {
        const auto kind = findEventKind(it);
        if (kind) {
            query.filter.kinds.insert(*kind);
        } else {
            query.findings.push_back({"--kind", "unknown event kind \"" + it + "\""});
        }
    }
}

void readSince(Query &query)
{
    const auto text = absl::GetFlag(FLAGS_since);
    if (text.empty()) {
        return;
    }
    query.filter.since = parseSince(text);
    if (!query.filter.since) {
        query.findings.push_back({"--since", "\"" + text + "\" is neither a UTC time such as 2026-12-04T05:06:07Z nor an age such as 15m"});
    }
}

Query readFlags()
{
    Query query{.from = absl::GetFlag(FLAGS_from), .timeout = std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms))};
    query.filter.service = absl::GetFlag(FLAGS_service);
    query.filter.node = absl::GetFlag(FLAGS_node);
    readRoot(query);
    readKinds(query);
    readSince(query);
    const auto format = findTimelineFormat(absl::GetFlag(FLAGS_format));
    query.format = format.value_or(TimelineFormat::Text);
    if (!format) {
        query.findings.push_back({"--format", "expected text, json or html"});
    }
    if (query.from.empty()) {
        query.findings.push_back({"--from", "is missing; expected at least one host:port"});
    }
    return query;
}

/// Sends a GET request and blocks until its end.
/// @returns the body; nothing after adding a gap, on a failed call or a status other than 200
std::optional<std::string> fetch(const std::string &address, const std::string &target, std::chrono::milliseconds timeout,
                                 std::vector<Finding> &gaps)
{
    auto answer = runHttpCall({.address = address, .verb = "GET", .target = target, .timeout = timeout});
    if (answer.end == HttpCallEnd::Answered && answer.status == kStatusOk) {
        return std::move(answer.body);
    }
    const bool isAnswered = answer.end == HttpCallEnd::Answered;
    gaps.push_back({address, isAnswered ? "status " + std::to_string(answer.status) : std::string(rowOf(answer.end).name)});
    return std::nullopt;
}

/// Reads all pages of one node. Runs on a thread of its own.
NodeEvents readEvents(const std::string &address, std::chrono::milliseconds timeout)
{
    NodeEvents events;
    std::uint64_t after = 0;
    for (int n = 0; n < kMaxPagesPerNode; ++n) {
        const auto target = "/v1/events?after=" + std::to_string(after) + "&limit=" + std::to_string(kMaxEventsPerPage);
        const auto text = fetch(address, target, timeout, events.gaps);
        auto page = text ? parsePage(*text, events.gaps) : std::nullopt;
        if (!page || page->events.empty()) {
            break;
        }
        after = page->next;
        events.pages.push_back(std::move(*page));
    }
    return events;
}

/// Returns the operators' addresses of the reachable members in the member list of one node.
std::set<std::string> readMembers(const std::string &address, std::chrono::milliseconds timeout, std::vector<Finding> &gaps)
{
    std::set<std::string> addresses;
    const auto text = fetch(address, "/v1/members", timeout, gaps);
    const auto members = text ? parseMembers(*text, TimePoint(), gaps) : std::nullopt;
    for (const auto &it : members.value_or(std::vector<Member>())) {
        if (it.state == MemberState::Left) {
            continue;
        }
        if (!it.isPresent() || it.info.operators.empty()) {
            gaps.push_back(
                {it.info.name, "expected a running member with an operators' port, got state " + std::string(rowOf(it.state).name)});
            continue;
        }
        addresses.insert(it.info.operators);
    }
    return addresses;
}

/// Returns the addresses from the command line and those from the first non-empty member list of these nodes.
std::set<std::string> findNodeAddresses(const Query &query, std::vector<Finding> &gaps)
{
    std::set<std::string> addresses(query.from.begin(), query.from.end());
    for (const auto &it : query.from) {
        const auto found = readMembers(it, query.timeout, gaps);
        if (!found.empty()) {
            addresses.insert(found.begin(), found.end());
            break;
        }
    }
    return addresses;
}

Timeline collectTimeline(const Query &query)
{
    std::vector<Finding> gaps;
    const auto found = findNodeAddresses(query, gaps);
    const std::vector<std::string> addresses(found.begin(), found.end());
    std::vector<EventPage> pages;
    for (std::size_t begin = 0; begin < addresses.size(); begin += kMaxParallelNodes) {
        std::vector<std::future<NodeEvents>> tasks;
        for (auto n = begin; n < std::min(begin + kMaxParallelNodes, addresses.size()); ++n) {
            tasks.push_back(std::async(std::launch::async, &readEvents, addresses[n], query.timeout));
        }
        for (auto &it : tasks) {
            auto events = it.get();
            std::move(events.pages.begin(), events.pages.end(), std::back_inserter(pages));
            std::move(events.gaps.begin(), events.gaps.end(), std::back_inserter(gaps));
        }
    }
    auto timeline = mergePages(pages);
    timeline.gaps.insert(timeline.gaps.end(), gaps.begin(), gaps.end());
    return timeline;
}

} // namespace

int main(int argc, char **argv)
{
    chicoryspar::describeProgram("chicoryspar-timeline", CHICORYSPAR_VERSION);
    absl::SetProgramUsageMessage("Collects the events of all nodes and prints them as one time line.\n"
                                 "  chicoryspar-timeline --from=127.0.0.1:7403 --since=15m --service=orders\n"
                                 "  chicoryspar-timeline --from=127.0.0.1:7403 --format=html > timeline.html\n"
                                 "Exit codes: 0 every node answered, 1 the time line has gaps (listed at its end), 2 invalid flags, "
                                 "3 no events were received.");
    absl::ParseCommandLine(argc, argv);
    const auto query = readFlags();
    if (!query.findings.empty()) {
        std::cerr << toString(query.findings);
        return kExitUsage;
    }
    auto timeline = collectTimeline(query);
    const bool isEmpty = timeline.events.empty();
    applyFilter(query.filter, timeline);
    std::cout << rowOf(query.format).render(timeline);
    if (isEmpty) {
        return kExitNoEvents;
    }
    return timeline.gaps.empty() ? 0 : kExitPartial;
}
