#pragma once

#include <cstdint>

namespace sardinehollow::platform {

/** Whether all conditions held and the writes were applied, and the store's revision afterwards. */
struct TransactionResult
{
    bool succeeded = false;
    std::int64_t revision = 0;
};

} // namespace sardinehollow::platform
