/// @file
/// Tests of chicorysparctl commands against the stand-in platform: conflicts, unknown fields, findings, several objects.

#include "ctl/ctl.h"
#include "standins/platform/platform_server.h"

#include <sstream>

#include <gtest/gtest.h>

using namespace chicoryspar;
using namespace chicoryspar::ctl;

namespace {

std::string policyText(const std::string &spec, const std::string &version = {})
{
    const auto base = version.empty() ? std::string() : R"(,"resourceVersion":")" + version + "\"";
    return R"({"apiVersion":"chicoryspar.io/v1","kind":"RetryPolicy","metadata":{"name":"p")" + base + R"(},"spec":)" + spec + "}";
}

class CtlTest : public testing::Test
{
protected:
    CtlTest()
    {
        server.open();
        store = createStoreClient({.address = "127.0.0.1:" + std::to_string(server.port())});
    }

    CtlContext makeContext(const std::string &operatorName)
    {
        return {.options = {.changedBy = operatorName, .reason = "test"}, .store = store.get(), .out = out, .err = err, .random = random};
    }

    ExitCode apply(const std::string &operatorName, const std::string &text)
    {
        auto context = makeContext(operatorName);
        return applyText(context, text);
    }

    std::string spec() const
    {
        return server.read(ObjectKind::RetryPolicy, "p").body.value("spec", standin::Json()).dump();
    }

    standin::PlatformServer server{{}};
    std::unique_ptr<ObjectStore> store;
    std::ostringstream out;
    std::ostringstream err;
    Random random{1};
};

} // namespace

TEST_F(CtlTest, SecondChangeOnTheSameBaseIsRefusedAndShowsTheFirst)
{
    ASSERT_EQ(apply("ines", policyText(R"({"budget":1})")), ExitCode::Ok);
    EXPECT_EQ(apply("ana", policyText(R"({"budget":2})", "1")), ExitCode::Ok);
    EXPECT_EQ(apply("ines", policyText(R"({"budget":3})", "1")), ExitCode::Conflict);
    EXPECT_EQ(spec(), R"({"budget":2})");
    EXPECT_NE(err.str().find("by ana"), std::string::npos);
    EXPECT_NE(err.str().find("+ spec.budget: 3"), std::string::npos);
}

TEST_F(CtlTest, EditAndApplyKeepUnknownFields)
{
    auto context = makeContext("ines");
    context.options.allowsUnknownKeys = true;
    ASSERT_EQ(applyText(context, policyText(R"({"budget":1,"later":{"x":1}})")), ExitCode::Ok);
    auto edit = makeContext("ana");
    EXPECT_EQ(editObject(edit, {"retrypolicy", "p", "spec.budget=2"}), ExitCode::Ok);
    EXPECT_EQ(spec(), R"({"budget":2,"later":{"x":1}})");
    EXPECT_EQ(apply("ana", policyText(R"({"ratioPercent":20})")), ExitCode::Ok);
    EXPECT_EQ(spec(), R"({"later":{"x":1},"ratioPercent":20})");
    EXPECT_EQ(deleteObject(edit, {"retrypolicy", "p"}), ExitCode::Ok);
    EXPECT_EQ(deleteObject(edit, {"retrypolicy", "p"}), ExitCode::NotFound);
}

TEST_F(CtlTest, FindingsInOneObjectPreventWritesOfAllObjects)
{
    EXPECT_EQ(apply("ines", policyText(R"({"budget":1})") + policyText(R"({"budget":1000,"bugdet":1})")), ExitCode::Findings);
    EXPECT_NE(err.str().find("spec.budget"), std::string::npos);
    EXPECT_NE(err.str().find("spec.bugdet"), std::string::npos);
    EXPECT_EQ(server.calls(standin::CallKind::Create), 0U);
    auto context = makeContext("ines");
    context.options.isDryRun = true;
    EXPECT_EQ(applyText(context, policyText(R"({"budget":1})")), ExitCode::Ok);
    EXPECT_EQ(server.calls(standin::CallKind::Create), 0U);
}

namespace {

/// Node that keeps the path of the last request and gives one answer.
class FakeNode : public NodeClient
{
public:
    NodeAnswer get(const std::string &path) override
    {
        lastPath = path;
        return answer;
    }
    NodeAnswer post(const std::string &) override
    {
        return {};
    }

    NodeAnswer answer;
    std::string lastPath;
};

} // namespace

// A service may be called "where"; its method and path must not be taken for a host.
TEST_F(CtlTest, ExplainWhereAsksForTheHostAndPrintsTheChoice)
{
    FakeNode node;
    node.answer = {200,
                   R"({"node":"n1","route":{"name":"r","public":false},"customer":{"name":"c 1"},"class":"order","importance":14,)"
                   R"("services":[{"service":"s","weight":1,"entryLevel":0,"entryAdmits":true,"choice":{"node":"n2","why":"own-zone"},)"
                   R"("candidates":[{"node":"n2","tier":"own-zone","ready":true,"inFlight":3}]}]})"};
    auto context = makeContext("ines");
    context.node = &node;
    context.options.keyOf = "c 1";
    EXPECT_EQ(explainCall(context, {"where", "GET", "a.example", "/x"}), ExitCode::Ok);
    EXPECT_EQ(node.lastPath, "/v1/explain/where?method=GET&host=a.example&path=%2Fx&customer=c%201");
    for (const auto *it : {"refusal", "none", "n2", "own-zone", "service s, weight 1, entry level 0 admits"}) {
        EXPECT_NE(out.str().find(it), std::string::npos) << it << " in " << out.str();
    }
    explainCall(context, {"where", "GET", "/x", "caller"});
    EXPECT_EQ(node.lastPath, "/v1/explain?service=where&method=GET&path=%2Fx&caller=caller");
}
