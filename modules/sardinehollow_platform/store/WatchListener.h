#pragma once

#include "sardinehollow_core/errors/Error.h"
#include "sardinehollow_platform/store/KeyValue.h"

#include <vector>

namespace sardinehollow::platform {

/** Receives the changes that a watch reports, on the watch's thread. */
class WatchListener
{
public:
    virtual ~WatchListener() = default;

    /**
     * Called with the keys that changed, in order; a deleted key has isDeleted set. All changes up
     * to the revision have then been reported, so that a new watch can start after it. There may be
     * no keys, which only shows that the store can be reached.
     */
    virtual void onChanged(const std::vector<KeyValue> &keyValues, std::int64_t revision) = 0;
    /** Like onChanged(), but later changes have already been made, and their report follows. */
    virtual void onPartOfChanges(const std::vector<KeyValue> &keyValues, std::int64_t revision)
    {
        onChanged(keyValues, revision);
    }
    /**
     * Called when the watch has ended without being stopped; later changes are not reported.
     * NotFound: the store has compacted the changes after the watch's revision. Conflict: the
     * store's revision went back. In both cases the keys must be read again.
     */
    virtual void onEnded(const core::Error &reason) = 0;
};

} // namespace sardinehollow::platform
