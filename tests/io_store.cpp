/// @file
/// Tests of the store client against the platform stand-in over loopback, also with the faults that the stand-in injects.

#include "standins/platform/platform_server.h"

#include <chicoryspar/store.h>

#include <condition_variable>
#include <mutex>

#include <gtest/gtest.h>

using namespace chicoryspar;
using namespace std::chrono_literals;
using standin::CallKind;

namespace {

constexpr Duration kCallTimeout = 400ms;

std::string makePolicyText(std::uint64_t budget, const std::string &changeId, const std::string &version = {})
{
    return R"({"apiVersion":"chicoryspar.io/v1","kind":"RetryPolicy","metadata":{"name":"p","resourceVersion":")" + version
        + R"(","annotations":{"chicoryspar.io/change-id":")" + changeId + R"("}},"spec":{"budget":)" + std::to_string(budget) + "}}";
}

WriteRequest makeWrite(WriteKind kind, std::uint64_t budget, const std::string &changeId, std::uint64_t version = 0)
{
    return {.kind = kind,
            .objectKind = ObjectKind::RetryPolicy,
            .name = "p",
            .object = makePolicyText(budget, changeId, version == 0 ? std::string() : std::to_string(version)),
            .changeId = changeId,
            .version = version};
}

/// Events of a watch, collected on the library's threads.
class WatchLog
{
public:
    ObjectStore::EventHandler eventHandler()
    {
        return [this](StoreEvent event) {
            const std::lock_guard lock(m_mutex);
            if (event.kind != StoreEventKind::Bookmark) {
                m_events.push_back(std::move(event));
            }
            m_changed.notify_all();
        };
    }
    ObjectStore::EndHandler endHandler()
    {
        return [this](std::error_code ec) {
            const std::lock_guard lock(m_mutex);
            m_end = ec;
            m_changed.notify_all();
        };
    }
    std::vector<StoreEvent> waitForEvents(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, 10s, [&] { return m_events.size() >= count || m_end; });
        return m_events;
    }
    std::optional<std::error_code> waitForEnd()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, 10s, [&] { return m_end.has_value(); });
        return m_end;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<StoreEvent> m_events;
    std::optional<std::error_code> m_end;
};

class PlatformTest : public testing::Test
{
protected:
    PlatformTest()
    {
        server.open();
        client = createStoreClient({.address = "127.0.0.1:" + std::to_string(server.port()), .callTimeout = kCallTimeout});
        options.minBackoff = 5ms;
        options.maxBackoff = 20ms;
    }

    WriteResult write(const WriteRequest &request)
    {
        return writeObject(*client, request, options, random);
    }

    standin::PlatformServer server{{}};
    std::unique_ptr<ObjectStore> client;
    WriteOptions options;
    Random random{1};
};

} // namespace

TEST_F(PlatformTest, WritesReadsListsAndRemoves)
{
    EXPECT_FALSE(write(makeWrite(WriteKind::Create, 1, "c1")).ec);
    EXPECT_FALSE(write(makeWrite(WriteKind::Replace, 2, "c2", 1)).ec);
    const auto list = readObjects(*client, ObjectKind::RetryPolicy);
    ASSERT_EQ(list.list.objects.size(), 1U);
    EXPECT_EQ(list.list.version, 2U);
    const auto parsed = parseObject(readObject(*client, ObjectKind::RetryPolicy, "p").object);
    ASSERT_TRUE(parsed.object);
    EXPECT_EQ(parsed.object->generation, 2U);
    EXPECT_EQ(parsed.object->change.changeId, "c2");
    EXPECT_FALSE(write(makeWrite(WriteKind::Remove, 0, "c3", 2)).ec);
    EXPECT_EQ(readObject(*client, ObjectKind::RetryPolicy, "p").ec, StoreError::NotFound);
}

