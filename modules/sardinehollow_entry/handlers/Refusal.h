#pragma once

#include "sardinehollow_entry/exchange/Problem.h"
#include "sardinehollow_entry/handlers/EntryServices.h"

namespace sardinehollow::entry {

/** Counts, logs and sends the refusal of a request that belongs to no work kind. */
void refuse(EntryServices &services, network::ResponseSink &caller, const Problem &problem);

} // namespace sardinehollow::entry
