/// @file
/// HTTP client of the object API on cpprestsdk.

#define _TURN_OFF_PLATFORM_STRING

#include <chicoryspar/store.h>

#include <algorithm>
#include <mutex>

#include <cpprest/containerstream.h>
#include <cpprest/http_client.h>
#include <pplx/threadpool.h>

namespace chicoryspar {
namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::method;
using web::http::methods;
using web::http::client::http_client;
using web::http::client::http_client_config;

constexpr std::size_t kHttpThreads = 2;
constexpr double kMicrosPerSecond = 1e6;
/// Longest line of a watch: the largest object and its envelope.
constexpr std::size_t kMaxLineBytes = kMaxObjectBytes + 4096;

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

http_client_config makeConfig(Duration timeout)
{
    http_client_config config;
    config.set_timeout(timeout);
    return config;
}

/// Returns the store error for an exception of the HTTP library.
std::error_code errorOf(const std::exception_ptr &error)
{
    try {
        std::rethrow_exception(error);
    } catch (const web::http::http_exception &it) {
        const bool isTimeout = it.error_code() == std::errc::timed_out || it.error_code() == std::errc::operation_canceled;
        return isTimeout ? StoreError::TimedOut : StoreError::Unreachable;
    } catch (const pplx::task_canceled &) {
        return StoreError::TimedOut;
    } catch (const std::exception &) {
        return StoreError::Unreachable;
    }
}

/// Returns the store's era that an answer states; 0 if it states none.
std::uint64_t eraOf(const StoreDialect &dialect, const http_response &response)
{
    std::uint64_t era = 0;
    response.headers().match(dialect.eraHeader(), era);
    return era;
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
class WatchReader : public std::enable_shared_from_this<WatchReader>
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

    /// @param client kept alive until the watch has ended
    void begin(std::shared_ptr<http_client> client, const http_request &request, const pplx::cancellation_token &token)
    {
        m_client = std::move(client);
        m_client->request(request, token).then([self = shared_from_this()](const pplx::task<http_response> &task) {
            try {
                self->onResponse(task.get());
            } catch (...) {
                self->end(errorOf(std::current_exception()));
            }
        });
    }

private:
    void onResponse(const http_response &response)
    {
        if (response.status_code() != web::http::status_codes::OK) {
            end(m_dialect->errorOf(response.status_code(), {}));
            return;
        }
        m_era = eraOf(*m_dialect, response);
        if (m_dialect->streamsEvents()) {
            m_body = response.body();
            readNextLine();
            return;
        }
        response.extract_string(true).then([self = shared_from_this()](const pplx::task<std::string> &task) {
            try {
                self->end(self->handleEvents(task.get()) ? std::error_code() : make_error_code(StoreError::Malformed));
            } catch (...) {
                self->end(errorOf(std::current_exception()));
            }
        });
    }

    /// Passes on the events in @a text.
    /// @returns false when @a text isn't valid or contains an error event
    bool handleEvents(const std::string &text)
    {
        auto events = m_dialect->readEvents(m_kind, text);
        for (auto &it : events.value_or(std::vector<StoreEvent>())) {
            if (it.kind == StoreEventKind::Error) {
                m_readError = StoreError::Expired;
                return false;
            }
            it.era = m_era;
            m_onEvent(it);
        }
        return events.has_value();
    }

    void readNextLine()
    {
        const concurrency::streams::container_buffer<std::string> buf;
        m_body.read_line(buf).then([self = shared_from_this(), buf](const pplx::task<std::size_t> &task) {
            try {
                self->onLine(buf.collection(), task.get());
            } catch (...) {
                self->end(errorOf(std::current_exception()));
            }
        });
    }

    void onLine(const std::string &line, std::size_t count)
    {
        if (count == 0 && line.empty()) {
            end({});
            return;
        }
        if (line.size() > kMaxLineBytes || !handleEvents(line)) {
            end(m_readError);
            return;
        }
        readNextLine();
    }

    void end(std::error_code ec)
    {
        m_onEnd(ec);
    }

    std::shared_ptr<const StoreDialect> m_dialect;
    ObjectKind m_kind;
    ObjectStore::EventHandler m_onEvent;
    ObjectStore::EndHandler m_onEnd;
    StoreError m_readError = StoreError::Malformed;
    std::uint64_t m_era = 0;
    std::shared_ptr<http_client> m_client;
    concurrency::streams::istream m_body;
};

class StoreClient : public ObjectStore
{
public:
    explicit StoreClient(StoreClientOptions options)
        : m_options(std::move(options))
        , m_uri("http://" + m_options.address)
        , m_bucket(m_options.callsPerSecond, m_options.burst)
    {
    }