TEST_F(PlatformTest, ConflictReturnsTheOtherOperatorsChange)
{
    write(makeWrite(WriteKind::Create, 1, "c1"));
    EXPECT_FALSE(write(makeWrite(WriteKind::Replace, 2, "first", 1)).ec);
    const auto second = write(makeWrite(WriteKind::Replace, 3, "second", 1));
    EXPECT_EQ(second.ec, StoreError::Conflict);
    EXPECT_EQ(changeIdOf(second.object), "first");
    EXPECT_EQ(write(makeWrite(WriteKind::Create, 4, "third")).ec, StoreError::AlreadyExists);
    EXPECT_EQ(changeIdOf(readObject(*client, ObjectKind::RetryPolicy, "p").object), "first");
}

TEST_F(PlatformTest, LostAnswersAreResolvedAndTakeEffectOnce)
{
    server.setFaults({.answerLost = true});
    const auto created = write(makeWrite(WriteKind::Create, 1, "c1"));
    EXPECT_FALSE(created.ec);
    EXPECT_TRUE(created.wasReadBack);
    const auto replaced = write(makeWrite(WriteKind::Replace, 2, "c2", 1));
    EXPECT_FALSE(replaced.ec);
    EXPECT_TRUE(replaced.wasReadBack);
    EXPECT_EQ(parseObject(replaced.object).version, 2U);
    const auto removed = write(makeWrite(WriteKind::Remove, 0, "c3", 2));
    EXPECT_FALSE(removed.ec);
    EXPECT_TRUE(removed.wasReadBack);
    EXPECT_EQ(server.calls(CallKind::Create), 1U);
    EXPECT_EQ(server.calls(CallKind::Update), 1U);
    EXPECT_EQ(server.calls(CallKind::Delete), 1U);
}

TEST_F(PlatformTest, ErrorsAreRetriedAndAnOutageIsReported)
{
    server.setFaults({.errorShare = 40});
    options.attempts = 30;
    EXPECT_FALSE(write(makeWrite(WriteKind::Create, 1, "c1")).ec);
    server.setFaults({.down = true});
    options.attempts = 3;
    EXPECT_EQ(write(makeWrite(WriteKind::Replace, 2, "c2", 1)).ec, StoreError::Unavailable);
    server.setFaults({.silent = true});
    options.attempts = 2;
    EXPECT_EQ(write(makeWrite(WriteKind::Replace, 2, "c2", 1)).ec, StoreError::TimedOut);
    server.setFaults({});
    EXPECT_EQ(changeIdOf(readObject(*client, ObjectKind::RetryPolicy, "p").object), "c1");
}

TEST_F(PlatformTest, WatchDeliversEventsAndEnds)
{
    WatchLog log;
    client->watchObjects({.kind = ObjectKind::RetryPolicy, .version = 0, .duration = 2s}, log.eventHandler(), log.endHandler());
    write(makeWrite(WriteKind::Create, 1, "c1"));
    ASSERT_EQ(log.waitForEvents(1).size(), 1U);
    write(makeWrite(WriteKind::Replace, 2, "c2", 1));
    write(makeWrite(WriteKind::Remove, 0, "c3", 2));
    const auto events = log.waitForEvents(3);
    ASSERT_EQ(events.size(), 3U);
    EXPECT_EQ(events[0].kind, StoreEventKind::Added);
    EXPECT_EQ(events[1].version, 2U);
    EXPECT_EQ(events[2].kind, StoreEventKind::Deleted);
    EXPECT_EQ(events[2].version, 3U);
    EXPECT_EQ(log.waitForEnd(), std::optional(std::error_code()));
}

