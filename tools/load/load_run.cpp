#include "tools/load/load_run.h"

#include <cmath>
#include <condition_variable>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <queue>
#include <thread>

namespace chicoryspar::load {

namespace {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;

/// Minimum delay before an order with unknown outcome is retried.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(300);

std::int64_t readWallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// One request from its arrival to its final result.
struct LoadRequest
{
    std::uint64_t number = 0;
    RequestClass requestClass = RequestClass::Lookup;
    CallerRequest call;
    Clock::time_point arrival;
    unsigned attempts = 0;
};

using LoadRequestPtr = std::shared_ptr<LoadRequest>;

/// An order that waits for its retry.
struct PendingRetry
{
    Clock::time_point when;
    LoadRequestPtr request;

    bool operator<(const PendingRetry &other) const
    {
        return when > other.when;
    }
};

class LoadRun
{
public:
    LoadRun(const LoadInit &init, Report &report)
        : m_init(init)
        , m_report(report)
        , m_random(init.seed)
        , m_caller(init.caller)
    {
        if (!init.outcomesLog.empty()) {
            m_log.open(init.outcomesLog);
        }
    }

    void run()
    {
        m_start = Clock::now();
        if (m_init.outstanding > 0) {
            for (unsigned it = 0; it < m_init.outstanding; ++it) {
                sendNew(m_start);
            }
        }
        while (true) {
            std::unique_lock lock(m_mutex);
            const auto now = Clock::now();
            const bool isOver = now - m_start >= m_init.duration;
            if (isOver && m_active == 0) {
                return;
            }
            sendDueRetries(now, lock);
            lock.unlock();
            const bool isArriving = !isOver && m_init.outstanding == 0;
            if (isArriving) {
                sendArrivals(now);
            }
            lock.lock();
            m_wake.wait_until(lock, nextWake(isArriving), [this] { return m_active == 0; });
        }
    }

private:
    double rateAt(Clock::time_point now) const
    {
        const auto time = std::chrono::duration_cast<Duration>(now - m_start);
        const bool isSurge = time >= m_init.surgeBegin && time < m_init.surgeEnd;
        return m_init.rate * (isSurge ? m_init.surgeFactor : 1.0);
    }

    void sendArrivals(Clock::time_point now)
    {
        if (m_nextArrival == Clock::time_point{}) {
            m_nextArrival = m_start;
        }
        while (m_nextArrival <= now) {
            sendNew(m_nextArrival);
            const auto gap = -std::log(1.0 - drawUnit(m_random)) / rateAt(m_nextArrival);
            m_nextArrival += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap));
        }
    }

    Clock::time_point nextWake(bool isArriving) const
    {
        auto wake = Clock::now() + std::chrono::milliseconds(50);
        if (isArriving) {
            wake = std::min(wake, m_nextArrival);
        }
        return m_retries.empty() ? wake : std::min(wake, m_retries.top().when);
    }

    void sendNew(Clock::time_point arrival)
    {
        auto request = std::make_shared<LoadRequest>();
        {
            const std::lock_guard lock(m_mutex);
            if (m_active >= m_init.maxOutstanding) {
                m_report.countUnsent();
                return;
            }
            ++m_active;
            request->number = ++m_lastNumber;
            request->requestClass = drawUnit(m_random) < m_init.orderShare ? RequestClass::Order : RequestClass::Lookup;
        }
        request->arrival = arrival;
        fillCall(*request);
        send(request);
    }

    void fillCall(LoadRequest &request) const
    {
        const bool isOrder = request.requestClass == RequestClass::Order;
        const auto &target = isOrder ? m_init.order : m_init.lookup;
        const auto number = std::to_string(m_init.seed) + "-" + std::to_string(request.number);
        request.call = {.service = target.service,
                        .method = isOrder ? "POST" : "GET",
                        .target = target.path + "?n=" + number,
                        .timeout = m_init.timeout};
        request.call.once = isOrder;
        if (!m_init.customerKey.empty()) {
            request.call.headers.push_back({"Authorization", "Bearer " + m_init.customerKey});
        }
        if (isOrder) {
            request.call.body = number + std::string(std::max(m_init.bodyBytes, number.size()) - number.size(), 'b');
        }
    }

    void send(const LoadRequestPtr &request)
    {
        m_caller.begin(request->call, [this, request](CallerResult &result) { handleResult(request, result); });
    }

    void handleResult(const LoadRequestPtr &request, const CallerResult &result)
    {
        const auto now = Clock::now();
        request->attempts += result.attempts;
        if (result.outcome == Outcome::Unknown && request->call.once && now - request->arrival < m_init.resolveTime) {
            request->call.key = result.key;
            const std::lock_guard lock(m_mutex);
            m_retries.push({now + std::max(kMinRetryDelay, result.retryAfter), request});
            return;
        }
        finish(*request, result, now);
        if (m_init.outstanding > 0 && now - m_start < m_init.duration) {
            sendNew(now);
        }
        const std::lock_guard lock(m_mutex);
        if (--m_active == 0) {
            m_wake.notify_one();
        }
    }

    void finish(LoadRequest &request, const CallerResult &result, Clock::time_point now)
    {
        const bool wasUnknown = request.call.key.has_value();
        // A refusal of a retry doesn't prove that the earlier attempt was not run.
        const auto outcome = wasUnknown && result.outcome == Outcome::NotRun ? Outcome::Unknown : result.outcome;
        const RequestResult end{.requestClass = request.requestClass,
                                .arrival = std::chrono::duration_cast<Duration>(request.arrival - m_start),
                                .latency = std::chrono::duration_cast<Duration>(now - request.arrival),
                                .outcome = outcome,
                                .reason = result.reason,
                                .check = checkAnswer(request.call, result),
                                .attempts = request.attempts};
        const std::lock_guard lock(m_mutex);
        m_report.add(end);
        if (m_log.is_open()) {
            const Json line = {{"number", request.number},
                               {"class", rowOf(end.requestClass).name},
                               {"service", request.call.service},
                               {"key", result.key.isValid() ? toString(result.key) : ""},
                               {"root", toString(result.root)},
                               {"outcome", rowOf(end.outcome).name},
                               {"reason", rowOf(end.reason).name},
                               {"status", result.status},
                               {"check", nameOf(end.check)},
                               {"attempts", end.attempts},
                               {"arrivalMs", toMilliseconds(end.arrival)},
                               {"latencyMs", toMilliseconds(end.latency)},
                               {"wallMs", readWallMilliseconds()}};
            m_log << line.dump() << '\n';
        }
    }

    LoadInit m_init;
    Report &m_report;
    Random m_random;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::ofstream m_log;
    std::priority_queue<PendingRetry> m_retries;
    std::size_t m_active = 0;
    std::uint64_t m_lastNumber = 0;
    Clock::time_point m_start;
    Clock::time_point m_nextArrival;
    Caller m_caller;

    void sendDueRetries(Clock::time_point now, std::unique_lock<std::mutex> &lock)
    {
        while (!m_retries.empty() && m_retries.top().when <= now) {
            const auto request = m_retries.top().request;
            m_retries.pop();
            lock.unlock();
            send(request);
            lock.lock();
        }
    }
};

} // namespace

Target parseTarget(std::string_view text)
{
    const auto colon = text.find(':');
    if (colon == std::string_view::npos) {
        return {};
    }
    return {.service = std::string(text.substr(0, colon)), .path = std::string(text.substr(colon + 1))};
}

void runLoad(const LoadInit &init, Report &report)
{
    LoadRun run(init, report);
    run.run();
}

} // namespace chicoryspar::load
