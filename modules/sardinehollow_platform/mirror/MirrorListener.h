#pragma once

#include "sardinehollow_core/errors/Error.h"
#include "sardinehollow_platform/store/KeyValue.h"

#include <vector>

namespace sardinehollow::platform {

/** Receives the state of a prefix of the store, on the mirror's thread. */
class MirrorListener
{
public:
    virtual ~MirrorListener() = default;

    /** All keys of the prefix; what is missing does not exist any more. */
    virtual void onSnapshot(const std::vector<KeyValue> &keyValues) = 0;
    /** Keys that changed; a deleted key has an empty value. */
    virtual void onChanged(const std::vector<KeyValue> &keyValues) = 0;
    /** The store cannot be read; what was reported last may be out of date. */
    virtual void onStoreLost(const core::Error &reason) = 0;
    /** The store answers again. */
    virtual void onStoreRegained() = 0;
};

} // namespace sardinehollow::platform
