/// @file
/// HTTP server of the stand-in platform.

#define _TURN_OFF_PLATFORM_STRING

#include "standins/platform/platform_server.h"

#include "config/fields.h"
#include "standins/platform/watch_stream.h"
#include "store/listener_cpprest.h"

#include <chicoryspar/store.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <list>
#include <mutex>
#include <thread>

namespace chicoryspar::standin {
namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::methods;
using web::http::experimental::listener::http_listener;

constexpr std::uint64_t kMaxPercent = 100;
constexpr std::uint64_t kMaxSlowMilliseconds = 600'000;
constexpr std::uint64_t kMaxStaleVersions = 1'000'000;
constexpr std::chrono::milliseconds kTickInterval(10);
constexpr std::uint64_t kDefaultWatchSeconds = 300;
constexpr std::string_view kApiRoot = "apis";
constexpr int kGone = 410;
constexpr int kBadRequest = 400;
constexpr int kMethodNotAllowed = 405;

constexpr std::array<CallKindRow, static_cast<std::size_t>(CallKind::Count)> kCallKinds{{
    {"get", false},
    {"list", false},
    {"watch", false},
    {"create", true},
    {"update", true},
    {"update-status", true},
    {"delete", true},
    {"unknown", false},
}};

constexpr std::array<Field<PlatformFaults>, 8> kFaultFields{{
    {"down", &PlatformFaults::down},
    {"silent", &PlatformFaults::silent},
    {"slowMs", &PlatformFaults::slow, 0, kMaxSlowMilliseconds},
    {"answerLost", &PlatformFaults::answerLost},
    {"errorShare", &PlatformFaults::errorShare, 0, kMaxPercent},
    {"staleListVersions", &PlatformFaults::staleListVersions, 0, kMaxStaleVersions},
    {"duplicateWatchEvents", &PlatformFaults::duplicateWatchEvents},
    {"reorderWatchEvents", &PlatformFaults::reorderWatchEvents},
}};

/// A call to the object API, parsed from path, query and method.
struct ApiCall
{
    CallKind callKind = CallKind::Unknown;
    ObjectKind kind = ObjectKind::Count;
    std::string name;
    std::map<std::string, std::string> query;
    Json body;
};

CallKind callKindOf(const std::string &method, bool hasName, bool isStatus, bool isWatch)
{
    if (method == methods::GET) {
        return hasName ? CallKind::Get : (isWatch ? CallKind::Watch : CallKind::List);
    }
    if (method == methods::POST && !hasName) {
        return CallKind::Create;
    }
    if (method == methods::PUT && hasName) {
        return isStatus ? CallKind::UpdateStatus : CallKind::Update;
    }
    return method == methods::DEL && hasName && !isStatus ? CallKind::Delete : CallKind::Unknown;
}

ApiCall readCall(const http_request &request, const std::vector<std::string> &path)
{
    constexpr std::size_t kKindSegmentIndex = 3;
    constexpr std::size_t kNameSegmentIndex = 4;
    constexpr std::size_t kStatusSegmentIndex = 5;
    ApiCall call;
    if (path.size() <= kKindSegmentIndex || path[0] != kApiRoot || path[1] + "/" + path[2] != kApiVersion) {
        return call;
    }
    call.kind = findObjectKind(path[kKindSegmentIndex]).value_or(ObjectKind::Count);
    call.name = path.size() > kNameSegmentIndex ? path[kNameSegmentIndex] : std::string();
    call.query = web::uri::split_query(request.request_uri().query());
    const bool isStatus = path.size() > kStatusSegmentIndex && path[kStatusSegmentIndex] == "status";
    call.callKind = call.kind == ObjectKind::Count
        ? CallKind::Unknown
        : callKindOf(request.method(), !call.name.empty(), isStatus, call.query["watch"] == "true");
    return call;
}

std::uint64_t queryNumber(const std::map<std::string, std::string> &query, const std::string &key, std::uint64_t fallback)
{
    const auto it = query.find(key);
    return it == query.end() || it->second.empty() ? fallback : std::strtoull(it->second.c_str(), nullptr, 10);
}

WallTime wallNow()
{
    return WallTime(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()));
}

} // namespace

