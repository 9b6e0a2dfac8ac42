#pragma once

#include <cstdint>
#include <string>

namespace sardinehollow::platform {

/** A key of the store with its value and metadata. */
struct KeyValue
{
    std::string key;
    std::string value;
    /** Revision of the store at the last write of the key. */
    std::int64_t modRevision = 0;
    /** Id of the lease that the key is attached to; 0 for none. */
    std::int64_t lease = 0;
    /** Set only in reports of changes: the key was deleted, and the value is empty. */
    bool isDeleted = false;
};

} // namespace sardinehollow::platform
