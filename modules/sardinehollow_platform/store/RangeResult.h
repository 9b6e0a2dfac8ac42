#pragma once

#include "sardinehollow_platform/store/KeyValue.h"

#include <vector>

namespace sardinehollow::platform {

/** Keys found, in key order, and the revision after which a watch must start to miss no change. */
struct RangeResult
{
    std::vector<KeyValue> keyValues;
    std::int64_t revision = 0;
};

} // namespace sardinehollow::platform