const CallKindRow &rowOf(CallKind value)
{
    return kCallKinds.at(static_cast<std::size_t>(value));
}

/// Implementation of PlatformServer.
class PlatformServerImpl
{
public:
    explicit PlatformServerImpl(PlatformServerOptions options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
    {
    }

    ~PlatformServerImpl()
    {
        close();
    }

    void open();
    void close();
    std::uint16_t port() const
    {
        return m_options.port;
    }
    void setFaults(const PlatformFaults &faults);
    void compact();
    void restoreTable(std::uint64_t versionsBack);
    std::uint64_t calls(CallKind kind) const;
    ApiAnswer read(ObjectKind kind, const std::string &name) const;

private:
    struct DelayedCall
    {
        SteadyTime due;
        http_request request;
        ApiCall call;
    };

    void sendAnswer(const http_request &request, const ApiAnswer &answer) const;
    void handleRequest(const http_request &request);
    void handleAdmin(const http_request &request, const std::vector<std::string> &path, const Json &body);
    void handleCall(const http_request &request, const ApiCall &call);
    void finishCall(const http_request &request, const ApiCall &call);
    void startWatch(const http_request &request, const ApiCall &call);
    ApiAnswer runCall(const ApiCall &call);
    Json describeCalls() const;
    void runTicks();
    void runDelayedCalls(SteadyTime now);
    void tickWatches(SteadyTime now);
    void restore(std::uint64_t versionsBack);

    PlatformServerOptions m_options;
    std::shared_ptr<const StoreDialect> m_dialect = nativeStoreDialect();
    std::unique_ptr<http_listener> m_listener;
    std::thread m_ticker;
    std::condition_variable m_wakeTicker;
    mutable std::mutex m_mutex;
    // m_mutex guards all following members.
    bool m_isStopping = false;
    Random m_random;
    ObjectTable m_table;
    PlatformFaults m_faults;
    std::array<std::uint64_t, static_cast<std::size_t>(CallKind::Count)> m_calls{};
    std::list<DelayedCall> m_delayed;
    /// Requests that get no answer until the server closes.
    std::vector<http_request> m_unanswered;
    std::list<WatchStream> m_watches;
};

void PlatformServerImpl::open()
{
    m_listener = openHttpListener(m_options.address, m_options.port, [this](const http_request &request) { handleRequest(request); });
    m_ticker = std::thread([this] { runTicks(); });
}

void PlatformServerImpl::close()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopping) {
            return;
        }
        m_isStopping = true;
        const auto answer = makeErrorAnswer(503, "ServiceUnavailable", "the stand-in stops");
        for (const auto &it : m_delayed) {
            sendAnswer(it.request, answer);
        }
        for (const auto &it : m_unanswered) {
            sendAnswer(it, answer);
        }
        for (auto &it : m_watches) {
            it.close();
        }
        m_watches.clear();
    }
    m_wakeTicker.notify_all();
    if (m_ticker.joinable()) {
        m_ticker.join();
    }
    if (m_listener) {
        m_listener->close().wait();
    }
}

void PlatformServerImpl::sendAnswer(const http_request &request, const ApiAnswer &answer) const
{
    http_response response(static_cast<web::http::status_code>(answer.status));
    response.headers().add(m_dialect->eraHeader(), m_table.era());
    response.set_body(answer.body.dump(), "application/json");
    request.reply(response);
}

void PlatformServerImpl::handleRequest(const http_request &request)
{
    auto received = request;
    received.extract_string(true).then([this, request](const pplx::task<std::string> &task) {
        try {
            const auto text = task.get();
            const auto path = web::uri::split_path(request.relative_uri().path());
            auto body = Json::parse(text, nullptr, false);
            const std::lock_guard lock(m_mutex);
            if (!path.empty() && path[0] == "standin") {
                handleAdmin(request, path, body);
                return;
            }
            auto call = readCall(request, path);
            call.body = std::move(body);
            handleCall(request, call);
        } catch (const std::exception &error) {
            const std::lock_guard lock(m_mutex);
            sendAnswer(request, makeErrorAnswer(kBadRequest, "BadRequest", error.what()));
        }
    });
}

