#pragma once

#include <cstdint>
#include <string>

namespace sardinehollow::standin {

/** A value of the stand-in's store with the metadata of etcd; lease 0 means none. */
struct StoredValue
{
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
};

} // namespace sardinehollow::standin
