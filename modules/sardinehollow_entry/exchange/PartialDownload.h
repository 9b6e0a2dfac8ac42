#pragma once

#include <cstdint>
#include <string>

namespace sardinehollow::entry {

/** Progress of a download, so that another server can resume it by a range request. */
struct PartialDownload
{
    /** Whether the response has started and its body can be resumed. */
    bool active = false;
    /** Strong validator (ETag) of the content. */
    std::string entityTag;
    /** Bytes of the body already sent to the caller. */
    std::uint64_t sent = 0;
    /** Length of the complete body in bytes. */
    std::uint64_t total = 0;
};

} // namespace sardinehollow::entry
