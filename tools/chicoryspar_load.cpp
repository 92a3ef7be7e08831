/// @file
/// Load generator: sends lookups and orders to entry nodes, optionally with a surge, and reports goodput, refusals, latencies and
/// recovery time.

#include "program/program.h"
#include "tools/load/load_run.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::vector<std::string>, entries, {}, "callers' ports of entry nodes, comma-separated, such as 127.0.0.1:8080");
ABSL_FLAG(std::string, caller, "load", "caller name, matched by caller policies");
ABSL_FLAG(std::string, customer_key, "", "key of a customer, sent with each request; empty for none");
ABSL_FLAG(std::string, lookup, "catalogue:/titles", "service:/path of lookups");
ABSL_FLAG(std::string, order, "orders:/orders", "service:/path of orders, which run at most once");
ABSL_FLAG(double, rate, 100, "mean arrival rate, requests per second");
ABSL_FLAG(unsigned, outstanding, 0, "number of requests kept outstanding; replaces arrivals at --rate unless 0");
ABSL_FLAG(double, order_share, 0.3, "fraction of requests that are orders, 0 to 1");
ABSL_FLAG(double, duration_s, 10, "duration of the run, in seconds");
ABSL_FLAG(double, surge_at_s, 0, "start of the surge, in seconds from the start of the run");
ABSL_FLAG(double, surge_s, 0, "duration of the surge, in seconds");
ABSL_FLAG(double, surge_factor, 4, "factor by which the surge multiplies the rate");
ABSL_FLAG(double, cause_at_s, -1,
          "start of an external cause of overload, in seconds from the start of the run; recovery time counts from its end");
ABSL_FLAG(double, cause_s, 0, "duration of the external cause of overload, in seconds");
ABSL_FLAG(unsigned, timeout_ms, 2000, "timeout of each request, in milliseconds");
ABSL_FLAG(unsigned, retry_budget, 3, "retries allowed for one request over the whole call tree");
ABSL_FLAG(bool, hard, false, "aggressive callers: retry at once, ignore Retry-After and limit each attempt to a quarter of the timeout");
ABSL_FLAG(double, resolve_s, 0, "time after its arrival in which an order with unknown outcome is retried with its key, in seconds");
ABSL_FLAG(unsigned, body_bytes, 64, "body size of an order, in bytes");
ABSL_FLAG(std::uint64_t, seed, 1, "random seed for arrivals, keys and jitter");
ABSL_FLAG(bool, json, false, "print the report as one JSON object");
ABSL_FLAG(std::string, outcomes_log, "", "log file with one JSON line per request");

namespace chicoryspar::load {

namespace {

constexpr unsigned kHardRetryBudget = 10;
constexpr unsigned kHardAttemptsPerTimeout = 4;
constexpr Duration kHardBackoff = std::chrono::milliseconds(1);

Duration toDuration(double seconds)
{
    return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

CallRetryInit readRetry()
{
    CallRetryInit retry{.budget = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_retry_budget))};
    if (absl::GetFlag(FLAGS_hard)) {
        retry.budget = kHardRetryBudget;
        retry.backoff = kHardBackoff;
        retry.maxBackoff = kHardBackoff;
        retry.attemptTimeout = std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms) / kHardAttemptsPerTimeout);
        retry.honourRetryAfter = false;
    }
    return retry;
}

LoadInit readInit(std::vector<Finding> &findings)
{
    const auto seed = absl::GetFlag(FLAGS_seed);
    LoadInit init{
        .caller = {.entries = absl::GetFlag(FLAGS_entries), .name = absl::GetFlag(FLAGS_caller), .seed = seed, .retry = readRetry()},
        .customerKey = absl::GetFlag(FLAGS_customer_key),
        .lookup = parseTarget(absl::GetFlag(FLAGS_lookup)),
        .order = parseTarget(absl::GetFlag(FLAGS_order)),
        .rate = absl::GetFlag(FLAGS_rate),
        .outstanding = absl::GetFlag(FLAGS_outstanding),
        .orderShare = absl::GetFlag(FLAGS_order_share),
        .duration = toDuration(absl::GetFlag(FLAGS_duration_s)),
        .surgeBegin = toDuration(absl::GetFlag(FLAGS_surge_at_s)),
        .surgeEnd = toDuration(absl::GetFlag(FLAGS_surge_at_s) + absl::GetFlag(FLAGS_surge_s)),
        .surgeFactor = absl::GetFlag(FLAGS_surge_factor),
        .timeout = std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms)),
        .resolveTime = toDuration(absl::GetFlag(FLAGS_resolve_s)),
        .bodyBytes = absl::GetFlag(FLAGS_body_bytes),
        .seed = seed,
        .outcomesLog = absl::GetFlag(FLAGS_outcomes_log)};
    if (init.caller.entries.empty()) {
        findings.push_back({"--entries", "is missing; expected at least one host:port"});
    }
    if (!init.lookup.isValid()) {
        findings.push_back({"--lookup", "expected service:/path"});
    }
    if (!init.order.isValid()) {
        findings.push_back({"--order", "expected service:/path"});
    }
    if (init.rate <= 0) {
        findings.push_back({"--rate", "expected a number above 0"});
    }
    if (init.timeout.count() <= 0) {
        findings.push_back({"--timeout_ms", "expected a number above 0"});
    }
    return init;
}

ReportInit makeReportInit(const LoadInit &init)
{
    ReportInit it{.duration = init.duration, .causeBegin = init.surgeBegin, .causeEnd = init.surgeEnd};
    if (absl::GetFlag(FLAGS_cause_at_s) >= 0) {
        it.causeBegin = toDuration(absl::GetFlag(FLAGS_cause_at_s));
        it.causeEnd = it.causeBegin + toDuration(absl::GetFlag(FLAGS_cause_s));
    }
    return it;
}

} // namespace

} // namespace chicoryspar::load

int main(int argc, char **argv)
{
    using namespace chicoryspar;
    absl::SetProgramUsageMessage("Sends lookups and orders to entry nodes and reports goodput, refusals, latencies and recovery time.");
    chicoryspar::describeProgram("chicoryspar-load", CHICORYSPAR_VERSION);
    absl::ParseCommandLine(argc, argv);
    std::vector<Finding> findings;
    const auto init = load::readInit(findings);
    if (!findings.empty()) {
        std::cerr << toString(findings);
        return 2;
    }
    load::Report report(load::makeReportInit(init));
    load::runLoad(init, report);
    std::cout << (absl::GetFlag(FLAGS_json) ? report.toJson() + "\n" : report.toText());
    return report.violations() == 0 ? 0 : 1;
}