void PlatformServerImpl::handleAdmin(const http_request &request, const std::vector<std::string> &path, const Json &body)
{
    const auto what = path.size() > 1 ? path[1] : std::string();
    if (what == "calls") {
        sendAnswer(request, {.body = describeCalls()});
    } else if (what == "compact" && request.method() == methods::POST) {
        m_table.compact();
        sendAnswer(request, {.body = Json::object()});
    } else if (what == "restore" && request.method() == methods::POST) {
        restore(body.is_object() ? body.value("versionsBack", std::uint64_t{0}) : 0);
        sendAnswer(request, {.body = Json::object()});
    } else if (what == "faults" && request.method() == methods::POST) {
        ObjectFindings findings;
        const auto faults = readFields(body, "faults", kFaultFields, findings);
        findings.faults.insert(findings.faults.end(), findings.unknownKeys.begin(), findings.unknownKeys.end());
        if (!findings.faults.empty()) {
            sendAnswer(request, makeErrorAnswer(kBadRequest, "BadRequest", toString(findings.faults)));
            return;
        }
        m_faults = faults;
        sendAnswer(request, {.body = Json::object()});
    } else {
        sendAnswer(request, makeErrorAnswer(404, "NotFound", "known: /standin/calls, /standin/faults, /standin/compact, /standin/restore"));
    }
}

void PlatformServerImpl::handleCall(const http_request &request, const ApiCall &call)
{
    ++m_calls.at(static_cast<std::size_t>(call.callKind));
    if (m_isStopping || m_faults.down) {
        sendAnswer(request, makeErrorAnswer(503, "ServiceUnavailable", "the store is down"));
        return;
    }
    if (m_faults.silent) {
        m_unanswered.push_back(request);
        return;
    }
    if (m_faults.errorShare > 0 && drawBelow(m_random, kMaxPercent) < m_faults.errorShare) {
        sendAnswer(request, makeErrorAnswer(500, "InternalError", "the store failed"));
        return;
    }
    if (m_faults.slow > Duration::zero()) {
        m_delayed.push_back({std::chrono::steady_clock::now() + m_faults.slow, request, call});
        return;
    }
    finishCall(request, call);
}

void PlatformServerImpl::finishCall(const http_request &request, const ApiCall &call)
{
    if (call.callKind == CallKind::Watch) {
        startWatch(request, call);
        return;
    }
    const auto answer = runCall(call);
    if (m_faults.answerLost && rowOf(call.callKind).isWrite) {
        m_unanswered.push_back(request);
    } else {
        sendAnswer(request, answer);
    }
    for (auto &it : m_watches) {
        it.writeEvents(m_table, {m_faults.duplicateWatchEvents, m_faults.reorderWatchEvents});
    }
}

ApiAnswer PlatformServerImpl::runCall(const ApiCall &call)
{
    switch (call.callKind) {
    case CallKind::Get:
        return m_table.read(call.kind, call.name);
    case CallKind::List:
        return m_table.list(call.kind, m_faults.staleListVersions);
    case CallKind::Create:
        return m_table.create(wallNow(), call.kind, call.body);
    case CallKind::Update:
        return m_table.replace(call.kind, call.name, call.body);
    case CallKind::UpdateStatus:
        return m_table.replaceStatus(call.kind, call.name, call.body);
    case CallKind::Delete:
        return m_table.remove(call.kind, call.name,
                              call.body.is_object() ? call.body.value(Json::json_pointer("/preconditions/resourceVersion"), std::string())
                                                    : std::string());
    default:
        return makeErrorAnswer(kMethodNotAllowed, "MethodNotAllowed", "no such call");
    }
}

