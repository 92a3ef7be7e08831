/// @file
/// Tests of frames and messages, with random and mutated bytes.

#include <chicoryspar/wire.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace chicoryspar;

namespace {

CallRequest makeRequest(const std::string &body, const std::string &target)
{
    CallRequest request;
    request.id = 7;
    request.context.root = RequestId{1, 2};
    request.context.requestClass = RequestClass::Order;
    request.context.remaining = std::chrono::milliseconds(250);
    request.service = "orders";
    request.target = target;
    request.headers = {{"A", "1"}, {"B", "two"}};
    request.body = body;
    return request;
}

/// Decodes every frame of @a decoder as several message types. The results are ignored: the tests check that decoding ends without a crash.
void decodeAll(FrameDecoder &decoder)
{
    while (const auto frame = decoder.next()) {
        decodePayload<CallRequest>(frame->payload);
        decodePayload<CallAnswer>(frame->payload);
        decodePayload<Hello>(frame->payload);
    }
}

} // namespace

RC_GTEST_PROP(Frame, RoundTripOfBytesSplitAnywhere, (const std::string &body, const std::string &target))
{
    const auto request = makeRequest(body, target);
    const auto bytes = encodeFrame(request) + encodeFrame(Heartbeat{.sequence = 9});
    const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
    FrameDecoder decoder;
    decoder.append(std::string_view(bytes).substr(0, cut));
    std::vector<std::string> payloads;
    while (const auto frame = decoder.next()) {
        payloads.emplace_back(frame->payload);
    }
    decoder.append(std::string_view(bytes).substr(cut));
    while (const auto frame = decoder.next()) {
        payloads.emplace_back(frame->payload);
    }
    RC_ASSERT(payloads.size() == 2U);
    const auto decoded = decodePayload<CallRequest>(payloads[0]);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->body == body);
    RC_ASSERT(decoded->target == target);
    RC_ASSERT(decoded->headers == request.headers);
    RC_ASSERT(decoded->context.root == request.context.root);
    RC_ASSERT(decoded->context.requestClass == RequestClass::Order);
    RC_ASSERT(decoded->context.remaining == request.context.remaining);
    RC_ASSERT(decodePayload<Heartbeat>(payloads[1])->sequence == 9U);
}

RC_GTEST_PROP(Frame, RandomBytesAreRejectedOrIncomplete, (const std::string &bytes))
{
    FrameDecoder decoder(1024);
    decoder.append(bytes);
    decodeAll(decoder);
    RC_ASSERT(decoder.heldBytes() <= bytes.size());
}

RC_GTEST_PROP(Frame, MutatedFramesNeverCrash, (const std::string &body))
{
    auto bytes = encodeFrame(makeRequest(body, "/x"));
    const auto count = *rc::gen::inRange(1, 8);
    for (int n = 0; n < count; ++n) {
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
    }
    FrameDecoder decoder;
    decoder.append(bytes);
    decodeAll(decoder);
}

TEST(Frame, TooLongFrameIsAnError)
{
    FrameDecoder decoder(16);
    decoder.append(encodeFrame(makeRequest("a body that is longer than the limit", "/")));
    EXPECT_FALSE(decoder.next());
    EXPECT_EQ(decoder.error(), FrameError::TooLong);
}

TEST(Frame, EnumOutOfRangeIsRejected)
{
    CallAnswer answer;
    answer.outcome = static_cast<Outcome>(17);
    EXPECT_FALSE(decodePayload<CallAnswer>(encodePayload(answer)));
}

TEST(Frame, ShorterMessageKeepsDefaults)
{
    const auto decoded = decodePayload<CallAnswer>(encodePayload(CallCancel{.id = 5}));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->id, 5U);
    EXPECT_EQ(decoded->outcome, Outcome::Unknown);
}
