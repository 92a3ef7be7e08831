/// @file
/// Record owner and executor side of keyed calls.

#include "node/keys/key_service.h"

#include "node/clock.h"
#include "node/entry/dispatcher.h"
#include "node/entry/entry_request.h"
#include "node/gate/gate_service.h"
#include "node/keys/key_entry.h"
#include "node/peers/peer_set.h"

#include <algorithm>
#include <utility>

namespace chicoryspar {
namespace {

constexpr Duration kTimerPeriod = std::chrono::milliseconds(100);

std::uint64_t fingerprintOf(const CallRequest &request)
{
    const auto requestLineHash = hashBytes(request.verb + " " + request.target);
    return hashBytes(request.body, requestLineHash);
}

std::string packHeaders(const std::vector<HeaderField> &headers)
{
    std::string text;
    for (const auto &it : headers) {
        text += it.name + "\n" + it.value + "\n";
    }
    return text;
}

std::vector<HeaderField> unpackHeaders(std::string_view text)
{
    std::vector<HeaderField> headers;
    while (!text.empty()) {
        const auto nameEnd = text.find('\n');
        const auto valueEnd = text.find('\n', nameEnd + 1);
        if (valueEnd == std::string_view::npos) {
            break;
        }
        headers.push_back({std::string(text.substr(0, nameEnd)), std::string(text.substr(nameEnd + 1, valueEnd - nameEnd - 1))});
        text.remove_prefix(valueEnd + 1);
    }
    return headers;
}

KeyDispatch toKeyDispatch(const CallRequest &request)
{
    return {.key = request.key,
            .attempt = request.dispatchAttempt,
            .decidedAt = WallTime(Duration(request.decidedAt)),
            .notAfter = WallTime(Duration(request.dispatchBefore))};
}

} // namespace

KeyService::KeyService(NodeContext &context)
    : m_context(context)
    , m_timer(context.io)
    , m_dispatches(wallNow(), DispatchGateOptions{.maxEntries = context.settings.maxKeyEntries})
{
}

KeyService::~KeyService() = default;

void KeyService::start()
{
    m_context.peers->setFrameHandler(FrameType::KeyFrame,
                                     [this](const PeerSet::FrameSource &from, std::string_view payload) { onFrame(from.node, payload); });
    armTimer();
}

// Timer and messages

void KeyService::armTimer()
{
    m_timer.expires_after(kTimerPeriod);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            onTick();
            armTimer();
        }
    });
}

void KeyService::onTick()
{
    if (!m_owner) {
        createOwner();
    }
    if (m_owner) {
        updateContacts();
        m_owner->onTimer(steadyNow(), wallNow());
        flushOwnerOutput();
    }
}

void KeyService::createOwner()
{
    const auto &service = m_context.gate->announcement().service;
    if (service.empty() || !m_context.membership || m_context.isStopping || !m_context.config.findService(service)) {
        return;
    }
    m_service = service;
    const auto &settings = m_context.settings;
    KeyOwnerOptions options;
    options.self = m_context.self;
    options.incarnation = m_context.boot;
    options.limits = {.lifetime = settings.keyLifetime, .futureTolerance = settings.keyClockTolerance};
    options.founders = founders();
    options.runTimeout = settings.keyLifetime;
    options.maxEntries = settings.maxKeyEntries;
    options.maxBytes = settings.maxKeyBytes;
    m_owner = std::make_unique<KeyOwner>(steadyNow(), options);
}

std::size_t KeyService::founders() const
{
    const auto service = m_context.config.findService(m_service);
    const std::size_t majority = service ? service->upstreams / 2 + 1 : 1;
    return std::max<std::size_t>(majority, m_context.settings.keyFounders);
}

void KeyService::updateContacts()
{
    std::vector<NodeId> contacts;
    for (const auto it : m_context.membership->members()) {
        if (it->isPresent() && it->info.service == m_service) {
            contacts.push_back(it->info.id);
        }
    }
    m_owner->setContacts(std::move(contacts));
    m_owner->setFounders(founders());
}

void KeyService::onFrame(NodeId from, std::string_view payload)
{
    const auto frame = decodePayload<KeyFrame>(payload);
    if (!frame || !m_owner || frame->service != m_service) {
        return;
    }
    const auto sender = std::visit([](const auto &it) { return it.from.id; }, frame->message);
    if (sender == from) {
        m_owner->onMessage(steadyNow(), wallNow(), frame->message);
        flushOwnerOutput();
    }
}

void KeyService::flushOwnerOutput()
{
    for (auto &it : m_owner->takeMessages()) {
        m_context.peers->sendFrame(it.to, encodeFrame(KeyFrame{m_service, std::move(it.message)}));
    }
    for (const auto &it : m_owner->takeEvents()) {
        const auto pending = m_pendingKeys.find(it.key);
        if (pending == m_pendingKeys.end()) {
            continue;
        }
        if (it.decision.verdict == KeyVerdict::Run) {
            dispatch(std::move(pending->second.request));
            continue;
        }
        const auto ended = std::move(pending->second);
        m_pendingKeys.erase(pending);
        auto tokensLeft = ended.retryTokensLeft;
        for (const auto &handler : ended.handlers) {
            auto answer = makeAnswer(it.decision);
            answer.levelBelow = ended.descendantLevel;
            // The retry tokens belong to the first waiting request; later ones get none back.
            answer.retryTokensLeft = std::exchange(tokensLeft, std::uint16_t{0});
            handler(std::move(answer));
        }
    }
}

