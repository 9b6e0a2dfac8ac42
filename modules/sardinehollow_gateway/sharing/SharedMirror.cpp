#include "sardinehollow_gateway/sharing/SharedMirror.h"

#include "sardinehollow_gateway/application/EntryCodec.h"
#include "sardinehollow_gateway/sharing/FeedCodec.h"
#include "sardinehollow_metrics/PrometheusWriter.h"
#include "sardinehollow_platform/store/StoreHistory.h"

#include <algorithm>

namespace sardinehollow::gateway {

namespace {

// Time in which a relay that starts at the same moment has read the store and passed it on.
constexpr core::Duration joinTimeout = std::chrono::seconds(1);

std::string joined(const std::set<std::string> &names)
{
    std::string text;
    for (const std::string &name : names)
        text += (text.empty() ? "" : " ") + name;
    return text;
}

} // namespace

SharedMirror::SharedMirror(Settings settings, network::EventLoop &loop,
                           const core::MonotonicClock &clock, logging::EventLog &log,
                           platform::KeyValueStore &store, platform::MirrorListener &target,
                           PeerLink *peers)
    : m_settings(std::move(settings))
    , m_loop(loop)
    , m_clock(clock)
    , m_log(log)
    , m_store(store)
    , m_target(target)
    , m_peers(m_settings.self.peerAddress.empty() ? nullptr : peers)
    , m_times(m_settings.maxStoreDelay)
    , m_follower(m_times)
    , m_feed(m_times)
    // All keys are of interest, so that one watch replaces a watch for each prefix.
    , m_mirror(store, platform::CallPurpose::Configuration, "", *this, m_settings.seed,
               m_times.ownWatchPause, m_peers == nullptr)
{
    setWatchPacing();
    if (!m_peers)
        return;
    m_peers->addListener(*this);
    m_isWatching = false;
    m_entriesRead = std::make_unique<EntriesRead>(
            store, loop, [this](const auto &entries) { onEntriesRead(entries); });
}

SharedMirror::~SharedMirror() = default;

void SharedMirror::onSnapshotRequested()
{
    m_snapshotRequestedAt = m_clock.now();
}

void SharedMirror::onSnapshot(const std::vector<platform::KeyValue> &keyValues)
{
    m_loop.post([this, keyValues, revision = m_mirror.revision(), time = m_snapshotRequestedAt] {
        applySnapshot(keyValues, revision);
        m_completeAt = std::max(m_completeAt, time);
    });
}

void SharedMirror::onChanged(const std::vector<platform::KeyValue> &keyValues)
{
    m_loop.post([this, keyValues, revision = m_mirror.revision()] {
        applyChanges(m_follower.onWatched(keyValues, revision));
    });
}

void SharedMirror::onUpToDate()
{
    // Only a report of the watch proves that changes reach this daemon; other calls to the store
    // may be answered while the watch's connection is dead.
    m_loop.post([this, now = m_clock.now()] {
        m_completeAt = std::max(m_completeAt, now);
        m_feed.setCurrentAt(now);
    });
}

void SharedMirror::onStoreLost(const core::Error &reason)
{
    m_loop.post([this, reason] {
        m_isWatchLost = true;
        applyLost(reason);
    });
}

void SharedMirror::onStoreRegained()
{
    m_loop.post([this] {
        m_isWatchLost = false;
        applyRegained();
    });
}

void SharedMirror::onEntriesRead(const core::Result<platform::RangeResult> &entries)
{
    m_joinDeadline = m_loop.now() + joinTimeout;
    routing::EntryDirectory directory;
    for (const platform::KeyValue &keyValue :
         entries ? entries->keyValues : std::vector<platform::KeyValue> {}) {
        const core::Result<Entry> entry = decodeEntry(keyValue.value);
        if (entry)
            directory.put(entry->daemon);
    }
    // Without its entry, the relays do not know this daemon.
    if (directory.daemons().count(m_settings.self.name) > 0) {
        m_peers->setIncarnation(static_cast<std::uint64_t>(entries->revision));
        updateMembers(directory);
        m_peers->invalidate();
    }
    if (m_follower.relays().empty())
        stopJoining();
}

void SharedMirror::stopJoining()
{
    if (!m_joinedAt && m_joinDeadline && !m_follower.relays().empty())
        m_log.write(logging::LogLine("no-contents-received")
                            .text("relays", joined(m_follower.relays())));
    m_joinDeadline.reset();
    m_isWatching = !m_joinedAt;
    m_mirror.setActive(m_isWatching);
}

void SharedMirror::applySnapshot(const std::vector<platform::KeyValue> &keyValues,
                                 std::int64_t revision)
{
    const std::int64_t previous = m_follower.revision();
    const bool isFirst = previous == 0;
    const bool isRestored
            = !isFirst && platform::historyOf(revision) > platform::historyOf(previous);
    const std::vector<platform::KeyValue> changes = changesOf(keyValues, revision);
    if (!m_follower.onSnapshot(revision))
        return;
    replaceContents(keyValues);
    if (isRestored)
        m_target.onStoreRestored();
    // A relay's followers wait for contents that are not out of date.
    if (isFirst && m_isRelay)
        m_mirror.restartWatch();
    if (isFirst || isRestored)
        m_feed.reset(revision);
    else
        m_feed.append(changes, revision);
    m_target.onSnapshot(keyValues);
}

void SharedMirror::replaceContents(const std::vector<platform::KeyValue> &keyValues)
{
    m_contents.clear();
    for (const platform::KeyValue &keyValue : keyValues)
        m_contents[keyValue.key] = keyValue;
}

std::vector<platform::KeyValue>
SharedMirror::changesOf(const std::vector<platform::KeyValue> &keyValues,
                        std::int64_t revision) const
{
    std::vector<platform::KeyValue> changes;
    std::set<std::string> present;
    for (const platform::KeyValue &keyValue : keyValues) {
        present.insert(keyValue.key);
        if (keyValue.modRevision > m_follower.revision())
            changes.push_back(keyValue);
    }
    for (const auto &[key, known] : m_contents) {
        if (present.count(key) == 0)
            changes.push_back({key, "", revision, 0, true});
    }
    return changes;
}

void SharedMirror::applyChanges(const std::vector<platform::KeyValue> &changes)
{
    for (const platform::KeyValue &change : changes) {
        if (change.isDeleted)
            m_contents.erase(change.key);
        else
            m_contents[change.key] = change;
    }
    // A daemon without followers needs no history.
    if (m_isRelay)
        m_feed.append(changes, m_follower.revision());
    else
        m_feed.reset(m_follower.revision());
    if (!changes.empty())
        m_target.onChanged(changes);
    sendFrames();
}

void SharedMirror::applyLost(const core::Error &reason)
{
    if (m_isLost)
        return;
    m_isLost = true;
    m_target.onStoreLost(reason);
}

void SharedMirror::applyRegained()
{
    if (!m_isLost)
        return;
    m_isLost = false;
    m_feed.onRegained();
    m_target.onStoreRegained();
}

void SharedMirror::onPeerMessage(const peer::wire::Envelope &envelope)
{
    const std::string &sender = envelope.sender_id();
    if (envelope.has_store_follow()) {
        const peer::wire::StoreFollow &message = envelope.store_follow();
        // Not the loop's time, which may be that of an iteration's start before the message was
        // sent.
        m_feed.onFollow(sender, message.revision(), core::Instant(message.sent_at_ns()),
                        m_clock.now());
    }
    if (!envelope.has_store_changes())
        return;
    const core::Result<sharing::FeedFrame> frame = decodeFrame(envelope.store_changes());
    if (frame)
        applyFrame(sender, *frame);
    else
        m_log.write(logging::LogLine("peer-message-unreadable")
                            .text("vm", sender)
                            .text("error", frame.error().text()));
}

void SharedMirror::applyFrame(const std::string &relay, const sharing::FeedFrame &frame)
{
    ++m_framesReceived;
    const sharing::StoreFollower::Update update = m_follower.onFrame(relay, frame);
    if (update.hasGap) {
        sendFollow(relay);
        return;
    }
    if (update.hasRegained) {
        m_isLost = true;
        applyRegained();
    }
    if (update.isSnapshot) {
        replaceContents(update.changes);
        if (update.isRestored)
            m_target.onStoreRestored();
        m_feed.reset(m_follower.revision());
        m_joinedAt = m_loop.now();
        stopJoining();
        sendFollows();
        m_log.write(logging::LogLine("contents-received")
                            .text("relay", relay)
                            .number("keys", static_cast<std::int64_t>(update.changes.size()))
                            .number("revision", m_follower.revision()));
        m_target.onSnapshot(update.changes);
    } else {
        applyChanges(update.changes);
    }
    m_mirror.advanceTo(m_follower.revision());
}

void SharedMirror::onTick(const routing::EntryDirectory &entries)
{
    if (m_joinDeadline && m_loop.now() >= *m_joinDeadline)
        stopJoining();
    if (!m_joinDeadline)
        updateMembers(entries);
    updateWatch();
    if (!isSharing())
        return;
    if (m_joinDeadline || m_loop.now() - m_followedAt >= m_times.followInterval)
        sendFollows();
    sendFrames();
}

bool SharedMirror::isSharing() const
{
    return m_peers && m_peers->isOpen();
}

void SharedMirror::updateMembers(const routing::EntryDirectory &entries)
{
    if (!m_peers || !m_peers->update(entries))
        return;
    const PeerPlan &plan = m_peers->plan();
    if (plan.hasFollowers() && !m_peers->isOpen())
        return;
    m_isRelay = plan.isRelay && plan.hasFollowers();
    setWatchPacing();
    const std::set<std::string> relays = plan.isRelay ? std::set<std::string> {} : plan.ownRelays;
    if (relays == m_follower.relays())
        return;
    m_follower.setRelays(relays);
    m_log.write(logging::LogLine("relays-changed")
                        .text("relays", joined(relays))
                        .number("members", static_cast<std::int64_t>(plan.ownMembers)));
    sendFollows();
}

// Where no daemon depends on another, longer pauses save calls.
void SharedMirror::setWatchPacing()
{
    if (m_isRelay)
        m_store.setWatchPacing({m_times.watchPause, m_times.watchPause, m_times.watchWait});
    else
        m_store.setWatchPacing({m_times.ownWatchPause, core::Duration {0}, m_times.ownWatchWait});
}

void SharedMirror::updateWatch()
{
    const core::Instant now = m_loop.now();
    const core::Duration age = m_follower.age(now).value_or(core::Duration {-1});
    // After a restart of all daemons, the relays have to watch the store first.
    const bool isAwaitingRelay
            = m_joinedAt && age.count() < 0 && now - *m_joinedAt < m_times.maximumAge;
    if (m_follower.revision() == 0 || isAwaitingRelay)
        return;
    const bool isNeeded = m_follower.isWatchNeeded(now);
    if (isNeeded != m_isWatching) {
        m_isWatching = isNeeded;
        m_watchStarts += isNeeded ? 1 : 0;
        m_mirror.setActive(isNeeded);
        m_log.write(logging::LogLine(isNeeded ? "store-watch-started" : "store-watch-paused")
                            .milliseconds("relayAgeMs", age)
                            .number("revision", m_follower.revision()));
    }
    if (m_isWatching)
        return;
    m_isWatchLost = false;
    if (m_follower.isStoreLost(now))
        applyLost({core::ErrorKind::Unavailable,
                   "neither a relay nor this daemon has had contact with the store lately",
                   "check the state of the platform's store"});
    else if (age.count() >= 0 && age <= m_times.maximumAge)
        applyRegained();
}

void SharedMirror::onStoreContact(core::Instant startedAt, std::int64_t revision)
{
    m_follower.onOwnContact(startedAt);
    // The watch may wait for a response of the earlier history.
    if (m_isWatching && platform::historyOf(revision) > platform::historyOf(m_follower.revision()))
        m_mirror.restartWatch();
    if (m_hasWrittenEntry || revision == 0)
        return;
    // The revision of the entry's write grows from one start of this daemon to the next.
    m_hasWrittenEntry = true;
    if (m_peers)
        m_peers->setIncarnation(static_cast<std::uint64_t>(revision));
}

void SharedMirror::sendFollow(const std::string &relay)
{
    peer::wire::Envelope envelope;
    peer::wire::StoreFollow &message = *envelope.mutable_store_follow();
    message.set_revision(m_follower.revision());
    message.set_sent_at_ns(m_loop.now().count());
    m_peers->send(relay, std::move(envelope));
}

void SharedMirror::sendFollows()
{
    m_followedAt = m_loop.now();
    const bool hasPurpose = m_follower.revision() > 0 || m_joinDeadline;
    if (!isSharing() || !hasPurpose)
        return;
    for (const std::string &relay : m_follower.relays())
        sendFollow(relay);
}

void SharedMirror::sendFrames()
{
    // Only what this daemon has seen itself is passed on, never what another relay told.
    if (!isSharing() || !m_isWatching)
        return;
    FeedEncoder encoder;
    for (auto &[vm, frame] : m_feed.takeFrames(m_loop.now())) {
        const bool hasContentsOfHistory = platform::historyOf(frame.afterRevision)
                        == platform::historyOf(m_follower.revision())
                && frame.afterRevision > 0;
        if (frame.isHistoryLost && !hasContentsOfHistory)
            addContents(frame);
        m_peers->send(vm, encoder.encode(frame));
        ++m_framesSent;
    }
}

void SharedMirror::addContents(sharing::FeedFrame &frame) const
{
    if (m_contents.empty())
        return;
    auto contents = std::make_shared<std::vector<platform::KeyValue>>();
    for (const auto &[key, keyValue] : m_contents)
        contents->push_back(keyValue);
    frame.isHistoryLost = false;
    frame.isSnapshot = true;
    frame.revision = m_follower.revision();
    frame.changes = std::move(contents);
}

std::optional<core::Duration> SharedMirror::age() const
{
    const core::Instant now = m_clock.now();
    const std::optional<core::Duration> relayAge = m_follower.age(now);
    if (m_completeAt.count() == 0)
        return relayAge;
    return std::min(now - m_completeAt, relayAge.value_or(core::Duration::max()));
}

void SharedMirror::appendMetrics(metrics::PrometheusWriter &writer) const
{
    const auto add = [&writer](const char *name, const char *help, const char *type, double value) {
        writer.family(name, help, type);
        writer.sample(name, {}, std::to_string(value));
    };
    const auto age = m_follower.age(m_loop.now());
    add("store_followers", "Daemons that this daemon tells about changes of the store.", "gauge",
        static_cast<double>(m_feed.followerCount()));
    add("store_watching", "Whether this daemon watches the store itself.", "gauge",
        m_isWatching ? 1 : 0);
    add("store_watch_starts_total", "Times that no relay was up to date.", "counter",
        static_cast<double>(m_watchStarts));
    add("store_frames_sent_total", "Frames about the store sent to followers.", "counter",
        static_cast<double>(m_framesSent));
    add("store_frames_received_total", "Frames about the store received from relays.", "counter",
        static_cast<double>(m_framesReceived));
    const auto knowledgeAge = this->age();
    add("store_knowledge_age_seconds",
        "Time since this daemon last knew all changes of the store; -1 if it never did.", "gauge",
        knowledgeAge ? std::chrono::duration<double>(*knowledgeAge).count() : -1);
    add("store_relay_age_seconds", "Age of the relays' contents of the store; -1 without a relay.",
        "gauge", age ? std::chrono::duration<double>(*age).count() : -1);
}

} // namespace sardinehollow::gateway
