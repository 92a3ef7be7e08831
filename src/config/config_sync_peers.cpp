/// @file
/// ConfigSync, peer side: digests, pulls and answers to pulls.

#include "config/config_sync.h"

#include <algorithm>

namespace chicoryspar {
namespace {

constexpr std::size_t kMaxPullCandidates = 8;
constexpr std::size_t kMaxFormerDigests = 64;
constexpr std::size_t kMaxUselessDigests = 16;
/// Digest of a complete but empty configuration; 0 means that the node isn't configured.
constexpr std::uint64_t kEmptyDigest = 1;

} // namespace

const ConfigSet &ConfigSync::set() const
{
    return m_set;
}

bool ConfigSync::isConfigured() const
{
    return m_isConfigured;
}

bool ConfigSync::isWatcher() const
{
    return m_isWatcher;
}

std::uint64_t ConfigSync::digest() const
{
    if (!m_isConfigured) {
        return 0;
    }
    // With the era, content that returns with the store's copy isn't taken for content that it replaced.
    const auto content = m_storeEra == 0 ? m_set.digest() : hashBytes(std::to_string(m_set.digest()), m_storeEra);
    return std::max(content, kEmptyDigest);
}

const ConfigSyncCounters &ConfigSync::counters() const
{
    return m_counters;
}

std::optional<TimePoint> ConfigSync::storeDownSince() const
{
    return m_storeDownSince;
}

void ConfigSync::recordFormerDigest(TimePoint now, std::uint64_t previous)
{
    if (previous == digest()) {
        return;
    }
    if (previous != 0) {
        m_formerDigests.push_back({previous, now});
    }
    if (m_formerDigests.size() > kMaxFormerDigests) {
        m_formerDigests.pop_front();
    }
    m_uselessDigests.clear();
}

bool ConfigSync::isVersionInDigest(ObjectKind kind, std::string_view name, const StoreRevision &revision, std::uint64_t digest) const
{
    const auto *entry = m_set.findIncludingDeleted(kind, name);
    if (!entry || entry->object->order().revision < revision || !m_isConfigured) {
        return false;
    }
    if (digest == this->digest()) {
        return true;
    }
    // The digest that the change itself replaced doesn't include the change.
    const auto wasReplacedLater = [&](const FormerDigest &it) { return it.digest == digest && it.replacedAt > entry->since; };
    return std::any_of(m_formerDigests.begin(), m_formerDigests.end(), wasReplacedLater);
}

bool ConfigSync::isUselessDigest(std::uint64_t digest) const
{
    const auto isFormer = [digest](const FormerDigest &it) { return it.digest == digest; };
    return digest == 0 || digest == this->digest() || std::any_of(m_formerDigests.begin(), m_formerDigests.end(), isFormer)
        || std::find(m_uselessDigests.begin(), m_uselessDigests.end(), digest) != m_uselessDigests.end();
}

void ConfigSync::recordUselessDigest(std::uint64_t digest)
{
    m_uselessDigests.push_back(digest);
    if (m_uselessDigests.size() > kMaxUselessDigests) {
        m_uselessDigests.pop_front();
    }
}

void ConfigSync::onPeerDigest(NodeId peer, std::uint64_t digest)
{
    if (isUselessDigest(digest) && (m_isConfigured || digest == 0)) {
        return;
    }
    const auto it = std::find_if(m_pullCandidates.begin(), m_pullCandidates.end(),
                                 [peer](const PullCandidate &candidate) { return candidate.peer == peer; });
    if (it != m_pullCandidates.end()) {
        it->digest = digest;
        return;
    }
    m_pullCandidates.push_back({peer, digest});
    if (m_pullCandidates.size() > kMaxPullCandidates) {
        m_pullCandidates.pop_front();
    }
}

std::optional<NodeId> ConfigSync::startPull(TimePoint now)
{
    if (m_pullPeer && now >= m_pullDeadline) {
        onPullFailed(*m_pullPeer);
    }
    if (m_pullPeer) {
        return std::nullopt;
    }
    while (!m_pullCandidates.empty()) {
        // The most recently added candidate probably has the newest configuration.
        const auto candidate = m_pullCandidates.back();
        m_pullCandidates.pop_back();
        if (isUselessDigest(candidate.digest) && m_isConfigured) {
            continue;
        }
        m_pullPeer = candidate.peer;
        m_pullDeadline = now + m_options.pullTimeout;
        ++m_counters.pulls;
        return candidate.peer;
    }
    return std::nullopt;
}

bool ConfigSync::isPulling() const
{
    return m_pullPeer.has_value();
}

ConfigPull ConfigSync::makePull() const
{
    return {m_set.versions()};
}

ConfigPullAnswer ConfigSync::answerPull(const ConfigPull &pull) const
{
    ConfigPullAnswer answer{.digest = digest(), .storeEra = m_storeEra};
    if (answer.digest == 0) {
        return answer;
    }
    std::size_t bytes = 0;
    for (const auto &it : m_set.objectsNewerThan(pull.known)) {
        bytes += it->text.size();
        if (bytes > m_options.maxPullBytes && !answer.objects.empty()) {
            answer.isPartial = true;
            break;
        }
        answer.objects.push_back(it->text);
    }
    return answer;
}

void ConfigSync::onPullAnswer(TimePoint now, NodeId peer, const ConfigPullAnswer &answer)
{
    if (m_pullPeer == peer) {
        m_pullPeer.reset();
    }
    if (answer.digest == 0) {
        return;
    }
    const auto previousDigest = digest();
    adoptStoreEra(now, answer.storeEra);
    for (const auto &it : answer.objects) {
        applyObject(now, parseObject(it));
    }
    m_isConfigured = m_isConfigured || !answer.isPartial;
    recordFormerDigest(now, previousDigest);
    if (answer.isPartial) {
        m_pullCandidates.push_back({peer, answer.digest});
    }
    if (digest() == previousDigest) {
        ++m_counters.emptyPulls;
        recordUselessDigest(answer.digest);
    }
}

void ConfigSync::onPullFailed(NodeId peer)
{
    if (m_pullPeer == peer) {
        m_pullPeer.reset();
        ++m_counters.failedPulls;
    }
}

} // namespace chicoryspar
