#pragma once

#include "sardinehollow_entry/claims/ClaimThreads.h"
#include "sardinehollow_entry/exchange/ExchangeRegistry.h"
#include "sardinehollow_entry/forwarding/ForwardPool.h"
#include "sardinehollow_entry/handlers/EntryServices.h"
#include "sardinehollow_network/loop/EventLoop.h"

namespace sardinehollow::entry {

/** What the requests of one entry server use; for the thread of its loop. */
struct EntryContext
{
    EntryServices &services;
    network::EventLoop &loop;
    ForwardPool &pool;
    ExchangeRegistry &exchanges;
    ClaimThreads &claimThreads;
};

} // namespace sardinehollow::entry
