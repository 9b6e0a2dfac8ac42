#pragma once

#include "sardinehollow_configuration_store/head/ConfigurationHead.h"

namespace sardinehollow::configuration_store {

/** A head as read from the store; generation 0 and revision 0 if none was submitted yet. */
struct StoredHead
{
    ConfigurationHead head;
    /** Revision of the store at which the head was last written. */
    std::int64_t modRevision = 0;
    /** Revision of the store at the read; a watch starts after it. */
    std::int64_t storeRevision = 0;
};

} // namespace sardinehollow::configuration_store
