#pragma once

#include "sardinehollow_entry/exchange/Problem.h"
#include "sardinehollow_entry/handlers/EntryServices.h"

namespace sardinehollow::entry {

/** Refuses a request that belongs to no work kind: counts, logs and sends the problem. */
void refuse(EntryServices &services, network::ResponseSink &caller, const Problem &problem);

} // namespace sardinehollow::entry