TEST_F(PlatformTest, WatchEndsOnCompactionSilenceAndOutage)
{
    write(makeWrite(WriteKind::Create, 1, "c1"));
    server.compact();
    WatchLog expired;
    client->watchObjects({.kind = ObjectKind::RetryPolicy, .version = 0, .duration = 1s}, expired.eventHandler(), expired.endHandler());
    EXPECT_EQ(expired.waitForEnd(), std::optional(make_error_code(StoreError::Expired)));
    server.setFaults({.silent = true});
    WatchLog silent;
    client->watchObjects({.kind = ObjectKind::RetryPolicy, .version = 1, .duration = 1s}, silent.eventHandler(), silent.endHandler());
    EXPECT_EQ(silent.waitForEnd(), std::optional(make_error_code(StoreError::TimedOut)));
    server.setFaults({});
    WatchLog silentLater;
    client->watchObjects({.kind = ObjectKind::RetryPolicy, .version = 1, .duration = 1s}, silentLater.eventHandler(),
                         silentLater.endHandler());
    write(makeWrite(WriteKind::Replace, 2, "c2", 1));
    EXPECT_EQ(silentLater.waitForEvents(1).size(), 1U);
    server.setFaults({.silent = true});
    EXPECT_EQ(silentLater.waitForEnd(), std::optional(make_error_code(StoreError::TimedOut)));
    server.setFaults({.down = true});
    WatchLog down;
    client->watchObjects({.kind = ObjectKind::RetryPolicy, .version = 1, .duration = 1s}, down.eventHandler(), down.endHandler());
    EXPECT_EQ(down.waitForEnd(), std::optional(make_error_code(StoreError::Unavailable)));
}

// A version that the store gave out before its return from a copy may belong to another change afterwards.
TEST_F(PlatformTest, RestoredStoreGivesVersionsOutAgainUnderAHigherEra)
{
    write(makeWrite(WriteKind::Create, 1, "c1"));
    write(makeWrite(WriteKind::Replace, 2, "c2", 1));
    const auto before = readObjects(*client, ObjectKind::RetryPolicy).list;
    WatchLog cut;
    client->watchObjects({.kind = ObjectKind::RetryPolicy, .version = 2, .duration = 5s}, cut.eventHandler(), cut.endHandler());
    server.restore(1);
    EXPECT_TRUE(cut.waitForEnd());
    WatchLog ahead;
    client->watchObjects({.kind = ObjectKind::RetryPolicy, .version = 2, .duration = 5s}, ahead.eventHandler(), ahead.endHandler());
    EXPECT_EQ(ahead.waitForEnd(), std::optional(make_error_code(StoreError::Expired)));
    EXPECT_EQ(changeIdOf(readObject(*client, ObjectKind::RetryPolicy, "p").object), "c1");
    EXPECT_FALSE(write(makeWrite(WriteKind::Replace, 3, "c3", 1)).ec);
    const auto after = readObjects(*client, ObjectKind::RetryPolicy).list;
    EXPECT_EQ(after.version, before.version);
    EXPECT_EQ(after.era, before.era + 1);
    WatchLog current;
    client->watchObjects({.kind = ObjectKind::RetryPolicy, .version = 1, .duration = 1s}, current.eventHandler(), current.endHandler());
    ASSERT_EQ(current.waitForEvents(1).size(), 1U);
    EXPECT_EQ(current.waitForEvents(1)[0].era, after.era);
    EXPECT_EQ(current.waitForEnd(), std::optional(std::error_code()));
}

TEST_F(PlatformTest, CallRateIsLimited)
{
    const auto bounded = createStoreClient({.address = "127.0.0.1:" + std::to_string(server.port()), .callsPerSecond = 0.001, .burst = 2});
    EXPECT_FALSE(readObjects(*bounded, ObjectKind::Service).ec);
    EXPECT_FALSE(readObjects(*bounded, ObjectKind::Service).ec);
    EXPECT_EQ(readObjects(*bounded, ObjectKind::Service).ec, StoreError::Throttled);
    EXPECT_EQ(server.calls(CallKind::List), 2U);
    const auto unreachable = createStoreClient({.address = "127.0.0.1:1"});
    EXPECT_EQ(readObjects(*unreachable, ObjectKind::Service).ec, StoreError::Unreachable);
}
