/// @file
/// Validation of the Idempotency-Key header, names of verdicts and states, and the choice of the owner.

#include <chicoryspar/outcome.h>

namespace chicoryspar {
namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(KeyVerdict::Count)> kVerdicts{
    "run", "join", "answer", "not-run", "unknown", "forward", "later",
};

constexpr std::array<std::string_view, static_cast<std::size_t>(KeyState::Count)> kStates{
    "asking", "running", "done", "refused", "lost", "moved",
};

} // namespace

std::string_view nameOf(KeyVerdict verdict)
{
    return kVerdicts.at(static_cast<std::size_t>(verdict));
}

std::string_view nameOf(KeyState state)
{
    return kStates.at(static_cast<std::size_t>(state));
}

KeyCheck checkKeyHeader(std::string_view text)
{
    KeyCheck check;
    if (text.empty()) {
        check.reason = Reason::KeyMissing;
        return check;
    }
    const auto key = parseRequestId(text);
    const auto created = key ? creationTime(*key) : std::nullopt;
    if (!created) {
        check.reason = Reason::KeyMalformed;
        return check;
    }
    check.key = *key;
    check.created = *created;
    return check;
}

Reason checkKeyAge(WallTime created, WallTime wall, const KeyLimits &limits)
{
    if (wall > created + limits.lifetime) {
        return Reason::KeyExpired;
    }
    if (created > wall + limits.futureTolerance) {
        return Reason::KeyFromFuture;
    }
    return Reason::None;
}

Outcome outcomeOfRefusal(Reason reason, bool keyed, bool firstAttempt)
{
    if (!keyed || firstAttempt || reason == Reason::KeyMissing || reason == Reason::KeyMalformed) {
        return Outcome::NotRun;
    }
    return Outcome::Unknown;
}

NodeId chooseOwner(const std::vector<NodeId> &alive, const RequestId &key)
{
    const auto hash = hashRequest(key);
    NodeId best;
    std::uint64_t bestWeight = 0;
    for (const auto node : alive) {
        const auto weight = rendezvousWeight(node, hash);
        if (!best.isValid() || weight > bestWeight || (weight == bestWeight && node < best)) {
            best = node;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace chicoryspar
