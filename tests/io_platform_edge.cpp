/// @file
/// Tests of the sidecar dialect on the HTTP ports: announcements and headers are read, invalid ones give findings, and an answer shows
/// whether its call was run.

#include "platform/platform.h"

#include <gtest/gtest.h>

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

const EdgeDialect &edge()
{
    return *sidecarEdgeDialect();
}

HttpRequest makeAnnouncement(const std::string &body)
{
    return {.verb = "PUT", .target = "/chicoryspar/instances/i-1", .body = body};
}

const std::string kValidAnnouncement =
    R"({"address":"10.0.0.1:80","born":1700000000000,"info":{"service":"s","version":"v1","zone":"z","slots":36},)"
    R"("status":{"phase":"ready","sequence":4,"coldRemaining":"1.5s"}})";

std::string replaceFirst(std::string text, const std::string &from, const std::string &to)
{
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

CallAnswer makeNodeAnswer(Outcome outcome, Reason reason, Duration retryAfter = Duration{0})
{
    CallAnswer answer;
    answer.outcome = outcome;
    answer.reason = reason;
    answer.retryAfter = retryAfter;
    return answer;
}

} // namespace

TEST(SidecarAnnouncement, ReadsEveryField)
{
    const auto notice = edge().readNotice(makeAnnouncement(kValidAnnouncement));
    ASSERT_TRUE(notice);
    EXPECT_TRUE(notice->findings.empty());
    const auto &it = notice->announcement;
    EXPECT_EQ(it.instance, "i-1");
    EXPECT_EQ(it.service, "s");
    EXPECT_EQ(it.address, "10.0.0.1:80");
    EXPECT_EQ(it.slots, 36U);
    EXPECT_EQ(it.sequence, 4U);
    EXPECT_EQ(it.processStartMs, 1700000000000U);
    EXPECT_EQ(it.readiness, BackendReadiness::Ready);
    EXPECT_EQ(it.warmupRemaining, Duration(1500ms));
}

TEST(SidecarAnnouncement, InvalidAnnouncementsGiveFindings)
{
    const std::vector<std::string> bodies{"",
                                          "[]",
                                          "{",
                                          replaceFirst(kValidAnnouncement, R"("ready")", R"("resting")"),
                                          replaceFirst(kValidAnnouncement, "36", R"("36")"),
                                          replaceFirst(kValidAnnouncement, R"("sequence":4,)", ""),
                                          replaceFirst(kValidAnnouncement, R"("10.0.0.1:80")", "7"),
                                          replaceFirst(kValidAnnouncement, R"("1.5s")", R"("1.5h")"),
                                          replaceFirst(kValidAnnouncement, "1700000000000", "1.5"),
                                          replaceFirst(kValidAnnouncement, R"("service":"s",)", "")};
    for (const auto &it : bodies) {
        const auto notice = edge().readNotice(makeAnnouncement(it));
        ASSERT_TRUE(notice);
        EXPECT_FALSE(notice->findings.empty()) << it;
        EXPECT_EQ(edge().answerNotice({.findings = notice->findings}).status, 400);
    }
}

TEST(SidecarAnnouncement, DepartureNeedsNoBody)
{
    const auto notice = edge().readNotice({.verb = "DELETE", .target = "/chicoryspar/instances/i-1"});
    ASSERT_TRUE(notice);
    EXPECT_EQ(notice->kind, NoticeKind::Departure);
    EXPECT_EQ(notice->announcement.instance, "i-1");
    EXPECT_TRUE(notice->findings.empty());
}

TEST(SidecarEntry, ReadsHostTimeoutRootAndParent)
{
    const HttpRequest request{
        .verb = "GET", .target = "/a/b", .headers = {{"Host", "A.Example:80"}, {"x-request-id", "p1.c2"}, {"X-Deadline-Ms", "600"}}};
    const auto fields = edge().readEntry(request);
    EXPECT_TRUE(fields.findings.empty());
    EXPECT_EQ(fields.host, "a.example");
    EXPECT_EQ(fields.timeout, Duration(600ms));
    EXPECT_EQ(fields.parentToken, "p1");
    EXPECT_TRUE(fields.isParentInferred);
    const HttpRequest parent{.headers = {{"X-Request-Id", "p1"}}};
    EXPECT_EQ(fields.root, edge().readEntry(parent).root);
}