void PlatformServerImpl::startWatch(const http_request &request, const ApiCall &call)
{
    const auto version = queryNumber(call.query, "resourceVersion", m_table.version());
    if (version < m_table.compactedVersion() || version > m_table.version()) {
        sendAnswer(request, makeErrorAnswer(kGone, "Expired", "the version is compacted or was never given out; list again"));
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::seconds timeout(queryNumber(call.query, "timeoutSeconds", kDefaultWatchSeconds));
    auto &watch = m_watches.emplace_back(call.kind, version, now + timeout, now + m_options.bookmarkInterval);
    http_response response(web::http::status_codes::OK);
    response.headers().add(m_dialect->eraHeader(), m_table.era());
    response.set_body(watch.body(), "application/json");
    request.reply(response);
    watch.writeEvents(m_table, {m_faults.duplicateWatchEvents, m_faults.reorderWatchEvents});
}

Json PlatformServerImpl::describeCalls() const
{
    Json calls = Json::object();
    for (std::size_t n = 0; n < m_calls.size(); ++n) {
        calls[std::string(kCallKinds[n].name)] = m_calls[n];
    }
    return calls;
}

void PlatformServerImpl::runTicks()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        m_wakeTicker.wait_for(lock, kTickInterval);
        const auto now = std::chrono::steady_clock::now();
        runDelayedCalls(now);
        tickWatches(now);
    }
}

void PlatformServerImpl::runDelayedCalls(SteadyTime now)
{
    std::list<DelayedCall> due;
    for (auto it = m_delayed.begin(); it != m_delayed.end();) {
        const auto next = std::next(it);
        if (it->due <= now) {
            due.splice(due.end(), m_delayed, it);
        }
        it = next;
    }
    for (const auto &it : due) {
        finishCall(it.request, it.call);
    }
}

void PlatformServerImpl::tickWatches(SteadyTime now)
{
    if (m_faults.silent) {
        return;
    }
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        if (m_faults.down || it->isOver(now)) {
            it->close();
            it = m_watches.erase(it);
            continue;
        }
        it->writeBookmark(now, m_table, m_options.bookmarkInterval);
        ++it;
    }
}

void PlatformServerImpl::setFaults(const PlatformFaults &faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
}

void PlatformServerImpl::compact()
{
    const std::lock_guard lock(m_mutex);
    m_table.compact();
}

/// Returns to an older copy, and cuts off open watches.
void PlatformServerImpl::restore(std::uint64_t versionsBack)
{
    m_table.restore(versionsBack);
    for (auto &it : m_watches) {
        it.close();
    }
    m_watches.clear();
}

void PlatformServerImpl::restoreTable(std::uint64_t versionsBack)
{
    const std::lock_guard lock(m_mutex);
    restore(versionsBack);
}

std::uint64_t PlatformServerImpl::calls(CallKind kind) const
{
    const std::lock_guard lock(m_mutex);
    return m_calls.at(static_cast<std::size_t>(kind));
}

ApiAnswer PlatformServerImpl::read(ObjectKind kind, const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    return m_table.read(kind, name);
}

PlatformServer::PlatformServer(PlatformServerOptions options)
    : m_impl(std::make_unique<PlatformServerImpl>(std::move(options)))
{
}

PlatformServer::~PlatformServer() = default;

void PlatformServer::open()
{
    m_impl->open();
}

std::uint16_t PlatformServer::port() const
{
    return m_impl->port();
}

void PlatformServer::setFaults(const PlatformFaults &faults)
{
    m_impl->setFaults(faults);
}

void PlatformServer::compact()
{
    m_impl->compact();
}

void PlatformServer::restore(std::uint64_t versionsBack)
{
    m_impl->restoreTable(versionsBack);
}

std::uint64_t PlatformServer::calls(CallKind kind) const
{
    return m_impl->calls(kind);
}

ApiAnswer PlatformServer::read(ObjectKind kind, const std::string &name) const
{
    return m_impl->read(kind, name);
}

} // namespace chicoryspar::standin
