/// @file
/// Blocking reads and writes. After a write without an answer the change id is read back to find out whether the write took effect.

#include <chicoryspar/store.h>

#include <algorithm>
#include <future>
#include <thread>

namespace chicoryspar {
namespace {

/// Returns a handler and the future result that it sets. The handler owns the promise, so it may be called after the future is gone.
template<typename Result, typename... HandlerArgs>
std::pair<std::future<Result>, std::function<void(HandlerArgs...)>> makeWaitingHandler()
{
    auto promise = std::make_shared<std::promise<Result>>();
    auto future = promise->get_future();
    return {std::move(future), [promise](HandlerArgs... args) { promise->set_value(Result{std::move(args)...}); }};
}

WriteResult sendWrite(ObjectStore &store, const WriteRequest &request)
{
    auto [future, handler] = makeWaitingHandler<WriteResult, std::error_code, std::string>();
    switch (request.kind) {
    case WriteKind::Create:
        store.createObject(request.objectKind, request.object, handler);
        break;
    case WriteKind::Replace:
        store.replaceObject(request.objectKind, request.name, request.object, handler);
        break;
    default:
        store.removeObject(request.objectKind, request.name, request.version, handler);
        break;
    }
    return future.get();
}

/// Returns whether the object read back shows that the change took effect.
bool hasTakenEffect(const WriteRequest &request, const ReadResult &read)
{
    if (request.kind == WriteKind::Remove) {
        return read.ec == StoreError::NotFound;
    }
    return !read.ec && changeIdOf(read.object) == request.changeId;
}

bool isRefusal(std::error_code ec)
{
    return ec == StoreError::Conflict || ec == StoreError::AlreadyExists || ec == StoreError::NotFound;
}

Duration drawBackoff(Random &random, Duration backoff)
{
    const auto half = backoff / 2;
    return half + Duration(static_cast<Duration::rep>(drawUnit(random) * static_cast<double>(half.count())));
}

} // namespace

ReadResult readObject(ObjectStore &store, ObjectKind kind, const std::string &name)
{
    auto [future, handler] = makeWaitingHandler<ReadResult, std::error_code, std::string>();
    store.getObject(kind, name, std::move(handler));
    return future.get();
}

ListResult readObjects(ObjectStore &store, ObjectKind kind)
{
    auto [future, handler] = makeWaitingHandler<ListResult, std::error_code, ObjectList>();
    store.listObjects(kind, std::move(handler));
    return future.get();
}

WriteResult writeObject(ObjectStore &store, const WriteRequest &request, const WriteOptions &options, Random &random)
{
    const auto sleep = options.sleep ? options.sleep : [](Duration duration) { std::this_thread::sleep_for(duration); };
    auto backoff = options.minBackoff;
    bool hadUncertainAttempt = false;
    WriteResult result;
    for (int n = 0; n < options.attempts; ++n) {
        if (n > 0) {
            sleep(drawBackoff(random, backoff));
            backoff = std::min(backoff * 2, options.maxBackoff);
        }
        result = sendWrite(store, request);
        if (!result.ec) {
            result.wasReadBack = hadUncertainAttempt;
            return result;
        }
        hadUncertainAttempt = hadUncertainAttempt || isUncertain(result.ec);
        // After an uncertain attempt the object is read to find out whether that attempt took effect; if it did, further attempts are
        // refused. After a plain refusal the read returns the version of the other writer.
        const auto read =
            hadUncertainAttempt || isRefusal(result.ec) ? readObject(store, request.objectKind, request.name) : ReadResult{result.ec, {}};
        if (hadUncertainAttempt && hasTakenEffect(request, read)) {
            return {{}, read.object, true};
        }
        if (isRefusal(result.ec) && !isUncertain(read.ec)) {
            return {result.ec, read.object, false};
        }
        if (!isUncertain(result.ec) && !isRefusal(result.ec) && result.ec != StoreError::Throttled) {
            return result;
        }
    }
    result.wasReadBack = false;
    return result;
}

} // namespace chicoryspar