// HTTP/1.1 has servers accept a target in absolute form; its authority takes the place of the Host header.
TEST(SidecarEntry, AbsoluteTargetHasTheHostAndPathOfItsRoute)
{
    const HttpRequest request{.verb = "GET", .target = "http://A.Example:80/a/b?q=http://c/d", .headers = {{"Host", "other"}}};
    EXPECT_EQ(edge().readEntry(request).host, "a.example");
    EXPECT_EQ(pathOf(request.target), "/a/b");
    EXPECT_EQ(pathOf("http://a.example"), "/");
    EXPECT_EQ(pathOf("http://a.example?q"), "/");
    EXPECT_EQ(pathOf("/a/b?q=http://c/d"), "/a/b");
    EXPECT_EQ(pathOf("/a/http://c/d"), "/a/http://c/d");
    EXPECT_EQ(pathOf("*"), "*");
}

TEST(SidecarEntry, InvalidTimeoutLeavesTheRouteTimeout)
{
    for (const auto *text : {"", "-1", "1.5", "soon", "99999999999999999999"}) {
        EXPECT_FALSE(edge().readEntry({.headers = {{"X-Deadline-Ms", text}}}).timeout) << text;
    }
}

TEST(SidecarCall, NodeReplacesCallerInstanceAndTimeout)
{
    CallRequest request;
    request.headers = {
        {"X-Request-Id", "r"}, {"X-Caller-Service", "false"}, {"x-expected-instance", "false"}, {"X-Deadline-Ms", "9"}, {"Other", "o"}};
    request.caller = "true";
    edge().removeReservedHeaders(request.headers);
    EXPECT_EQ(request.headers.size(), 2U);
    edge().describeCall({.request = request, .instance = "i-1", .remaining = 250ms}, request.headers);
    EXPECT_EQ(findHeader(request.headers, "X-Caller-Service"), "true");
    EXPECT_EQ(findHeader(request.headers, "X-Expected-Instance"), "i-1");
    EXPECT_EQ(findHeader(request.headers, "X-Deadline-Ms"), "250");
    EXPECT_EQ(edge().callToken(request), "r");
}

TEST(SidecarCustomer, KeyIsReadAsItsDigest)
{
    // First 16 bytes of the SHA-256 of "abc", FIPS 180-2.
    const std::string digest = "ba7816bf8f01cfea414140de5dae2223";
    for (const auto *text : {"Bearer abc", "bearer   abc", "BEARER abc "}) {
        EXPECT_EQ(edge().readEntry({.headers = {{"authorization", text}}}).credential, digest) << text;
    }
    for (const auto *text : {"", "Bearer", "Bearer ", "Bearer   ", "Basic abc", "abc", "Bearerabc"}) {
        EXPECT_EQ(edge().readEntry({.headers = {{"Authorization", text}}}).credential, std::nullopt) << text;
    }
    EXPECT_EQ(edge().readEntry({}).credential, std::nullopt);
}

TEST(SidecarCustomer, NodeReplacesTheNameAndRemovesTheKey)
{
    CallRequest request;
    request.headers = {{"authorization", "Bearer abc"}, {"x-tenant", "false"}, {"X-Tenant", "false"}, {"Other", "o"}};
    auto headers = request.headers;
    edge().removeReservedHeaders(headers);
    EXPECT_EQ(headers, request.headers) << "without customers these headers are the client's";
    edge().removeCustomerHeaders(headers);
    EXPECT_EQ(headers, (std::vector<HeaderField>{{"Other", "o"}}));
    edge().describeCall({.request = request}, headers);
    EXPECT_EQ(findHeader(headers, "X-Tenant"), std::nullopt);
    request.customer = "true";
    edge().describeCall({.request = request}, headers);
    EXPECT_EQ(findHeader(headers, "X-Tenant"), "true");
}

