#include "sardinehollow_sharing/follower/StoreFollower.h"

#include "sardinehollow_platform/store/StoreHistory.h"

#include <algorithm>

namespace sardinehollow::sharing {

StoreFollower::StoreFollower(SharingTimes times)
    : m_times(times)
{ }

void StoreFollower::setRelays(std::set<std::string> relays)
{
    m_relays = std::move(relays);
    std::erase_if(m_relayStates,
                  [this](const auto &item) { return m_relays.count(item.first) == 0; });
}

bool StoreFollower::onSnapshot(std::int64_t revision)
{
    if (revision < m_revision)
        return false;
    m_revision = revision;
    return true;
}

std::vector<platform::KeyValue>
StoreFollower::onWatched(const std::vector<platform::KeyValue> &changes, std::int64_t revision)
{
    return newChanges(changes, revision);
}

StoreFollower::Update StoreFollower::onFrame(const std::string &relay, const FeedFrame &frame)
{
    Update update;
    if (m_relays.count(relay) == 0)
        return update;
    update.isRestored = m_revision > 0
            && platform::historyOf(frame.revision) > platform::historyOf(m_revision);
    // Changes can only be applied to contents, and contents only be taken where there are none, or
    // none of the store's present history.
    if ((m_revision == 0 || update.isRestored) != frame.isSnapshot)
        return {};
    Relay &state = m_relayStates[relay];
    if (frame.isHistoryLost || !frame.changes) {
        state.currentAt = core::Instant {0};
        return update;
    }
    if (frame.afterRevision > m_revision) {
        update.hasGap = true;
        return update;
    }
    update.isSnapshot = frame.isSnapshot;
    if (frame.isSnapshot)
        m_isWatching = false;
    update.hasRegained = state.recoveries && *state.recoveries != frame.recoveries;
    state.recoveries = frame.recoveries;
    update.changes = newChanges(*frame.changes, frame.revision);
    // A lower bound: the request arrived after it was sent, however long both messages took.
    if (frame.currentAfterRequest)
        state.currentAt = std::max(state.currentAt, frame.requestedAt + *frame.currentAfterRequest);
    return update;
}

std::vector<platform::KeyValue>
StoreFollower::newChanges(const std::vector<platform::KeyValue> &changes, std::int64_t revision)
{
    std::vector<platform::KeyValue> result;
    for (const platform::KeyValue &change : changes) {
        if (change.modRevision > m_revision)
            result.push_back(change);
    }
    m_revision = std::max(m_revision, revision);
    return result;
}

void StoreFollower::onOwnContact(core::Instant startedAt)
{
    m_ownContactAt = std::max(m_ownContactAt.value_or(startedAt), startedAt);
}

bool StoreFollower::isWatchNeeded(core::Instant now)
{
    if (m_relays.empty() || m_revision == 0) {
        m_isWatching = true;
        return true;
    }
    if (!isRelayFresh(now)) {
        m_freshSince.reset();
        // While this daemon cannot reach the store either, a watch would only add refused calls.
        m_isWatching = !m_ownContactAt || isOwnContactRecent(now);
        return m_isWatching;
    }
    if (!m_freshSince)
        m_freshSince = now;
    if (now - *m_freshSince >= m_times.settlingTime)
        m_isWatching = false;
    return m_isWatching;
}

bool StoreFollower::isStoreLost(core::Instant now) const
{
    return !m_relays.empty() && m_ownContactAt && !isRelayFresh(now) && !isOwnContactRecent(now);
}

std::optional<core::Duration> StoreFollower::age(core::Instant now) const
{
    core::Instant latest {0};
    for (const auto &[name, relay] : m_relayStates)
        latest = std::max(latest, relay.currentAt);
    if (latest.count() == 0)
        return std::nullopt;
    return now - latest;
}

bool StoreFollower::isRelayFresh(core::Instant now) const
{
    const std::optional<core::Duration> current = age(now);
    return current && *current <= m_times.maximumAge;
}

bool StoreFollower::isOwnContactRecent(core::Instant now) const
{
    return m_ownContactAt && now - *m_ownContactAt <= m_times.contactLifetime;
}

} // namespace sardinehollow::sharing