// Record owner

std::uint64_t KeyService::serveCall(CallRequest request, AnswerHandler handler)
{
    if (!request.key.isValid()) {
        return m_context.gate->beginCall(std::move(request), std::move(handler));
    }
    if (!request.forOwner) {
        return executeDispatch(std::move(request), std::move(handler));
    }
    decideAsOwner(std::move(request), std::move(handler));
    return 0;
}

void KeyService::decideAsOwner(CallRequest request, AnswerHandler handler)
{
    if (!m_owner || request.service != m_service || !creationTime(request.key)) {
        handler(makeAnswer({KeyVerdict::Later, Reason::KeyOwnerUncertain}));
        return;
    }
    const KeyRequest keyRequest{request.key, fingerprintOf(request), request.firstAttempt};
    const auto decision = m_owner->onRequest(steadyNow(), wallNow(), keyRequest);
    if (decision.verdict != KeyVerdict::Run && decision.verdict != KeyVerdict::Join) {
        handler(makeAnswer(decision));
        flushOwnerOutput();
        return;
    }
    auto &pending = m_pendingKeys[request.key];
    pending.handlers.push_back(std::move(handler));
    if (decision.verdict == KeyVerdict::Run) {
        dispatch(std::move(request));
    } else if (pending.handlers.size() == 1) {
        pending.request = std::move(request);
    }
    flushOwnerOutput();
}

void KeyService::dispatch(CallRequest request)
{
    const auto key = request.key;
    const auto notAfter = wallNow() + request.context.remaining;
    RoutedRequest routed;
    routed.deadline = steadyNow() + request.context.remaining;
    routed.request = std::move(request);
    routed.request.forOwner = false;
    const auto &sent = routed.request;
    const auto method = m_context.config.findMethod(sent.service, sent.verb, pathOf(sent.target));
    routed.methodKey = methodKeyOf(sent.service, method ? method->name : std::string());
    routed.onDispatch = [this, notAfter](NodeId node, CallRequest &attempt) {
        const auto dispatch = m_owner->beginDispatch(wallNow(), attempt.key, node, notAfter);
        attempt.dispatchAttempt = dispatch.attempt;
        attempt.decidedAt = dispatch.decidedAt.time_since_epoch().count();
        attempt.dispatchBefore = dispatch.notAfter.time_since_epoch().count();
    };
    m_context.dispatcher->beginCall(std::move(routed), [this, key](CallAnswer answer) { onDispatchEnd(key, std::move(answer)); });
}

void KeyService::onDispatchEnd(const RequestId &key, CallAnswer answer)
{
    const auto pending = m_pendingKeys.find(key);
    if (pending != m_pendingKeys.end()) {
        pending->second.descendantLevel = answer.levelBelow;
        pending->second.retryTokensLeft = answer.retryTokensLeft;
    }
    switch (answer.outcome) {
    case Outcome::Answer:
        m_owner->onAnswer(key, {answer.status, packHeaders(answer.headers), std::move(answer.body)});
        break;
    case Outcome::NotRun:
        m_owner->onNotRun(key, answer.reason);
        break;
    default:
        m_owner->onLost(key, answer.reason);
        break;
    }
    flushOwnerOutput();
}

CallAnswer KeyService::makeAnswer(const KeyDecision &decision) const
{
    CallAnswer answer;
    answer.fromOwner = true;
    answer.reason = decision.reason;
    answer.node = m_context.settings.name;
    switch (decision.verdict) {
    case KeyVerdict::Answer:
        answer.outcome = Outcome::Answer;
        answer.status = decision.answer->status;
        answer.headers = unpackHeaders(decision.answer->headers);
        answer.body = decision.answer->body;
        break;
    case KeyVerdict::NotRun:
        answer.outcome = Outcome::NotRun;
        break;
    case KeyVerdict::Forward:
    case KeyVerdict::Later:
        answer.outcome = Outcome::NotRun;
        answer.redirects = true;
        answer.forwardTo = decision.node;
        break;
    default:
        answer.outcome = Outcome::Unknown;
        break;
    }
    return answer;
}

// Executor

std::uint64_t KeyService::executeDispatch(CallRequest request, AnswerHandler handler)
{
    const auto dispatch = toKeyDispatch(request);
    const auto verdict = m_dispatches.admit(wallNow(), dispatch);
    if (verdict != DispatchVerdict::Start) {
        CallAnswer answer;
        answer.outcome = verdict == DispatchVerdict::NotRun ? Outcome::NotRun : Outcome::Unknown;
        answer.reason = verdict == DispatchVerdict::NotRun ? Reason::DeadlineExpired : Reason::KeyOwnerUncertain;
        answer.node = m_context.settings.name;
        handler(std::move(answer));
        return 0;
    }
    return m_context.gate->beginCall(std::move(request), [this, dispatch, handler = std::move(handler)](CallAnswer answer) {
        if (answer.outcome == Outcome::NotRun) {
            m_dispatches.withdraw(dispatch);
        }
        handler(std::move(answer));
    });
}

// Planned stop

void KeyService::beginLeave()
{
    if (m_owner) {
        m_owner->beginLeave(steadyNow(), wallNow());
        flushOwnerOutput();
    }
}

bool KeyService::hasLeft() const
{
    return !m_owner || m_owner->hasLeft();
}

std::optional<KeyOwnerStatus> KeyService::status(TimePoint now) const
{
    if (!m_owner) {
        return std::nullopt;
    }
    return m_owner->status(now);
}

} // namespace chicoryspar