    ~StoreClient() override
    {
        m_cancelSource.cancel();
    }

    void listObjects(ObjectKind kind, ListHandler handler) override
    {
        listPagesFrom(kind, {}, ObjectList(), std::move(handler));
    }

    void getObject(ObjectKind kind, const std::string &name, ObjectHandler handler) override
    {
        sendCall(methods::GET, {.path = dialect().objectPath(kind, name)}, makeDecodingHandler(kind, std::move(handler)));
    }

    void createObject(ObjectKind kind, const std::string &object, ObjectHandler handler) override
    {
        sendCall(methods::POST, dialect().createCall(kind, object), makeDecodingHandler(kind, std::move(handler)));
    }

    void replaceObject(ObjectKind kind, const std::string &name, const std::string &object, ObjectHandler handler) override
    {
        sendCall(methods::PUT, dialect().replaceCall(kind, name, object), makeDecodingHandler(kind, std::move(handler)));
    }

    void replaceStatus(ObjectKind kind, const std::string &name, const std::string &object, ObjectHandler handler) override
    {
        sendCall(methods::PUT, dialect().replaceStatusCall(kind, name, object), makeDecodingHandler(kind, std::move(handler)));
    }

    void removeObject(ObjectKind kind, const std::string &name, std::uint64_t version, ObjectHandler handler) override
    {
        sendCall(methods::DEL, dialect().removeCall(kind, name, version),
                 [handler = std::move(handler)](StoreAnswer answer) { handler(answer.ec, std::move(answer.body)); });
    }

    void watchObjects(const WatchRequest &request, EventHandler onEvent, EndHandler onEnd) override
    {
        if (!m_bucket.takeToken()) {
            onEnd(StoreError::Throttled);
            return;
        }
        http_request message(methods::GET);
        message.set_request_uri(dialect().watchPath(request));
        const auto client = std::make_shared<http_client>(m_uri, makeConfig(request.duration + m_options.watchGrace));
        std::make_shared<WatchReader>(m_options.dialect, request.kind, std::move(onEvent), std::move(onEnd))
            ->begin(client, message, m_cancelSource.get_token());
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
        sendCall(methods::GET, {.path = dialect().listPath(kind, after)},
                 [this, kind, list = std::move(list), handler = std::move(handler),
                  token = m_cancelSource.get_token()](const StoreAnswer &answer) mutable {
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
                     if (page->next.empty() || token.is_canceled()) {
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

    void sendCall(const method &verb, const StoreCallParts &call, AnswerHandler handler)
    {
        if (!m_bucket.takeToken()) {
            handler({.ec = StoreError::Throttled});
            return;
        }
        http_request message(verb);
        message.set_request_uri(call.path);
        if (!call.body.empty()) {
            message.set_body(call.body, "application/json");
        }
        // Each call has its own connection. A reused one may have gone silent, or may close: then the library resends the request, which
        // could run a write twice.
        const auto client = std::make_shared<http_client>(m_uri, makeConfig(m_options.callTimeout));
        // The client must outlive its calls.
        client->request(message, m_cancelSource.get_token())
            .then([dialect = m_options.dialect](const http_response &response) {
                const auto status = response.status_code();
                return response.extract_string(true).then([dialect, status, era = eraOf(*dialect, response)](std::string text) {
                    const auto ec = dialect->errorOf(status, text);
                    return StoreAnswer{.ec = ec, .body = ec ? std::string() : std::move(text), .era = era};
                });
            })
            .then([handler = std::move(handler), client](const pplx::task<StoreAnswer> &task) {
                StoreAnswer answer;
                try {
                    answer = task.get();
                } catch (...) {
                    answer = {.ec = errorOf(std::current_exception())};
                }
                handler(std::move(answer));
            });
    }

    StoreClientOptions m_options;
    web::uri m_uri;
    TokenBucket m_bucket;
    pplx::cancellation_token_source m_cancelSource;
};

} // namespace

std::unique_ptr<ObjectStore> createStoreClient(StoreClientOptions options)
{
    limitHttpThreads();
    return std::make_unique<StoreClient>(std::move(options));
}

void limitHttpThreads()
{
    static std::once_flag s_once;
    std::call_once(s_once, [] {
        try {
            crossplat::threadpool::initialize_with_threads(kHttpThreads);
        } catch (const std::exception &) {
            // The thread pool exists already; its size can't be changed any more.
        }
    });
}

} // namespace chicoryspar
