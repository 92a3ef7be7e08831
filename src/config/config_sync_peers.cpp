/// @file
/// ConfigSync, peer side: digests, pulls and answers to pulls.

#include "config/config_sync.h"

#include <algorithm>
#include <utility>

namespace chicoryspar {
namespace {

constexpr std::size_t kMaxPullCandidates = 8;
constexpr std::size_t kMaxFormerDigests = 64;
constexpr std::size_t kMaxUselessDigests = 16;
/// Smallest part of a text that is sent, whatever the pull asks for.
constexpr std::size_t kMinPartBytes = 4096;
/// Digest of a complete but empty configuration; 0 means that the node isn't configured.
constexpr std::uint64_t kEmptyDigest = 1;

/// Returns the parts of the text of @a object that the sender of @a pull lacks.
std::vector<ObjectPart> splitText(const ConfigObject &object, const ConfigPull &pull)
{
    std::vector<ObjectPart> parts;
    const auto hash = hashBytes(object.text);
    const auto begin = hash == pull.receivedTextHash ? static_cast<std::size_t>(pull.receivedBytes) : 0;
    const auto size = std::max<std::size_t>(pull.maxPartBytes, kMinPartBytes);
    for (std::size_t offset = begin; offset < object.text.size(); offset += size) {
        parts.push_back({.kind = object.kind,
                         .name = object.name,
                         .version = versionOf(object),
                         .textHash = hash,
                         .textBytes = object.text.size(),
                         .offset = offset,
                         .bytes = object.text.substr(offset, size)});
    }
    return parts;
}

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
    if (m_openPull && now >= m_openPull->deadline) {
        onPullFailed(m_openPull->candidate.peer);
    }
    if (m_openPull) {
        return std::nullopt;
    }
    while (!m_pullCandidates.empty()) {
        // The most recently added candidate probably has the newest configuration.
        const auto candidate = m_pullCandidates.back();
        m_pullCandidates.pop_back();
        if (isUselessDigest(candidate.digest) && m_isConfigured) {
            continue;
        }
        m_openPull = OpenPull{.candidate = candidate, .deadline = now + m_options.pullTimeout};
        ++m_counters.pulls;
        m_counters.resumedPulls += m_partialText ? 1 : 0;
        return candidate.peer;
    }
    return std::nullopt;
}

bool ConfigSync::isPulling() const
{
    return m_openPull.has_value();
}

ConfigPull ConfigSync::makePull() const
{
    ConfigPull pull{.known = m_set.versions(), .maxPartBytes = m_options.pullPartBytes};
    if (m_partialText) {
        pull.receivedTextHash = m_partialText->hash;
        pull.receivedBytes = m_partialText->text.size();
    }
    return pull;
}

std::vector<ConfigPullAnswer> ConfigSync::answerPull(const ConfigPull &pull) const
{
    ConfigPullAnswer last{.digest = digest(), .storeEra = m_storeEra};
    if (last.digest == 0) {
        return {last};
    }
    std::vector<ConfigPullAnswer> answers;
    std::size_t bytes = 0;
    for (const auto &it : m_set.objectsNewerThan(pull.known)) {
        const bool isFirst = bytes == 0;
        bytes += it->text.size();
        if (bytes > m_options.maxPullBytes && !isFirst) {
            last.isPartial = true;
            break;
        }
        if (pull.maxPartBytes == 0 || it->text.size() <= pull.maxPartBytes) {
            last.objects.push_back(it->text);
            continue;
        }
        for (auto &part : splitText(*it, pull)) {
            answers.push_back({.digest = last.digest, .storeEra = last.storeEra, .part = std::move(part), .isContinued = true});
        }
    }
    answers.push_back(std::move(last));
    return answers;
}

bool ConfigSync::isNeeded(const ObjectPart &part) const
{
    if (part.kind == ObjectKind::Count || part.textBytes > kMaxObjectBytes) {
        return false;
    }
    const auto *known = m_set.findIncludingDeleted(part.kind, part.name);
    return !known || (known->object->order() < part.version.order() && known->object->contentHash != part.version.contentHash);
}

bool ConfigSync::receivePart(TimePoint now, const ObjectPart &part, bool isLate)
{
    if (!isNeeded(part)) {
        return true;
    }
    if (isLate && m_partialText && part.version.order() < m_partialText->order) {
        return false;
    }
    if (!m_partialText || m_partialText->hash != part.textHash) {
        if (part.offset > 0) {
            return false;
        }
        m_partialText = PartialText{.order = part.version.order(), .hash = part.textHash};
        m_partialText->text.reserve(part.textBytes);
    }
    auto &text = m_partialText->text;
    if (part.offset > text.size()) {
        return false;
    }
    const auto known = static_cast<std::size_t>(text.size() - part.offset);
    if (known < part.bytes.size()) {
        text.append(part.bytes, known);
    }
    if (text.size() >= part.textBytes) {
        const auto complete = std::exchange(m_partialText, std::nullopt);
        if (hashBytes(complete->text) != part.textHash) {
            return false;
        }
        applyObject(now, parseObject(complete->text));
    }
    return true;
}

void ConfigSync::onPullAnswer(TimePoint now, NodeId peer, const ConfigPullAnswer &answer)
{
    OpenPull pull{.candidate = {.peer = peer}};
    const bool isLate = !m_openPull || m_openPull->candidate.peer != peer;
    if (!isLate) {
        pull = *std::exchange(m_openPull, std::nullopt);
    }
    if (answer.digest == 0) {
        return;
    }
    const auto previousDigest = digest();
    adoptStoreEra(now, answer.storeEra);
    if (answer.part) {
        pull.hasGap = !receivePart(now, *answer.part, isLate) || pull.hasGap;
    }
    for (const auto &it : answer.objects) {
        applyObject(now, parseObject(it));
    }
    pull.hasChanged = pull.hasChanged || digest() != previousDigest;
    // Parts that preceded a late answer may not have been used.
    const bool isIncomplete = isLate || answer.isContinued || answer.isPartial || pull.hasGap;
    m_isConfigured = m_isConfigured || !isIncomplete;
    recordFormerDigest(now, previousDigest);
    if (answer.isContinued) {
        if (!isLate) {
            pull.deadline = now + m_options.pullTimeout;
            m_openPull = pull;
        }
        return;
    }
    if (isIncomplete) {
        m_pullCandidates.push_back({peer, answer.digest});
    } else if (!pull.hasChanged) {
        ++m_counters.emptyPulls;
        recordUselessDigest(answer.digest);
    }
}

void ConfigSync::onPullFailed(NodeId peer)
{
    if (!m_openPull || m_openPull->candidate.peer != peer) {
        return;
    }
    auto candidate = m_openPull->candidate;
    m_openPull.reset();
    ++m_counters.failedPulls;
    if (!candidate.isRepeated) {
        candidate.isRepeated = true;
        m_pullCandidates.push_front(candidate);
    }
}

} // namespace chicoryspar