TEST(SidecarAnswer, NotRunNeedsItsHeaderOrStatus421)
{
    const std::vector<HeaderField> signedHeaders{{"X-Request-Id", "r"}, {"X-Response-Signature", "s"}};
    EXPECT_EQ(edge().classifyAnswer({.status = 200, .headers = signedHeaders}).outcome, Outcome::Answer);
    EXPECT_EQ(edge().classifyAnswer({.status = 500, .headers = signedHeaders}).outcome, Outcome::Answer);
    EXPECT_EQ(edge().classifyAnswer({.status = 503, .headers = signedHeaders}).outcome, Outcome::Answer);
    EXPECT_EQ(edge().classifyAnswer({.status = 503, .headers = {{"X-Not-Executed", "1"}}}).outcome, Outcome::NotRun);
    EXPECT_EQ(edge().classifyAnswer({.status = 421}).outcome, Outcome::NotRun);
    EXPECT_EQ(edge().classifyAnswer({.status = 200, .headers = {{"X-Request-Id", "r"}}}).outcome, Outcome::Unknown);
    auto encodedHeaders = signedHeaders;
    encodedHeaders.push_back({"Content-Encoding", "gzip"});
    EXPECT_EQ(edge().classifyAnswer({.status = 200, .headers = encodedHeaders}).outcome, Outcome::Unknown);
}

// A 4xx tells the caller not to retry; one from whatever listens at a reused address must not reach it as the backend server's.
TEST(SidecarAnswer, UnsignedErrorOfTheCallerIsNotTheBackendServersAnswer)
{
    for (const std::uint16_t status : {301, 400, 404, 413, 431}) {
        const HttpResponse foreign{.status = status, .headers = {{"Content-Type", "text/html"}}};
        EXPECT_EQ(edge().classifyAnswer(foreign).outcome, Outcome::Unknown) << status;
        const HttpResponse own{.status = status, .headers = {{"X-Request-Id", "r"}, {"X-Response-Signature", "s"}}};
        EXPECT_EQ(edge().classifyAnswer(own).outcome, Outcome::Answer) << status;
    }
    EXPECT_EQ(edge().classifyAnswer({.status = 400, .headers = {{"X-Not-Executed", "1"}}}).outcome, Outcome::NotRun);
}

TEST(SidecarAnswer, MatchesTheRequestIdentifier)
{
    EXPECT_TRUE(edge().isAnswerTo("r", {.headers = {{"X-Request-Id", "r"}}}));
    EXPECT_FALSE(edge().isAnswerTo("r", {.headers = {{"X-Request-Id", "other"}}}));
    EXPECT_FALSE(edge().isAnswerTo("r", {.status = 503, .headers = {{"X-Not-Executed", "1"}}}));
    EXPECT_FALSE(edge().isAnswerTo("r", {.status = 421}));
    EXPECT_TRUE(edge().isAnswerTo("", {.headers = {}}));
}

TEST(SidecarResponse, UnknownOutcomeNeverGives503Or429)
{
    for (std::size_t n = 1; n < static_cast<std::size_t>(Reason::Count); ++n) {
        const auto reason = static_cast<Reason>(n);
        const auto unknown = edge().makeResponse({}, makeNodeAnswer(Outcome::Unknown, reason)).status;
        EXPECT_NE(unknown, 503) << rowOf(reason).name;
        EXPECT_NE(unknown, 429) << rowOf(reason).name;
        const auto refusal = edge().makeResponse({}, makeNodeAnswer(Outcome::NotRun, reason));
        EXPECT_TRUE(findHeader(refusal.headers, "Retry-After")) << rowOf(reason).name;
    }
}

TEST(SidecarResponse, RetryAfterIsInFractionsOfASecond)
{
    const auto response = edge().makeResponse({}, makeNodeAnswer(Outcome::NotRun, Reason::QueueFull, 1250ms));
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(findHeader(response.headers, "Retry-After"), "1.250");
    EXPECT_EQ(findHeader(edge().makeResponse({}, makeNodeAnswer(Outcome::NotRun, Reason::QueueFull, 40ms)).headers, "Retry-After"),
              "0.040");
}

TEST(SidecarResponse, AnswerIsForwardedUnchanged)
{
    CallAnswer answer;
    answer.outcome = Outcome::Answer;
    answer.status = 418;
    answer.headers = {{"X-Response-Signature", "s"}, {"X-Server-Load", "1,2,3"}, {"Other", "o"}};
    answer.body = std::string("a\0b", 3);
    const auto response = edge().makeResponse({}, answer);
    EXPECT_EQ(response.status, 418);
    EXPECT_EQ(response.body, answer.body);
    EXPECT_EQ(findHeader(response.headers, "X-Response-Signature"), "s");
    EXPECT_EQ(findHeader(response.headers, "Other"), "o");
}
