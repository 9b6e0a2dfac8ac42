#pragma once

#include "sardinehollow_sharing/SharingTimes.h"
#include "sardinehollow_sharing/feed/ChangeHistory.h"
#include "sardinehollow_sharing/feed/FeedFrame.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sardinehollow::sharing {

/** A relay's side of the sharing: its followers, and the frames for them. Performs no I/O. */
class ChangeFeed
{
public:
    explicit ChangeFeed(SharingTimes times);

    /** Starts anew after a read of all keys at a revision, whose changes are not known. */
    void reset(std::int64_t revision);
    /** Adds changes of the store that this daemon has applied. */
    void append(const std::vector<platform::KeyValue> &changes, std::int64_t revision);
    /** Records that the daemon's contents are those that the store had at a time, or later. */
    void setCurrentAt(core::Instant time);
    /** Records that the store can be read again after an outage. */
    void onRegained() { ++m_recoveries; }

    /** Takes the request of a follower that has all changes up to the revision. */
    void onFollow(const std::string &vm, std::int64_t revision, core::Instant requestedAt,
                  core::Instant now);
    /** Returns the frames that are due, by the follower's VM; each is returned once. */
    std::vector<std::pair<std::string, FeedFrame>> takeFrames(core::Instant now);
    std::size_t followerCount() const { return m_followers.size(); }

private:
    struct Follower
    {
        std::int64_t revision = 0;
        core::Instant requestedAt {0};
        core::Instant arrivedAt {0};
        core::Instant sentAt {0};
        bool isFrameDue = true;
    };

    using Changes = std::shared_ptr<const std::vector<platform::KeyValue>>;

    /** Changes after a revision; null if some of them are not known any more. */
    Changes changesAfter(std::int64_t revision, std::map<std::int64_t, Changes> &cache) const;
    FeedFrame makeFrame(const Follower &follower, Changes changes) const;

    const SharingTimes m_times;
    ChangeHistory m_history;
    core::Instant m_currentAt {0};
    std::uint64_t m_recoveries = 0;
    std::map<std::string, Follower> m_followers;
};

} // namespace sardinehollow::sharing
