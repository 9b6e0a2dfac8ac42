#pragma once

#include <cstdint>
#include <string>

namespace sardinehollow::platform {

/** A key of the store with its value. */
struct KeyValue
{
    std::string key;
    std::string value;
    /** Revision of the store at the last write of the key. */
    std::int64_t modRevision = 0;
    /** Lease that the key lives with; 0 for none. */
    std::int64_t lease = 0;
    /** In a report of changes: the key was removed, and the value is empty. */
    bool isDeleted = false;
};

} // namespace sardinehollow::platform
