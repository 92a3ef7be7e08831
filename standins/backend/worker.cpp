#include "standins/backend/worker.h"

#include "standins/backend/child_key.h"

#include <cassert>
#include <cmath>
#include <nlohmann/json.hpp>

namespace chicoryspar::standin {

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr auto kSampleInterval = std::chrono::milliseconds(50);
constexpr auto kDefaultChildTimeout = std::chrono::milliseconds(2000);
constexpr std::string_view kProblemType = "application/problem+json";

std::int64_t readWallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::optional<std::int64_t> readNumberHeader(const ExchangeRequest &request, std::string_view name)
{
    const std::string text(findHeader(request.headers, name));
    char *end = nullptr;
    const auto value = std::strtoll(text.c_str(), &end, 10);
    if (text.empty() || *end != '\0') {
        return std::nullopt;
    }
    return value;
}

bool isExpired(const ExchangeRequest &request)
{
    const auto deadline = readNumberHeader(request, "Chicoryspar-Deadline");
    return deadline && readWallMilliseconds() > *deadline;
}

std::string toHex(std::uint64_t value)
{
    std::array<char, 17> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(value));
    return buf.data();
}

std::string unquote(std::string_view text)
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, text.size() - 2);
    }
    return std::string(text);
}

ExchangeResponse makeJsonResponse(int status, const Json &body)
{
    return {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

ExchangeResponse makeRefusal(Reason reason)
{
    const Json body = {{"title", rowOf(reason).name}, {"status", 503}, {"detail", rowOf(reason).text}};
    return {.status = 503,
            .headers = {{"Content-Type", std::string(kProblemType)},
                        {"Chicoryspar-Outcome", "not-run"},
                        {"Chicoryspar-Reason", std::string(rowOf(reason).name)}},
            .body = body.dump()};
}

} // namespace

Worker::Worker(boost::asio::io_context &io, const BackendInit &init, std::string instance)
    : m_io(io)
    , m_init(init)
    , m_instance(std::move(instance))
    , m_client(io)
    , m_random(init.seed)
    , m_started(Clock::now())
    , m_sampleTimer(io)
{
    if (!init.executionLog.empty()) {
        m_log.open(init.executionLog, std::ios::app);
    }
    sampleLoad();
}

void Worker::handle(const ServerExchangePtr &exchange)
{
    const auto &target = exchange->request().target;
    const auto path = target.substr(0, target.find('?'));
    if (path == "/standin/faults") {
        handleFaults(exchange);
    } else if (m_faults.isSilent) {
        m_unanswered.push_back(exchange);
    } else if (path == "/health" || path == "/load") {
        handleHealthOrLoad(exchange, path);
    } else {
        accept(exchange);
    }
}

void Worker::handleHealthOrLoad(const ServerExchangePtr &exchange, const std::string &path)
{
    const auto sample = m_faults.reportsIdle ? LoadSample{} : delayedSample();
    if (path == "/health") {
        exchange->answer(makeJsonResponse(sample.isDraining ? 503 : 200, {{"status", sample.isDraining ? "draining" : "ok"}}));
        return;
    }
    exchange->answer(makeJsonResponse(200, {{"inFlight", sample.inFlight}, {"queued", sample.queued}, {"slots", m_init.slots}}));
}

std::vector<Finding> Worker::setFaults(std::string_view json)
{
    auto findings = parseFaults(json, m_faults);
    if (!m_faults.isSilent) {
        m_unanswered.clear();
    }
    if (!m_faults.isHanging) {
        for (const auto &it : m_hanging) {
            it->timer.cancel();
        }
        m_hanging.clear();
    }
    return findings;
}

void Worker::handleFaults(const ServerExchangePtr &exchange)
{
    if (exchange->request().method == "POST") {
        const auto findings = setFaults(exchange->request().body);
        if (!findings.empty()) {
            exchange->answer(makeJsonResponse(400, {{"error", toString(findings)}}));
            return;
        }
    }
    exchange->answer({.status = 200, .headers = {{"Content-Type", "application/json"}}, .body = formatFaults(m_faults)});
}

void Worker::accept(const ServerExchangePtr &exchange)
{
    const auto &request = exchange->request();
    auto job = std::make_shared<Job>(m_io);
    job->exchange = exchange;
    job->key = unquote(findHeader(request.headers, "Idempotency-Key"));
    job->root = findHeader(request.headers, "Chicoryspar-Root");
    job->fingerprint = toHex(hashBytes(request.body, hashBytes(request.target, hashBytes(request.method))));
    if (m_faults.isShedding || m_active.size() + m_queue.size() >= m_init.slots + m_init.queueLength) {
        refuse(job, Reason::ShedByBackend);
        return;
    }
    log(*job, "accept", m_isDraining ? "draining" : "ready");
    exchange->onClosed([this, weak = std::weak_ptr(job)] {
        if (const auto it = weak.lock()) {
            cancel(it);
        }
    });
    m_queue.push_back(job);
    startNext();
}

void Worker::startNext()
{
    while (m_active.size() < m_init.slots && !m_queue.empty()) {
        const auto job = m_queue.front();
        m_queue.pop_front();
        if (!job->isDone) {
            startJob(job);
        }
    }
}

void Worker::startJob(const JobPtr &job)
{
    m_active.emplace(job.get(), job);
    callNextChild(job);
}

void Worker::callNextChild(const JobPtr &job)
{
    if (job->nextChild == m_init.children.size()) {
        run(job);
        return;
    }
    const auto &child = m_init.children[job->nextChild];
    const auto &parent = job->exchange->request();
    ExchangeRequest request{.method = parent.method, .target = child.target, .body = parent.body};
    request.headers.push_back({"Chicoryspar-Service", child.service});
    request.headers.push_back({"Chicoryspar-Call", std::string(findHeader(parent.headers, "Chicoryspar-Call"))});
    if (!job->key.empty()) {
        request.headers.push_back({"Idempotency-Key", deriveChildKey(job->key, job->nextChild)});
    }
    Duration timeout = kDefaultChildTimeout;
    if (const auto deadline = readNumberHeader(parent, "Chicoryspar-Deadline")) {
        timeout = std::chrono::milliseconds(std::max<std::int64_t>(1, *deadline - readWallMilliseconds()));
        request.headers.push_back({"Chicoryspar-Timeout-Ms", std::to_string(toMilliseconds(timeout))});
    }
    job->child = m_client.begin(m_init.nodeAddress, std::move(request), timeout,
                                [this, job](ExchangeEnd end, ExchangeResponse &response) { handleChildAnswer(job, end, response); });
}

void Worker::handleChildAnswer(const JobPtr &job, ExchangeEnd end, const ExchangeResponse &response)
{
    if (job->isDone) {
        return;
    }
    const auto outcome = findOutcome(findHeader(response.headers, "Chicoryspar-Outcome")).value_or(Outcome::Answer);
    const bool isNotRun = end == ExchangeEnd::NotSent || (end == ExchangeEnd::Answered && outcome == Outcome::NotRun);
    if (end == ExchangeEnd::Answered && outcome == Outcome::Answer && response.status < 300) {
        ++job->nextChild;
        callNextChild(job);
        return;
    }
    if (isNotRun && job->nextChild == 0) {
        const auto reason = findReason(findHeader(response.headers, "Chicoryspar-Reason")).value_or(Reason::ConnectFailed);
        refuse(job, reason);
        return;
    }
    const Json body = {{"error", "child call failed"}, {"child", m_init.children[job->nextChild].service}, {"end", nameOf(end)}};
    job->exchange->answer(makeJsonResponse(502, body));
    finish(job, "child-failed");
}

void Worker::run(const JobPtr &job)
{
    if (isExpired(job->exchange->request())) {
        if (job->nextChild == 0) {
            refuse(job, Reason::DeadlineExpired);
        } else {
            job->exchange->answer(makeJsonResponse(504, {{"error", "deadline expired after child calls"}}));
            finish(job, "expired");
        }
        return;
    }
    job->didRun = true;
    log(*job, "start", "");
    if (m_faults.isHanging) {
        m_hanging.push_back(job);
        job->timer.expires_at(Clock::time_point::max());
    } else {
        job->timer.expires_after(drawServiceTime());
    }
    job->timer.async_wait([this, job](const boost::system::error_code &) { answerAfterDelay(job); });
}

void Worker::answerAfterDelay(const JobPtr &job)
{
    if (job->isDone) {
        return;
    }
    if (m_faults.late.count() == 0 || !drawWithProbability(m_faults.lateShare)) {
        sendAnswer(job);
        return;
    }
    job->timer.expires_after(m_faults.late);
    job->timer.async_wait([this, job](const boost::system::error_code &) { sendAnswer(job); });
}

void Worker::sendAnswer(const JobPtr &job)
{
    if (job->isDone) {
        return;
    }
    const auto &request = job->exchange->request();
    Json body = {{"service", m_init.service},
                 {"instance", m_instance},
                 {"key", job->key},
                 {"root", job->root},
                 {"target", request.target},
                 {"bodyBytes", request.body.size()},
                 {"bodyHash", toHex(hashBytes(request.body))}};
    if (m_init.answerBytes > 0) {
        body["padding"] = std::string(m_init.answerBytes, 'x');
    }
    auto fault = AnswerFault::None;
    if (drawWithProbability(m_faults.truncated)) {
        fault = AnswerFault::Truncated;
    } else if (drawWithProbability(m_faults.doubled)) {
        fault = AnswerFault::Doubled;
    }
    job->exchange->answer(makeJsonResponse(200, body), fault);
    finish(job, "answered");
}

void Worker::finish(const JobPtr &job, std::string_view result)
{
    job->isDone = true;
    if (job->didRun) {
        log(*job, "end", result);
    }
    m_active.erase(job.get());
    startNext();
}

void Worker::refuse(const JobPtr &job, Reason reason)
{
    job->isDone = true;
    job->exchange->answer(makeRefusal(reason));
    m_active.erase(job.get());
    startNext();
}

void Worker::cancel(const JobPtr &job)
{
    if (job->isDone) {
        return;
    }
    m_client.cancel(job->child);
    finish(job, "cancelled");
    job->timer.cancel();
    const auto it = std::find(m_queue.begin(), m_queue.end(), job);
    if (it != m_queue.end()) {
        m_queue.erase(it);
    }
}

void Worker::beginDrain()
{
    m_isDraining = true;
    log(Job(m_io), "drain", "");
}

bool Worker::isDraining() const
{
    return m_isDraining;
}

bool Worker::isIdle() const
{
    return m_active.empty() && m_queue.empty();
}

void Worker::log(const Job &job, std::string_view event, std::string_view result)
{
    if (!m_log.is_open()) {
        return;
    }
    const Json line = {{"event", event},
                       {"key", job.key},
                       {"root", job.root},
                       {"fingerprint", job.fingerprint},
                       {"result", result},
                       {"wallMs", readWallMilliseconds()},
                       {"service", m_init.service},
                       {"instance", m_instance}};
    m_log << line.dump() << '\n' << std::flush;
}

void Worker::sampleLoad()
{
    m_samples.push_back({.taken = Clock::now(), .inFlight = m_active.size(), .queued = m_queue.size(), .isDraining = m_isDraining});
    while (m_samples.size() > 1 && Clock::now() - m_samples[1].taken >= m_init.endpointLag) {
        m_samples.pop_front();
    }
    m_sampleTimer.expires_after(kSampleInterval);
    m_sampleTimer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec) {
            sampleLoad();
        }
    });
}

LoadSample Worker::delayedSample() const
{
    return m_samples.front();
}

Duration Worker::drawServiceTime()
{
    double factor = m_faults.slow;
    const auto age = std::chrono::duration_cast<Duration>(Clock::now() - m_started);
    if (age < m_init.coldStart) {
        const auto elapsedFraction = static_cast<double>(age.count()) / static_cast<double>(m_init.coldStart.count());
        factor *= m_init.coldFactor - (m_init.coldFactor - 1.0) * elapsedFraction;
    }
    switch (m_init.distribution) {
    case ServiceTimeDistribution::Exponential:
        factor *= -std::log(1.0 - drawUnit(m_random));
        break;
    case ServiceTimeDistribution::Uniform:
        factor *= 0.5 + drawUnit(m_random);
        break;
    default:
        break;
    }
    return Duration(static_cast<std::int64_t>(static_cast<double>(m_init.serviceTime.count()) * factor));
}

bool Worker::drawWithProbability(double probability)
{
    return probability > 0 && drawUnit(m_random) < probability;
}

} // namespace chicoryspar::standin
