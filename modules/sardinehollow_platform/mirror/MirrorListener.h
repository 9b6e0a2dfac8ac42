#pragma once

#include "sardinehollow_core/errors/Error.h"
#include "sardinehollow_platform/store/KeyValue.h"

#include <vector>

namespace sardinehollow::platform {

/** Receives the keys of a prefix from a PrefixMirror, on the mirror's thread. */
class MirrorListener
{
public:
    virtual ~MirrorListener() = default;

    /** Called before all keys are read, on the thread that reports them. */
    virtual void onSnapshotRequested() { }
    /** Called with all keys of the prefix; keys known from before that are missing were deleted. */
    virtual void onSnapshot(const std::vector<KeyValue> &keyValues) = 0;
    /** Called with the keys that changed, in order; a deleted key has isDeleted set. */
    virtual void onChanged(const std::vector<KeyValue> &keyValues) = 0;
    /**
     * Called after each report of the watch, also of one without changes, unless later changes are
     * still to be reported.
     */
    virtual void onUpToDate() { }
    /**
     * Called when the store was restored from an older copy, before its contents are reported: what
     * was written in between is missing until its writers write it again.
     */
    virtual void onStoreRestored() { }
    /** Called when the store cannot be read; the keys reported so far may be out of date. */
    virtual void onStoreLost(const core::Error &reason) = 0;
    /** Called when the store can be read again after onStoreLost(). */
    virtual void onStoreRegained() = 0;
};

} // namespace sardinehollow::platform
