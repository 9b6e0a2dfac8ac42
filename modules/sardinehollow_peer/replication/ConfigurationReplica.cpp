#include "sardinehollow_peer/replication/ConfigurationReplica.h"

#include "sardinehollow_config/parts/ConfigurationDelta.h"
#include "sardinehollow_core/hash/Sha256.h"

#include <algorithm>

namespace sardinehollow::peer {

namespace {

constexpr std::size_t recentHeadLimit = 32;
constexpr std::size_t pieceBytes = 256 * 1024;
// The store accepts no larger values.
constexpr std::uint64_t maximumPartBytes = 1024 * 1024;

wire::ConfigurationHead toWire(const ReplicaHead &head)
{
    wire::ConfigurationHead message;
    message.set_generation(head.generation);
    message.set_manifest(head.manifest);
    message.set_delta(head.delta);
    message.set_digest(head.digest);
    message.set_submission_id(head.submissionId);
    message.set_author(head.author);
    message.set_message(head.message);
    return message;
}

ReplicaHead fromWire(const wire::ConfigurationHead &message)
{
    return {message.generation(),    message.manifest(), message.delta(),  message.digest(),
            message.submission_id(), message.author(),   message.message()};
}

} // namespace

ConfigurationReplica::ConfigurationReplica(ReplicaTimes times, core::RandomSource &random,
                                           core::Instant now)
    : m_times(times)
    , m_random(random)
    , m_started(now)
    , m_nextWatchAttempt(now + times.relaySettleDelay)
    , m_backOff(times.initialBackOff)
{ }

ReplicaActions ConfigurationReplica::advance(const ReplicaRoster &roster, core::Instant now)
{
    m_roster = roster;
    ReplicaActions actions = updateWatch(now);
    if (m_deferredHead && roster.generationsKnown) {
        const ReplicaHead deferred = *m_deferredHead;
        m_deferredHead.reset();
        actions.append(considerHead(deferred, {}, now));
    }
    actions.append(requestFromPeers(now));
    const core::Duration timeout = m_download && m_download->source.empty()
            ? m_times.storeTimeout
            : m_times.requestTimeout;
    if (m_download && now - m_download->requestedAt >= timeout) {
        chooseSource(now);
        actions.append(continueDownload(now));
    }
    return actions;
}

ReplicaActions ConfigurationReplica::onMessage(const wire::Envelope &envelope, core::Instant now)
{
    if (envelope.has_configuration_announcement())
        return onAnnouncement(envelope, now);
    if (envelope.has_configuration_request())
        return onRequest(envelope);
    if (envelope.has_configuration_parts())
        return onParts(envelope, now);
    return {};
}

ReplicaActions ConfigurationReplica::onWatchStarted(const std::optional<ReplicaHead> &head,
                                                    core::Instant now)
{
    m_watchPending = false;
    m_watching = true;
    m_backOff = m_times.initialBackOff;
    return head ? considerStoreHead(*head, now) : ReplicaActions();
}

ReplicaActions ConfigurationReplica::onStoreHead(const ReplicaHead &head, core::Instant now)
{
    return considerStoreHead(head, now);
}

void ConfigurationReplica::onStoreLost(core::Instant now)
{
    m_watchPending = false;
    m_watching = false;
    // Full jitter, so that the relays do not all reconnect to the store at the same time.
    m_nextWatchAttempt = now + jittered(m_backOff);
    m_backOff = std::min(2 * m_backOff, m_times.maximumBackOff);
}

ReplicaActions ConfigurationReplica::onStorePart(const std::string &digest, const std::string &text,
                                                 core::Instant now)
{
    const bool wanted
            = m_download && m_download->source.empty() && m_download->wantedDigest == digest;
    // After a failed read, the time-out selects another source.
    if (!wanted || core::sha256Hex(text) != digest)
        return {};
    return addPart(digest, std::make_shared<const std::string>(text), now);
}

ReplicaActions ConfigurationReplica::considerStoreHead(const ReplicaHead &head, core::Instant now)
{
    m_storeGeneration = std::max(m_storeGeneration, head.generation);
    // A restarted failure domain must not adopt stale data of the store if other daemons have a
    // newer generation.
    if (!m_content && !m_roster.generationsKnown) {
        if (!m_deferredHead || m_deferredHead->generation < head.generation)
            m_deferredHead = head;
        return {};
    }
    return considerHead(head, {}, now);
}

ReplicaActions ConfigurationReplica::considerHead(const ReplicaHead &head,
                                                  const std::string &source, core::Instant now)
{
    const bool conflicts = m_content && head.generation == generation()
            && head.manifest != m_content->head.manifest;
    if (conflicts)
        ++m_conflictingHeads;
    if (source.empty() && head.generation < generation())
        ++m_lowerHeads;
    if (head.generation <= generation())
        return {};
    if (auto content = applyDelta(head))
        return adopt(std::move(content));
    if (m_download && m_download->head.generation >= head.generation)
        return {};
    Download next;
    next.head = head;
    // Parts that the new head shares with the current download are not downloaded again.
    if (m_download)
        next.texts = std::move(m_download->texts);
    m_download = std::move(next);
    m_download->source = source;
    return continueDownload(now);
}

std::shared_ptr<const ReplicaContent>
ConfigurationReplica::applyDelta(const ReplicaHead &head) const
{
    if (head.delta.empty() || !m_content)
        return nullptr;
    const core::Result<config::ConfigurationDelta> delta
            = config::ConfigurationDelta::fromJson(head.delta);
    if (!delta || delta->baseGeneration != generation())
        return nullptr;
    const auto lookup = [this](const std::string &digest) { return findText(digest).get(); };
    core::Result<std::vector<config::ConfigurationPart>> parts
            = delta->apply(m_content->digests, lookup);
    if (!parts)
        return nullptr;
    auto content = std::make_shared<ReplicaContent>();
    content->head = head;
    for (config::ConfigurationPart &part : *parts) {
        const auto unchanged = m_content->texts.find(part.digest);
        content->texts[part.digest] = unchanged != m_content->texts.end()
                ? unchanged->second
                : std::make_shared<const std::string>(std::move(part.text));
        content->digests.push_back(std::move(part.digest));
    }
    config::ConfigurationPart manifest = config::makeManifest(content->digests);
    if (manifest.digest != head.manifest)
        return nullptr;
    content->texts[manifest.digest] = std::make_shared<const std::string>(std::move(manifest.text));
    return content;
}

ReplicaActions ConfigurationReplica::adopt(std::shared_ptr<const ReplicaContent> content)
{
    if (m_download && m_download->head.generation <= content->head.generation)
        m_download.reset();
    m_behindSince.reset();
    m_recentHeads.push_back(content->head);
    if (m_recentHeads.size() > recentHeadLimit)
        m_recentHeads.pop_front();
    m_previousContent = std::move(m_content);
    m_content = std::move(content);
    ReplicaActions actions;
    actions.adopted.push_back(m_content);
    if (!m_roster.relay)
        return actions;
    for (const ReplicaRoster::Source &member : m_roster.members) {
        OutgoingMessage message;
        message.vm = member.vm;
        *message.envelope.mutable_configuration_announcement()->mutable_head()
                = toWire(m_content->head);
        actions.messages.push_back(std::move(message));
    }
    return actions;
}

ReplicaActions ConfigurationReplica::continueDownload(core::Instant now)
{
    ReplicaActions actions;
    if (!m_download)
        return actions;
    m_download->wantedDigest = collectLocalParts();
    if (m_download->wantedDigest.empty()) {
        auto content = std::make_shared<ReplicaContent>();
        content->head = m_download->head;
        content->digests = m_download->digests;
        for (const std::string &digest : content->digests)
            content->texts[digest] = m_download->texts.at(digest);
        content->texts[content->head.manifest] = m_download->texts.at(content->head.manifest);
        return adopt(std::move(content));
    }
    m_download->requestedAt = now;
    if (m_download->source.empty()) {
        actions.readParts.push_back(m_download->wantedDigest);
        return actions;
    }
    OutgoingMessage message;
    message.vm = m_download->source;
    wire::ConfigurationRequest &request = *message.envelope.mutable_configuration_request();
    request.set_generation(generation());
    request.set_part_digest(m_download->wantedDigest);
    request.set_offset(m_download->partialText.size());
    actions.messages.push_back(std::move(message));
    return actions;
}

ReplicaActions ConfigurationReplica::addPart(const std::string &digest,
                                             std::shared_ptr<const std::string> text,
                                             core::Instant now)
{
    m_download->partialText.clear();
    m_download->texts[digest] = std::move(text);
    return continueDownload(now);
}

std::string ConfigurationReplica::collectLocalParts()
{
    Download &download = *m_download;
    const auto obtain = [this, &download](const std::string &digest) {
        std::shared_ptr<const std::string> &text = download.texts[digest];
        if (!text)
            text = findText(digest);
        return text;
    };
    const std::shared_ptr<const std::string> manifest = obtain(download.head.manifest);
    if (!manifest)
        return download.head.manifest;
    download.digests = config::readManifest(*manifest);
    const auto missing
            = std::find_if(download.digests.begin(), download.digests.end(),
                           [&obtain](const std::string &digest) { return !obtain(digest); });
    return missing == download.digests.end() ? std::string() : *missing;
}

ReplicaActions ConfigurationReplica::onAnnouncement(const wire::Envelope &envelope,
                                                    core::Instant now)
{
    return considerHead(fromWire(envelope.configuration_announcement().head()),
                        envelope.sender_id(), now);
}

ReplicaActions ConfigurationReplica::onRequest(const wire::Envelope &envelope) const
{
    const wire::ConfigurationRequest &request = envelope.configuration_request();
    ReplicaActions actions;
    if (!request.part_digest().empty())
        actions.messages.push_back(makePieceReply(envelope.sender_id(), request));
    else if (request.generation() < generation())
        actions.messages.push_back(makeHeadsReply(envelope.sender_id(), request.generation()));
    return actions;
}

ReplicaActions ConfigurationReplica::onParts(const wire::Envelope &envelope, core::Instant now)
{
    const wire::ConfigurationParts &parts = envelope.configuration_parts();
    ReplicaActions actions;
    for (const wire::ConfigurationHead &head : parts.heads())
        actions.append(considerHead(fromWire(head), envelope.sender_id(), now));
    const bool expected = m_download && !m_download->source.empty()
            && m_download->wantedDigest == parts.part_digest() && !parts.part_digest().empty()
            && m_download->partialText.size() == parts.offset();
    if (!expected || parts.piece().empty() || parts.size() > maximumPartBytes)
        return actions;
    m_download->partialText += parts.piece();
    if (m_download->partialText.size() < parts.size()) {
        actions.append(continueDownload(now));
        return actions;
    }
    auto text = std::make_shared<const std::string>(std::move(m_download->partialText));
    m_download->partialText.clear();
    const std::string digest = parts.part_digest();
    // A damaged part is requested again after the time-out, from another source.
    if (core::sha256Hex(*text) == digest)
        actions.append(addPart(digest, std::move(text), now));
    return actions;
}

OutgoingMessage
ConfigurationReplica::makePieceReply(const std::string &vm,
                                     const wire::ConfigurationRequest &request) const
{
    OutgoingMessage message;
    message.vm = vm;
    wire::ConfigurationParts &parts = *message.envelope.mutable_configuration_parts();
    parts.set_part_digest(request.part_digest());
    parts.set_offset(request.offset());
    const std::shared_ptr<const std::string> text = findText(request.part_digest());
    if (!text || request.offset() >= text->size())
        return message;
    parts.set_size(text->size());
    parts.set_piece(text->substr(request.offset(), pieceBytes));
    return message;
}

OutgoingMessage ConfigurationReplica::makeHeadsReply(const std::string &vm,
                                                     std::uint64_t generation) const
{
    OutgoingMessage message;
    message.vm = vm;
    wire::ConfigurationParts &parts = *message.envelope.mutable_configuration_parts();
    const auto first = std::find_if(
            m_recentHeads.begin(), m_recentHeads.end(),
            [generation](const ReplicaHead &head) { return head.generation == generation + 1; });
    if (generation == 0 || first == m_recentHeads.end()) {
        *parts.add_heads() = toWire(m_content->head);
        return message;
    }
    for (auto head = first; head != m_recentHeads.end(); ++head)
        *parts.add_heads() = toWire(*head);
    return message;
}

std::shared_ptr<const std::string> ConfigurationReplica::findText(const std::string &digest) const
{
    for (const auto &content : {m_content, m_previousContent}) {
        if (!content)
            continue;
        const auto found = content->texts.find(digest);
        if (found != content->texts.end())
            return found->second;
    }
    return nullptr;
}

ReplicaActions ConfigurationReplica::updateWatch(core::Instant now)
{
    ReplicaActions actions;
    if (!m_roster.relay) {
        actions.cancelWatch = m_watching || m_watchPending;
        m_watching = false;
        m_watchPending = false;
        return actions;
    }
    if (m_watching || m_watchPending || now < m_nextWatchAttempt)
        return actions;
    m_watchPending = true;
    actions.startWatch = true;
    return actions;
}

ReplicaActions ConfigurationReplica::requestFromPeers(core::Instant now)
{
    ReplicaActions actions;
    const std::vector<std::string> sources = sourcesAbove(generation());
    if (sources.empty() || m_download) {
        m_behindSince.reset();
        return actions;
    }
    if (!m_behindSince)
        m_behindSince = now;
    const core::Duration grace = m_content ? m_times.announcementGrace : core::Duration(0);
    if (now - *m_behindSince < grace || now < m_nextRequestTime)
        return actions;
    m_nextRequestTime = now + m_times.requestTimeout;
    OutgoingMessage message;
    message.vm = sources[m_random.nextBelow(sources.size())];
    message.envelope.mutable_configuration_request()->set_generation(generation());
    actions.messages.push_back(std::move(message));
    return actions;
}

void ConfigurationReplica::chooseSource(core::Instant now)
{
    m_download->partialText.clear();
    std::vector<std::string> sources = sourcesAbove(m_download->head.generation - 1);
    // Only the relay reads from the store, so that the daemons do not all read from it at the same
    // time.
    if (m_roster.relay)
        sources.emplace_back();
    m_download->requestedAt = now;
    if (sources.empty()) {
        m_download.reset();
        return;
    }
    m_download->source = sources[m_random.nextBelow(sources.size())];
}

std::vector<std::string> ConfigurationReplica::sourcesAbove(std::uint64_t generation) const
{
    std::vector<std::string> sources;
    for (const ReplicaRoster::Source &member : m_roster.members) {
        if (member.generation > generation)
            sources.push_back(member.vm);
    }
    if (!sources.empty() || !m_roster.relay)
        return sources;
    for (const ReplicaRoster::Source &other : m_roster.others) {
        if (other.generation > generation)
            sources.push_back(other.vm);
    }
    return sources;
}

core::Duration ConfigurationReplica::jittered(core::Duration duration)
{
    return std::chrono::duration_cast<core::Duration>(duration * m_random.nextUnit());
}

} // namespace sardinehollow::peer
