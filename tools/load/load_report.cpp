#include "tools/load/load_report.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cassert>
#include <nlohmann/json.hpp>
#include <sstream>

namespace chicoryspar::load {

namespace {

namespace acc = boost::accumulators;
using Json = nlohmann::json;

constexpr std::size_t kClasses = static_cast<std::size_t>(RequestClass::Count);
constexpr Duration kGoodputInterval = std::chrono::milliseconds(500);
/// Goodput counts as recovered once it reaches this fraction of the goodput before the cause.
constexpr double kRecoveredFraction = 0.95;
constexpr std::array<double, 3> kProbabilities = {0.5, 0.9, 0.99};
constexpr std::array<std::string_view, static_cast<std::size_t>(AnswerCheck::Count)> kCheckNames = {
    "none", "whole", "damaged", "foreign", "failed",
};

using Latencies = acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square, acc::tag::max>>;

/// Requests that arrived within one interval.
struct Interval
{
    std::uint64_t requests = 0;
    std::uint64_t good = 0;
};

double toFractionalMs(Duration value)
{
    return static_cast<double>(value.count()) / 1000.0;
}

std::string toHex(std::uint64_t value)
{
    std::array<char, 17> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(value));
    return buf.data();
}

template<typename Counts>
std::string formatCounts(const Counts &counts)
{
    std::string text;
    for (const auto &[name, count] : counts) {
        text += " " + std::string(name) + "=" + std::to_string(count);
    }
    return text.empty() ? " none" : text;
}

template<typename Counts>
Json countsToJson(const Counts &counts)
{
    Json object = Json::object();
    for (const auto &[name, count] : counts) {
        object[std::string(name)] = count;
    }
    return object;
}

} // namespace

std::string_view nameOf(AnswerCheck value)
{
    assert(value < AnswerCheck::Count);
    return kCheckNames[static_cast<std::size_t>(value)];
}

AnswerCheck checkAnswer(const CallerRequest &request, const CallerResult &result)
{
    if (result.outcome != Outcome::Answer) {
        return AnswerCheck::None;
    }
    if (result.status != 200) {
        return AnswerCheck::Failed;
    }
    const auto body = Json::parse(result.body, nullptr, false);
    if (!body.is_object()) {
        return AnswerCheck::Damaged;
    }
    for (const auto *key : {"service", "key", "target", "bodyHash"}) {
        if (!body.contains(key) || !body[key].is_string()) {
            return AnswerCheck::Damaged;
        }
    }
    const auto key = result.key.isValid() ? toString(result.key) : std::string();
    const bool isOwn = body["service"] == request.service && body["key"] == key && body["target"] == request.target
        && body["bodyHash"] == toHex(hashBytes(request.body));
    return isOwn ? AnswerCheck::Whole : AnswerCheck::Foreign;
}

struct Report::State
{
    explicit State(const ReportInit &init)
        : init(init)
    {
        for (auto &it : latencies) {
            it = std::make_unique<Latencies>(acc::tag::extended_p_square::probabilities = kProbabilities);
        }
    }

    ReportInit init;
    std::array<ClassSummary, kClasses> classes;
    std::array<std::unique_ptr<Latencies>, kClasses> latencies;
    std::vector<Interval> intervals;
    std::uint64_t unsent = 0;
};

Report::Report(const ReportInit &init)
    : m_state(std::make_unique<State>(init))
{
}

Report::~Report() = default;

void Report::add(const RequestResult &end)
{
    auto &summary = m_state->classes[static_cast<std::size_t>(end.requestClass)];
    ++summary.requests;
    summary.attempts += end.attempts;
    ++summary.byOutcome[static_cast<std::size_t>(end.outcome)];
    ++summary.byCheck[static_cast<std::size_t>(end.check)];
    if (end.outcome == Outcome::NotRun) {
        ++summary.refusals[rowOf(end.reason).name];
    } else if (end.outcome == Outcome::Unknown) {
        ++summary.unknowns[rowOf(end.reason).name];
    }
    const auto interval = static_cast<std::size_t>(end.arrival / kGoodputInterval);
    if (m_state->intervals.size() <= interval) {
        m_state->intervals.resize(interval + 1);
    }
    ++m_state->intervals[interval].requests;
    if (end.isGood()) {
        ++summary.good;
        ++m_state->intervals[interval].good;
        (*m_state->latencies[static_cast<std::size_t>(end.requestClass)])(toFractionalMs(end.latency));
    }
}

void Report::countUnsent()
{
    ++m_state->unsent;
}

ClassSummary Report::summarize(RequestClass value) const
{
    const auto index = static_cast<std::size_t>(value);
    auto it = m_state->classes[index];
    if (it.good > 0) {
        const auto &latencies = *m_state->latencies[index];
        const auto quantiles = acc::extended_p_square(latencies);
        it.p50 = quantiles[0];
        it.p90 = quantiles[1];
        it.p99 = quantiles[2];
        it.max = acc::max(latencies);
    }
    return it;
}

