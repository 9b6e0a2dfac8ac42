#pragma once

#include "sardinehollow_standin/store/StoredValue.h"

namespace sardinehollow::standin {

/** A change of one key: a put, or a deletion, for which only the mod revision is set. */
struct StoreEvent
{
    std::string key;
    StoredValue stored;
    bool deleted = false;
};

} // namespace sardinehollow::standin
