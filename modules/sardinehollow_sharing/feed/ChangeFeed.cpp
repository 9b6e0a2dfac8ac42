#include "sardinehollow_sharing/feed/ChangeFeed.h"

#include <algorithm>

namespace sardinehollow::sharing {

ChangeFeed::ChangeFeed(SharingTimes times)
    : m_times(times)
{ }

void ChangeFeed::reset(std::int64_t revision)
{
    m_history.reset(revision);
    for (auto &[vm, follower] : m_followers)
        follower.isFrameDue = true;
}

void ChangeFeed::append(const std::vector<platform::KeyValue> &changes, std::int64_t revision)
{
    m_history.append(changes, revision);
    if (changes.empty())
        return;
    for (auto &[vm, follower] : m_followers)
        follower.isFrameDue = true;
}

void ChangeFeed::setCurrentAt(core::Instant time)
{
    m_currentAt = std::max(m_currentAt, time);
}

void ChangeFeed::onFollow(const std::string &vm, std::int64_t revision, core::Instant requestedAt,
                          core::Instant now)
{
    Follower &follower = m_followers[vm];
    // The follower may have missed frames, or be ahead by frames of another relay.
    follower.isFrameDue = follower.isFrameDue || revision < follower.revision;
    follower.revision = revision;
    follower.requestedAt = requestedAt;
    follower.arrivedAt = now;
}

std::vector<std::pair<std::string, FeedFrame>> ChangeFeed::takeFrames(core::Instant now)
{
    std::erase_if(m_followers, [&](const auto &item) {
        return now - item.second.arrivedAt > m_times.followLifetime;
    });
    std::vector<std::pair<std::string, FeedFrame>> frames;
    std::map<std::int64_t, Changes> cache;
    for (auto &[vm, follower] : m_followers) {
        if (!follower.isFrameDue && now - follower.sentAt < m_times.frameInterval)
            continue;
        frames.emplace_back(vm, makeFrame(follower, changesAfter(follower.revision, cache)));
        if (!frames.back().second.isHistoryLost)
            follower.revision = frames.back().second.revision;
        follower.sentAt = now;
        follower.isFrameDue = false;
    }
    return frames;
}

ChangeFeed::Changes ChangeFeed::changesAfter(std::int64_t revision,
                                             std::map<std::int64_t, Changes> &cache) const
{
    const auto [entry, isNew] = cache.try_emplace(revision);
    if (!isNew)
        return entry->second;
    if (std::optional<std::vector<platform::KeyValue>> changes = m_history.changesAfter(revision))
        entry->second
                = std::make_shared<const std::vector<platform::KeyValue>>(std::move(*changes));
    return entry->second;
}

FeedFrame ChangeFeed::makeFrame(const Follower &follower, Changes changes) const
{
    FeedFrame frame;
    frame.requestedAt = follower.requestedAt;
    if (m_currentAt.count() != 0)
        frame.currentAfterRequest = m_currentAt - follower.arrivedAt;
    frame.afterRevision = follower.revision;
    frame.revision = std::max(follower.revision, m_history.revision());
    frame.recoveries = m_recoveries;
    frame.isHistoryLost = !changes;
    frame.changes = std::move(changes);
    return frame;
}

} // namespace sardinehollow::sharing
