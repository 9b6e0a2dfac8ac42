#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace sardinehollow::platform {

/** A write of a transaction. Without a value it deletes the key; lease 0 attaches no lease. */
struct Write
{
    std::string key;
    std::optional<std::string> value;
    std::int64_t lease = 0;
};

} // namespace sardinehollow::platform
