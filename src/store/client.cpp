/// @file
/// Client of the object API. A thread of its own reads and decodes the answers, so that large ones don't delay the node.

#include "store/http_call.h"

#include <chicoryspar/store.h>

#include <algorithm>
#include <charconv>
#include <mutex>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>

namespace chicoryspar {
namespace {

namespace asio = boost::asio;

constexpr double kMicrosPerSecond = 1e6;
constexpr int kStatusOk = 200;
/// Longest line of a watch: the largest object and its envelope.
constexpr std::size_t kMaxLineBytes = kMaxObjectBytes + 4096;

constexpr std::array<StoreError, static_cast<std::size_t>(HttpCallEnd::Count)> kEndErrors{
    StoreError::None, StoreError::Unreachable, StoreError::TimedOut, StoreError::Unreachable, StoreError::Malformed, StoreError::TimedOut,
};

/// Limits the rate of calls.
class TokenBucket
{
public:
    TokenBucket(double tokensPerSecond, double burst)
        : m_tokensPerSecond(tokensPerSecond)
        , m_burst(burst)
        , m_tokens(burst)
        , m_refilledAt(std::chrono::steady_clock::now())
    {
    }

    bool takeToken()
    {
        const std::lock_guard lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        const auto elapsed = std::chrono::duration_cast<Duration>(now - m_refilledAt);
        m_refilledAt = now;
        m_tokens = std::min(m_burst, m_tokens + static_cast<double>(elapsed.count()) / kMicrosPerSecond * m_tokensPerSecond);
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    std::mutex m_mutex;
    double m_tokensPerSecond;
    double m_burst;
    double m_tokens;
    std::chrono::steady_clock::time_point m_refilledAt;
};

StoreError errorOf(HttpCallEnd end)
{
    return kEndErrors.at(static_cast<std::size_t>(end));
}

/// Returns the store's era that an answer states; 0 if it states none.
std::uint64_t eraOf(const StoreDialect &dialect, const HttpCallAnswer &answer)
{
    const auto text = findHeader(answer, dialect.eraHeader());
    std::uint64_t era = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), era);
    return ec == std::errc() && end == text.data() + text.size() ? era : 0;
}

/// Answer to a call that isn't a watch.
struct StoreAnswer
{
    std::error_code ec;
    /// Empty on errors.
    std::string body;
    std::uint64_t era = 0;
};

using AnswerHandler = std::function<void(StoreAnswer answer)>;

/// Runs one watch: passes on the events of the answer until it ends.
class WatchReader
{
public:
    WatchReader(std::shared_ptr<const StoreDialect> dialect, ObjectKind kind, ObjectStore::EventHandler onEvent,
                ObjectStore::EndHandler onEnd)
        : m_dialect(std::move(dialect))
        , m_kind(kind)
        , m_onEvent(std::move(onEvent))
        , m_onEnd(std::move(onEnd))
    {
    }

    /// Handles a part of a stream, one event a line.
    /// @returns false when the watch has to end
    bool onPart(const HttpCallAnswer &head, std::string_view part)
    {
        if (head.status != kStatusOk) {
            return true;
        }
        m_lines += part;
        std::size_t begin = 0;
        for (auto end = m_lines.find('\n'); end != std::string::npos; end = m_lines.find('\n', begin)) {
            if (end > begin && !handleEvents(eraOf(*m_dialect, head), m_lines.substr(begin, end - begin))) {
                m_error = m_error == StoreError::None ? StoreError::Malformed : m_error;
                return false;
            }
            begin = end + 1;
        }
        m_lines.erase(0, begin);
        m_error = m_lines.size() > kMaxLineBytes ? StoreError::Malformed : StoreError::None;
        return m_error == StoreError::None;
    }

    void onEnd(const HttpCallAnswer &answer)
    {
        if (m_error != StoreError::None) {
            m_onEnd(m_error);
        } else if (answer.end != HttpCallEnd::Answered) {
            m_onEnd(errorOf(answer.end));
        } else if (answer.status != kStatusOk) {
            const auto ec = m_dialect->errorOf(answer.status, {});
            m_onEnd(ec ? ec : make_error_code(StoreError::Malformed));
        } else if (m_dialect->streamsEvents() || handleEvents(eraOf(*m_dialect, answer), answer.body)) {
            m_onEnd({});
        } else {
            m_onEnd(m_error == StoreError::None ? StoreError::Malformed : m_error);
        }
    }

private:
    /// Passes on the events in @a text.
    /// @returns false when @a text isn't valid or contains an error event
    bool handleEvents(std::uint64_t era, const std::string &text)
    {
        auto events = m_dialect->readEvents(m_kind, text);
        for (auto &it : events.value_or(std::vector<StoreEvent>())) {
            if (it.kind == StoreEventKind::Error) {
                m_error = StoreError::Expired;
                return false;
            }
            it.era = era;
            m_onEvent(it);
        }
        return events.has_value();
    }