std::optional<Recovery> Report::findRecovery() const
{
    const auto &init = m_state->init;
    if (init.causeEnd <= init.causeBegin) {
        return std::nullopt;
    }
    const auto &intervals = m_state->intervals;
    const auto goodFractionOf = [](const Interval &it) {
        return it.requests == 0 ? 1.0 : static_cast<double>(it.good) / static_cast<double>(it.requests);
    };
    const auto firstAfter = [](Duration time) {
        return static_cast<std::size_t>((time + kGoodputInterval - Duration(1)) / kGoodputInterval);
    };
    Interval before;
    for (std::size_t it = 0; it < std::min<std::size_t>(static_cast<std::size_t>(init.causeBegin / kGoodputInterval), intervals.size());
         ++it) {
        before.requests += intervals[it].requests;
        before.good += intervals[it].good;
    }
    Recovery recovery{.shareBefore = goodFractionOf(before), .shareLowest = 1.0};
    for (auto it = static_cast<std::size_t>(init.causeBegin / kGoodputInterval); it < intervals.size(); ++it) {
        recovery.shareLowest = std::min(recovery.shareLowest, goodFractionOf(intervals[it]));
    }
    const auto last = std::min(intervals.size(), static_cast<std::size_t>(init.duration / kGoodputInterval));
    auto good = last;
    while (good > firstAfter(init.causeEnd) && goodFractionOf(intervals[good - 1]) >= kRecoveredFraction * recovery.shareBefore) {
        --good;
    }
    if (good < last) {
        recovery.time = std::max(Duration(0), static_cast<std::int64_t>(good) * kGoodputInterval - init.causeEnd);
    }
    return recovery;
}

std::string Report::toText() const
{
    std::ostringstream text;
    text.setf(std::ios::fixed);
    text.precision(2);
    const auto seconds = static_cast<double>(m_state->init.duration.count()) / 1e6;
    for (std::size_t it = 0; it < kClasses; ++it) {
        const auto value = static_cast<RequestClass>(it);
        const auto summary = summarize(value);
        if (summary.requests == 0) {
            continue;
        }
        text << rowOf(value).name << ": requests " << summary.requests << ", good " << summary.good << " ("
             << 100.0 * static_cast<double>(summary.good) / static_cast<double>(summary.requests) << " %, "
             << static_cast<double>(summary.good) / seconds << " a second), attempts " << summary.attempts << "\n";
        text << "  not run:" << formatCounts(summary.refusals) << "\n  unknown:" << formatCounts(summary.unknowns) << "\n  answers:";
        for (std::size_t check = 1; check < summary.byCheck.size(); ++check) {
            text << " " << nameOf(static_cast<AnswerCheck>(check)) << "=" << summary.byCheck[check];
        }
        text << "\n  latency ms: p50 " << summary.p50 << ", p90 " << summary.p90 << ", p99 " << summary.p99 << ", max " << summary.max
             << "\n";
    }
    if (m_state->unsent > 0) {
        text << "arrivals not sent, too many outstanding requests: " << m_state->unsent << "\n";
    }
    if (const auto recovery = findRecovery()) {
        text << "fraction of good requests before the overload " << recovery->shareBefore << ", lowest " << recovery->shareLowest
             << ", recovery time ";
        if (recovery->time) {
            text << toMilliseconds(*recovery->time) << " ms\n";
        } else {
            text << "longer than the run\n";
        }
    }
    return text.str();
}

std::string Report::toJson() const
{
    Json root = {{"durationMs", toMilliseconds(m_state->init.duration)}, {"unsent", m_state->unsent}, {"violations", violations()}};
    for (std::size_t it = 0; it < kClasses; ++it) {
        const auto value = static_cast<RequestClass>(it);
        const auto summary = summarize(value);
        Json object = {{"requests", summary.requests},
                       {"good", summary.good},
                       {"attempts", summary.attempts},
                       {"notRun", countsToJson(summary.refusals)},
                       {"unknown", countsToJson(summary.unknowns)},
                       {"latencyMs", {{"p50", summary.p50}, {"p90", summary.p90}, {"p99", summary.p99}, {"max", summary.max}}}};
        for (std::size_t check = 0; check < summary.byCheck.size(); ++check) {
            object["checks"][std::string(nameOf(static_cast<AnswerCheck>(check)))] = summary.byCheck[check];
        }
        root["classes"][std::string(rowOf(value).name)] = object;
    }
    if (const auto recovery = findRecovery()) {
        root["recovery"] = {{"shareBefore", recovery->shareBefore}, {"shareLowest", recovery->shareLowest}};
        root["recovery"]["timeMs"] = recovery->time ? Json(toMilliseconds(*recovery->time)) : Json();
    }
    return root.dump();
}

std::uint64_t Report::violations() const
{
    std::uint64_t count = 0;
    for (const auto &it : m_state->classes) {
        count += it.byCheck[static_cast<std::size_t>(AnswerCheck::Damaged)] + it.byCheck[static_cast<std::size_t>(AnswerCheck::Foreign)];
    }
    return count;
}

} // namespace chicoryspar::load