    std::shared_ptr<const StoreDialect> m_dialect;
    ObjectKind m_kind;
    ObjectStore::EventHandler m_onEvent;
    ObjectStore::EndHandler m_onEnd;
    StoreError m_error = StoreError::None;
    /// Received after the last line end.
    std::string m_lines;
};

class StoreClient : public ObjectStore
{
public:
    explicit StoreClient(StoreClientOptions options)
        : m_options(std::move(options))
        , m_bucket(m_options.callsPerSecond, m_options.burst)
    {
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~StoreClient() override
    {
        m_io.stop();
        m_thread.join();
    }

    void listObjects(ObjectKind kind, ListHandler handler) override
    {
        listPagesFrom(kind, {}, ObjectList(), std::move(handler));
    }

    void getObject(ObjectKind kind, const std::string &name, ObjectHandler handler) override
    {
        sendCall("GET", {.path = dialect().objectPath(kind, name)}, makeDecodingHandler(kind, std::move(handler)));
    }

    void createObject(ObjectKind kind, const std::string &object, ObjectHandler handler) override
    {
        sendCall("POST", dialect().createCall(kind, object), makeDecodingHandler(kind, std::move(handler)));
    }

    void replaceObject(ObjectKind kind, const std::string &name, const std::string &object, ObjectHandler handler) override
    {
        sendCall("PUT", dialect().replaceCall(kind, name, object), makeDecodingHandler(kind, std::move(handler)));
    }

    void replaceStatus(ObjectKind kind, const std::string &name, const std::string &object, ObjectHandler handler) override
    {
        sendCall("PUT", dialect().replaceStatusCall(kind, name, object), makeDecodingHandler(kind, std::move(handler)));
    }

    void removeObject(ObjectKind kind, const std::string &name, std::uint64_t version, ObjectHandler handler) override
    {
        sendCall("DELETE", dialect().removeCall(kind, name, version),
                 [handler = std::move(handler)](StoreAnswer answer) { handler(answer.ec, std::move(answer.body)); });
    }

    void watchObjects(const WatchRequest &request, EventHandler onEvent, EndHandler onEnd) override
    {
        if (!m_bucket.takeToken()) {
            onEnd(StoreError::Throttled);
            return;
        }
        const auto reader = std::make_shared<WatchReader>(m_options.dialect, request.kind, std::move(onEvent), std::move(onEnd));
        HttpCall::BodyHandler onPart;
        if (dialect().streamsEvents()) {
            onPart = [reader](const HttpCallAnswer &head, std::string_view part) { return reader->onPart(head, part); };
        }
        HttpCall::begin(
            m_io,
            {.address = m_options.address,
             .verb = "GET",
             .target = dialect().watchPath(request),
             .timeout = request.duration + m_options.watchGrace},
            [reader](const HttpCallAnswer &answer) { reader->onEnd(answer); }, std::move(onPart));
    }

private:
    const StoreDialect &dialect() const
    {
        return *m_options.dialect;
    }

    /// Lists page by page. The list takes the version of the first page, so that a watch from there misses no change made during the
    /// listing. Pages of different eras don't make a list.
    void listPagesFrom(ObjectKind kind, const std::string &after, ObjectList list, ListHandler handler)
    {
        sendCall("GET", {.path = dialect().listPath(kind, after)},
                 [this, kind, list = std::move(list), handler = std::move(handler)](const StoreAnswer &answer) mutable {
                     auto page = answer.ec ? std::nullopt : dialect().readPage(kind, answer.body);
                     if (!page) {
                         handler(answer.ec ? answer.ec : make_error_code(StoreError::Malformed), {});
                         return;
                     }
                     const bool isFirst = list.version == 0;
                     if (!isFirst && answer.era != list.era) {
                         handler(StoreError::Expired, {});
                         return;
                     }
                     list.version = isFirst ? page->list.version : list.version;
                     list.era = answer.era;
                     std::move(page->list.objects.begin(), page->list.objects.end(), std::back_inserter(list.objects));
                     if (page->next.empty()) {
                         handler({}, std::move(list));
                         return;
                     }
                     listPagesFrom(kind, page->next, std::move(list), std::move(handler));
                 });
    }

    /// Returns a handler that translates the stored object to the product's form before it calls @a handler.
    AnswerHandler makeDecodingHandler(ObjectKind kind, ObjectHandler handler) const
    {
        return [dialect = m_options.dialect, kind, handler = std::move(handler)](const StoreAnswer &answer) {
            auto object = answer.ec ? std::nullopt : dialect->readObject(kind, answer.body);
            handler(!answer.ec && !object ? make_error_code(StoreError::Malformed) : answer.ec, std::move(object).value_or(std::string()));
        };
    }

    void sendCall(const std::string &verb, StoreCallParts call, AnswerHandler handler)
    {
        if (!m_bucket.takeToken()) {
            handler({.ec = StoreError::Throttled});
            return;
        }
        HttpCall::begin(m_io,
                        {.address = m_options.address,
                         .verb = verb,
                         .target = std::move(call.path),
                         .body = std::move(call.body),
                         .timeout = m_options.callTimeout},
                        [dialect = m_options.dialect, handler = std::move(handler)](HttpCallAnswer answer) {
                            if (answer.end != HttpCallEnd::Answered) {
                                handler({.ec = errorOf(answer.end)});
                                return;
                            }
                            const auto ec = dialect->errorOf(answer.status, answer.body);
                            handler({.ec = ec, .body = ec ? std::string() : std::move(answer.body), .era = eraOf(*dialect, answer)});
                        });
    }

    StoreClientOptions m_options;
    TokenBucket m_bucket;
    asio::io_context m_io{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_io.get_executor()};
    std::thread m_thread;
};

} // namespace

std::unique_ptr<ObjectStore> createStoreClient(StoreClientOptions options)
{
    return std::make_unique<StoreClient>(std::move(options));
}

} // namespace chicoryspar
